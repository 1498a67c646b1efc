package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

var start = time.Unix(1_700_000_000, 0)

func newSnapshot(routes ...core.RouteSpec) *core.Snapshot {
	s := &core.Snapshot{
		Version: 1,
		Regions: map[core.Region]core.RegionSpec{
			"r1": {Name: "r1", CrossRegionBytesPerSecond: 1 << 20},
		},
		Services: map[core.ServiceName]core.ServiceSpec{
			"s": {Name: "s", Slots: 4},
			"h": {Name: "h", Slots: 4, HomeRegions: []core.Region{"r1", "r2"}},
		},
		Tenants: map[core.TenantName]core.TenantSpec{
			"a": {Name: "a"},
			"b": {Name: "b", HomeRegions: []core.Region{"r2", "r3"}},
		},
		Routes: map[core.RouteName]core.RouteSpec{},
		Out:    map[core.AvailabilityZone]bool{},
	}
	for _, r := range routes {
		s.Routes[r.Name] = r
	}
	return s
}

// TestMatch guards against requests on a wrong route: prefixes that end inside a segment, a longer
// prefix or a tenant that is ignored, ports and upper-case letters in the host.
func TestMatch(t *testing.T) {
	spec := func(name, prefix, tenant, service string, methods ...string) core.RouteSpec {
		return core.RouteSpec{Name: core.RouteName(name), Host: "Nets.Test", PathPrefix: prefix, Methods: methods,
			Tenant: core.TenantName(tenant), Service: core.ServiceName(service)}
	}
	table := route.NewTable(newSnapshot(
		spec("root", "/", "", "s", "GET"),
		spec("nets", "/nets", "", "s", "GET", "POST"),
		spec("netsA", "/nets", "a", "s", "GET"),
		spec("old", "/nets/old/", "", "h", "GET"),
		spec("lost", "/lost", "", "missing", "GET"),
	))
	cases := []struct {
		host, path, method, tenant string
		want                       core.RouteName
		kind                       core.ErrorKind
		homeRegions                string
	}{
		{host: "nets.test", path: "/", method: "GET", want: "root"},
		{host: "NETS.test:8080", path: "/netsx", method: "GET", want: "root"},
		{host: "nets.test", path: "/nets", method: "POST", want: "nets"},
		{host: "nets.test", path: "/nets/7/", method: "GET", want: "nets"},
		{host: "nets.test", path: "/nets/7", method: "GET", tenant: "a", want: "netsA"},
		{host: "nets.test", path: "/nets/7", method: "POST", tenant: "a", want: "nets"},
		{host: "nets.test", path: "/nets/7", method: "GET", tenant: "b", want: "nets", homeRegions: "r2,r3"},
		{host: "nets.test", path: "/nets/old", method: "GET", want: "old", homeRegions: "r1,r2"},
		{host: "nets.test", path: "/nets/old/x", method: "GET", tenant: "b", want: "old", homeRegions: "r2"},
		{host: "nets.test", path: "/nets/old/x", method: "POST", want: "nets"},
		{host: "nets.test", path: "/nets", method: "GET", tenant: "hidden", want: "nets", kind: core.HomeRegion},
		{host: "nets.test", path: "/lost", method: "GET", want: "lost", kind: core.NoUpstream},
		{host: "nets.test", path: "/nets", method: "PUT", kind: core.NoRoute},
		{host: "[::1]:80", path: "/nets", method: "GET", kind: core.NoRoute},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			c := qt.New(t)
			request := route.Request{Host: tc.host, Path: tc.path, Method: tc.method, Tenant: core.TenantName(tc.tenant)}
			match, kind := table.Match(request)
			c.Assert(kind, qt.Equals, tc.kind)
			var chosen core.RouteName
			for _, step := range table.Explain(request) {
				if step.Reason == route.ReasonChosen {
					chosen = step.Route
				}
			}
			c.Check(chosen, qt.Equals, tc.want)
			if kind == "" {
				c.Check(match.Route.Spec.Name, qt.Equals, tc.want)
				c.Check(match.HomeRegions.String(), qt.Equals, tc.homeRegions)
			}
		})
	}
}

func member(name, zone, region string, state core.MemberState) core.Member {
	return core.Member{
		Host: core.Host{Name: core.HostName(name), AvailabilityZone: core.AvailabilityZone(zone), Region: core.Region(region),
			Service: "s", State: core.HostLive},
		State: state,
	}
}

func newBalancer() *route.Balancer {
	return route.NewBalancer(route.BalancerConfig{
		Self:   core.Host{Name: "self", AvailabilityZone: "z1", Region: "r1"},
		Random: rand.New(rand.NewPCG(1, 0)).Uint64,
	})
}

// queryOf returns a query whose request may go to the given regions, or to all if there are none.
func queryOf(s *core.Snapshot, members []core.Member, homeRegions ...core.Region) route.Query {
	s.Routes["q"] = core.RouteSpec{Name: "q", Host: "q", PathPrefix: "/", Methods: []string{"GET"}, Service: "s", HomeRegions: homeRegions}
	match, _ := route.NewTable(s).Match(route.Request{Host: "q", Path: "/", Method: "GET"})
	return route.Query{Service: match.Route.Service, HomeRegions: match.HomeRegions, Snapshot: s, Members: members, Bytes: 100}
}

// TestChoose guards against requests to members that must not get any, and against a far upstream
// where a near one is free. Each of 50 choices has to be the host want, none if it is empty, and
// the first step of the explanation has to have the reason.
func TestChoose(t *testing.T) {
	near := member("near", "z1", "r1", core.MemberAlive)
	same := member("same", "z2", "r1", core.MemberAlive)
	far := member("far", "z9", "r2", core.MemberAlive)
	listed := member("listed", "z1", "r1", core.MemberAlive)
	listed.Host.State = core.HostLeaving
	cases := []struct {
		name        string
		members     []core.Member
		homeRegions []core.Region
		out         core.AvailabilityZone
		budget      int64
		want        core.HostName
		reason      route.Reason
	}{
		{name: "local zone first", members: []core.Member{far, same, near}, budget: 1 << 20, want: "near", reason: route.ReasonSameZone},
		{name: "local region next", members: []core.Member{far, same}, budget: 1 << 20, want: "same", reason: route.ReasonSameRegion},
		{name: "other region", members: []core.Member{far}, budget: 1 << 20, want: "far", reason: route.ReasonHomeRegion},
		{name: "no budget", members: []core.Member{far}, reason: route.ReasonNoBudget},
		{name: "outside the home regions", members: []core.Member{far}, homeRegions: []core.Region{"r1"}, budget: 1 << 20, reason: route.ReasonOutsideHomeRegions},
		{name: "local region is no home region", members: []core.Member{near, far}, homeRegions: []core.Region{"r2"}, budget: 1 << 20, want: "far", reason: route.ReasonHomeRegion},
		{name: "zone taken out", members: []core.Member{near, same}, out: "z1", want: "same", reason: route.ReasonSameRegion},
		{name: "leaving", members: []core.Member{member("l", "z1", "r1", core.MemberLeaving), same}, want: "same", reason: route.ReasonSameRegion},
		{name: "leaving in the host list", members: []core.Member{listed}, reason: route.ReasonLeaving},
		{name: "dead", members: []core.Member{member("d", "z1", "r1", core.MemberDead)}, reason: route.ReasonDead},
		{name: "suspect is worse than far", members: []core.Member{member("s", "z1", "r1", core.MemberSuspect), far}, budget: 1 << 20, want: "far", reason: route.ReasonHomeRegion},
		{name: "suspect is better than none", members: []core.Member{member("s", "z1", "r1", core.MemberSuspect)}, want: "s", reason: route.ReasonSuspect},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSnapshot()
			s.Out[tc.out] = true
			s.Regions["r1"] = core.RegionSpec{CrossRegionBytesPerSecond: tc.budget}
			query := queryOf(s, tc.members, tc.homeRegions...)
			b := newBalancer()
			c.Check(b.Explain(start, query)[0].Reason, qt.Equals, tc.reason)
			for range 50 {
				choice, ok := b.Choose(start, query)
				c.Assert(ok, qt.Equals, tc.want != "")
				if ok {
					c.Check(choice.Host.Name, qt.Equals, tc.want)
					b.Release(choice)
				}
			}
		})
	}
}

// TestChooseSpills guards against a near tier that gets more than its capacity while a farther one
// has free slots, and against an uneven distribution within a tier.
func TestChooseSpills(t *testing.T) {
	c := qt.New(t)
	members := []core.Member{
		member("n1", "z1", "r1", core.MemberAlive), member("n2", "z1", "r1", core.MemberAlive),
		member("m1", "z2", "r1", core.MemberAlive), member("f1", "z9", "r2", core.MemberAlive),
	}
	query := queryOf(newSnapshot(), members)
	b := newBalancer()
	got := map[core.HostName]int{}
	order := ""
	for range 16 {
		choice, ok := b.Choose(start, query)
		c.Assert(ok, qt.IsTrue)
		got[choice.Host.Name]++
		order += string(choice.Host.Name[:1])
	}
	c.Check(order, qt.Equals, "nnnnnnnnmmmmffff")
	c.Check(got, qt.DeepEquals, map[core.HostName]int{"n1": 4, "n2": 4, "m1": 4, "f1": 4})
	b = newBalancer()
	first, _ := b.Choose(start, query)
	b.RecordLoad(start, first, 9, 4)
	b.Release(first)
	count := func(at time.Time) (n int) {
		for range 100 {
			choice, _ := b.Choose(at, query)
			if choice.Host.Name == first.Host.Name {
				n++
			}
			b.Release(choice)
		}
		return n
	}
	c.Check(count(start), qt.Equals, 0, qt.Commentf("load of other entries is ignored"))
	c.Check(count(start.Add(3*time.Second)) > 20, qt.IsTrue, qt.Commentf("an old load report still counts"))
}

// TestChooseAfterRefusal guards against more requests to an upstream that has just refused one, and
// against an upstream that never regains its share.
func TestChooseAfterRefusal(t *testing.T) {
	c := qt.New(t)
	members := []core.Member{member("n1", "z1", "r1", core.MemberAlive), member("n2", "z1", "r1", core.MemberAlive)}
	query := queryOf(newSnapshot(), members)
	b := newBalancer()
	first, _ := b.Choose(start, query)
	b.RecordRefusal(start, first, core.Cold)
	b.Release(first)
	share := func(at time.Time) (n int) {
		for range 400 {
			choice, _ := b.Choose(at, query)
			if choice.Host.Name == first.Host.Name {
				n++
			}
			b.Release(choice)
		}
		return n
	}
	c.Check(share(start.Add(time.Millisecond)), qt.Equals, 0)
	recovered := share(start.Add(2 * time.Second))
	c.Check(recovered > 120 && recovered < 280, qt.IsTrue, qt.Commentf("%d of 400", recovered))
	query.Members = members[:1]
	query.Tried = []core.HostName{"n1"}
	_, ok := b.Choose(start, query)
	c.Check(ok, qt.IsFalse)
}

// TestRegionBudget guards against more paid bytes than the region may send, for any request sizes.
func TestRegionBudget(t *testing.T) {
	c := qt.New(t)
	query := queryOf(newSnapshot(), []core.Member{member("far", "z9", "r2", core.MemberAlive)})
	b := newBalancer()
	random := rand.New(rand.NewPCG(7, 0))
	var sent int64
	const seconds = 100
	for i := range 10 * seconds * 20 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		query.Bytes, query.DeclaredBytes = random.Int64N(1<<16), random.Int64N(4<<20)
		if choice, ok := b.Choose(now, query); ok {
			b.ChargeBytes(now, query.DeclaredBytes)
			sent += query.Bytes + query.DeclaredBytes
			b.Release(choice)
		}
	}
	// One second's worth may accumulate, and the last upload may leave a debt.
	c.Check(sent <= (seconds+1)<<20+4<<20, qt.IsTrue, qt.Commentf("%d bytes", sent))
	c.Check(sent > seconds<<20*8/10, qt.IsTrue, qt.Commentf("%d bytes", sent))
}

// newFleet returns a snapshot and 5,000 members in 420 services with one route each.
func newFleet() (*core.Snapshot, map[core.ServiceName][]core.Member) {
	s := newSnapshot()
	members := map[core.ServiceName][]core.Member{}
	for i := range 420 {
		name := core.ServiceName(fmt.Sprintf("service%d", i))
		s.Services[name] = core.ServiceSpec{Name: name, Slots: 16}
		s.Routes[core.RouteName(name)] = core.RouteSpec{Name: core.RouteName(name), Host: string(name) + ".test", PathPrefix: "/api/v1", Methods: []string{"GET", "POST"}, Service: name}
	}
	for i := range 5000 {
		name := core.ServiceName(fmt.Sprintf("service%d", i%420))
		zone := i / 420 % 5
		members[name] = append(members[name], member(fmt.Sprintf("host%d", i), fmt.Sprintf("z%d", zone), fmt.Sprintf("r%d", 1+zone/3), core.MemberAlive))
	}
	return s, members
}

func BenchmarkMatch(b *testing.B) {
	s, _ := newFleet()
	table := route.NewTable(s)
	b.ReportAllocs()
	for b.Loop() {
		if _, kind := table.Match(route.Request{Host: "service7.test:8080", Path: "/api/v1/nets/7/history", Method: "GET"}); kind != "" {
			b.Fatal(kind)
		}
	}
}

func BenchmarkNewTable(b *testing.B) {
	s, _ := newFleet()
	b.ReportAllocs()
	for b.Loop() {
		route.NewTable(s)
	}
}

func BenchmarkChoose(b *testing.B) {
	s, members := newFleet()
	table := route.NewTable(s)
	balancer := route.NewBalancer(route.BalancerConfig{Self: core.Host{AvailabilityZone: "z1", Region: "r1"}, Random: rand.Uint64})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			name := core.ServiceName("service7")
			match, _ := table.Match(route.Request{Host: string(name) + ".test", Path: "/api/v1", Method: "GET"})
			choice, ok := balancer.Choose(start, route.Query{Service: match.Route.Service, HomeRegions: match.HomeRegions, Snapshot: s, Members: members[name]})
			if !ok {
				b.Error("no choice")
				return
			}
			balancer.Release(choice)
		}
	})
}
