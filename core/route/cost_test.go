package route_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// costFixture is a balancer in availability zone a1 of region a with one upstream in each of the
// zones a1, a2, b1, b2.
type costFixture struct {
	balancer *route.Balancer
	query    route.Query
	now      time.Time
}

func newCostFixture() *costFixture {
	var members []core.Member
	for _, zone := range []string{"a1", "a2", "b1", "b2"} {
		members = append(members, core.Member{
			Host: core.Host{
				Name:             core.HostName(zone),
				AvailabilityZone: core.AvailabilityZone(zone),
				Region:           core.Region(zone[:1]),
				Service:          "s",
			},
			Slots: 18,
		})
	}
	snapshot := newSnapshot(core.RouteSpec{Name: "lookup", Service: "s"})
	snapshot.Regions = map[core.Region]core.RegionSpec{
		"a": {Name: "a", CrossRegionBytesPerSecond: 1 << 30},
	}
	random := rand.New(rand.NewPCG(1, 0))
	return &costFixture{
		now: start,
		balancer: route.NewBalancer(route.BalancerConfig{
			Self: core.Host{
				AvailabilityZone: "a1",
				Region:           "a",
			},
			Random: random.Uint64,
		}),
		query: route.Query{
			Service:     core.ServiceSpec{Name: "s", Slots: 1},
			Route:       "lookup",
			Target:      500 * time.Millisecond,
			HomeRegions: regionSet(""),
			Snapshot:    snapshot,
			Members:     members,
			Bytes:       400,
		},
	}
}

// regionSet returns the set of one region, or of all regions if it is empty.
func regionSet(region core.Region) *route.RegionSet {
	spec := core.RouteSpec{Name: "homes", Host: "nets.test", PathPrefix: "/", Service: "s"}
	if region != "" {
		spec.HomeRegions = []core.Region{region}
	}
	match, _ := route.NewTable(newSnapshot(spec)).Match(route.Request{Host: "nets.test", Path: "/", Method: "GET"})
	return match.HomeRegions
}

// report passes the load report of an upstream to the balancer.
func (f *costFixture) report(name core.HostName, report route.LoadReport) {
	query := f.query
	for _, member := range query.Members {
		if member.Host.Name != name {
			query.Tried = append(query.Tried, member.Host.Name)
		}
	}
	choice, _ := f.balancer.ChooseByCost(f.now, query)
	f.balancer.RecordLoadReport(f.now, choice, "lookup", report)
	f.balancer.Release(choice)
}

// countChoices returns how many of 100 requests go to each upstream. Each of them is released
// before the next.
func (f *costFixture) countChoices() map[core.HostName]int {
	counts := map[core.HostName]int{}
	for range 100 {
		choice, ok := f.balancer.ChooseByCost(f.now, f.query)
		if !ok {
			continue
		}
		counts[choice.Host.Name]++
		f.balancer.Release(choice)
	}
	return counts
}

// TestChooseByCost guards against requests that wait or fail at a near upstream while another one
// would answer in time, and against paid traffic between regions without benefit.
func TestChooseByCost(t *testing.T) {
	const usual = 160 * time.Millisecond
	healthy := route.LoadReport{InFlight: 6, Limit: 18, ServiceTime: usual}
	cases := []struct {
		name  string
		known map[core.HostName]route.LoadReport
		edit  func(*route.Query)
		want  core.HostName
	}{
		{
			name: "normal load stays in the availability zone",
			want: "a1",
		},
		{
			name:  "slow upstream is replaced by one in the next zone of the region",
			known: map[core.HostName]route.LoadReport{"a1": {InFlight: 12, Limit: 18, ServiceTime: 5 * usual}},
			want:  "a2",
		},
		{
			name: "slower upstream that answers in time keeps its requests",
			known: map[core.HostName]route.LoadReport{
				"a1": {InFlight: 6, Limit: 18, ServiceTime: usual * 14 / 10},
				"a2": {InFlight: 6, Limit: 18, ServiceTime: usual * 6 / 10},
			},
			want: "a1",
		},
		{
			name:  "upstream that sheds half of its requests",
			known: map[core.HostName]route.LoadReport{"a1": {InFlight: 3, Limit: 18, ServiceTime: usual, FailureRatio: 0.5}},
			want:  "a2",
		},
		{
			name:  "one failure among the latest requests",
			known: map[core.HostName]route.LoadReport{"a1": {InFlight: 6, Limit: 18, ServiceTime: usual, FailureRatio: 0.1}},
			want:  "a1",
		},
		{
			name:  "full zone",
			known: map[core.HostName]route.LoadReport{"a1": {InFlight: 20, Limit: 18, ServiceTime: usual}},
			want:  "a2",
		},
		{
			name: "short queues at home are no reason for a paid link",
			known: map[core.HostName]route.LoadReport{
				"a1": {InFlight: 20, Limit: 18, ServiceTime: usual},
				"a2": {InFlight: 27, Limit: 18, ServiceTime: usual},
			},
			want: "a1",
		},
		{
			name: "full region",
			known: map[core.HostName]route.LoadReport{
				"a1": {InFlight: 27, Limit: 18, ServiceTime: usual},
				"a2": {InFlight: 27, Limit: 18, ServiceTime: usual},
				"b1": {InFlight: 27, Limit: 18, ServiceTime: usual},
			},
			want: "b2",
		},
		{
			name: "upload of 360 KB waits a little instead of going to another region",
			known: map[core.HostName]route.LoadReport{
				"a1": {InFlight: 22, Limit: 18, ServiceTime: usual},
				"a2": {InFlight: 27, Limit: 18, ServiceTime: usual},
			},
			edit: func(q *route.Query) { q.DeclaredBytes = 360 << 10 },
			want: "a1",
		},
		{
			name: "home regions apply at any cost",
			known: map[core.HostName]route.LoadReport{
				"b1": {InFlight: 40, Limit: 18, ServiceTime: 9 * usual, FailureRatio: 1},
				"b2": {InFlight: 30, Limit: 18, ServiceTime: usual, FailureRatio: 0.4},
			},
			edit: func(q *route.Query) { q.HomeRegions = regionSet("b") },
			want: "b2",
		},
		{
			name: "unknown upstreams count as average ones",
			known: map[core.HostName]route.LoadReport{
				"a1": {InFlight: 18, Limit: 18, ServiceTime: 6 * usual},
			},
			want: "a2",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newCostFixture()
			known := map[core.HostName]route.LoadReport{"a1": healthy, "a2": healthy, "b1": healthy, "b2": healthy}
			for name, report := range tc.known {
				known[name] = report
			}
			if tc.name == "unknown upstreams count as average ones" {
				known = tc.known
			}
			for name, report := range known {
				fixture.report(name, report)
			}
			if tc.edit != nil {
				tc.edit(&fixture.query)
			}
			counts := fixture.countChoices()
			qt.Assert(t, counts[tc.want] >= 90, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// TestSlowUpstreamRecovers guards against an upstream that never gets requests again after it was
// slow for some time.
func TestSlowUpstreamRecovers(t *testing.T) {
	fixture := newCostFixture()
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		fixture.report(name, route.LoadReport{InFlight: 6, Limit: 18, ServiceTime: 160 * time.Millisecond})
	}
	fixture.report("a1", route.LoadReport{InFlight: 6, Limit: 18, ServiceTime: time.Second, FailureRatio: 0.4})
	qt.Assert(t, fixture.countChoices()["a1"], qt.Equals, 0)
	fixture.now = fixture.now.Add(5 * time.Second)
	qt.Assert(t, fixture.countChoices()["a1"], qt.Not(qt.Equals), 0)
}

// TestSplitKeepsShares guards against shares that deviate from the weights, including when the
// configuration changes in quick succession.
func TestSplitKeepsShares(t *testing.T) {
	for _, weight := range []int{0, 10, 33, 50, 90} {
		for _, perTable := range []int{7, 1000} {
			t.Run(fmt.Sprintf("%d percent, %d requests a version", weight, perTable), func(t *testing.T) {
				c := qt.New(t)
				var previous *route.Table
				counts := map[core.ServiceName]int{}
				const total = 2100
				for range total / perTable {
					table := route.NewTable(newSnapshot(core.RouteSpec{
						Name:       "split",
						Host:       "nets.test",
						PathPrefix: "/nets",
						Service:    "s",
						Split: []core.SplitSpec{
							{Service: "s", Weight: 100 - weight},
							{Service: "h", Weight: weight},
						},
					}))
					if previous != nil {
						table.InheritSplits(previous)
					}
					previous = table
					match, kind := table.Match(route.Request{Host: "nets.test", Path: "/nets", Method: "PUT"})
					c.Assert(kind, qt.Equals, core.ErrorKind(""))
					for range perTable {
						service := match.Route.ChooseService("")
						counts[service]++
						c.Assert(match.Route.ChooseService(service), qt.Equals, service)
					}
				}
				share := 100 * float64(counts["h"]) / float64(counts["h"]+counts["s"])
				c.Assert(share > float64(weight)-1.5 && share < float64(weight)+1.5, qt.IsTrue, qt.Commentf("%v", counts))
			})
		}
	}
}

// TestUnresponsiveHostIsAvoided guards against requests to a host that has stopped answering while
// others would answer in time.
func TestUnresponsiveHostIsAvoided(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	const usual = 160 * time.Millisecond
	for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
		fixture.report(name, route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: usual})
	}
	// The host a1 freezes; a request comes every 20 ms, and other hosts answer after 160 ms.
	type pending struct {
		choice route.Choice
		due    time.Time
	}
	var waiting []pending
	lost := 0
	for range 100 {
		fixture.now = fixture.now.Add(20 * time.Millisecond)
		choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		c.Assert(ok, qt.IsTrue)
		if choice.Host.Name == "a1" {
			lost++
		} else {
			waiting = append(waiting, pending{choice: choice, due: fixture.now.Add(usual)})
		}
		for len(waiting) > 0 && !waiting[0].due.After(fixture.now) {
			fixture.balancer.RecordLoadReport(fixture.now, waiting[0].choice, "lookup", route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: usual})
			fixture.balancer.Release(waiting[0].choice)
			waiting = waiting[1:]
		}
	}
	// At most 600 ms of requests are lost, and no healthy host is treated as unresponsive.
	c.Assert(lost <= 30, qt.IsTrue, qt.Commentf("%d requests went to the frozen host", lost))
	c.Assert(len(waiting) < 25, qt.IsTrue)
}

// TestRequestsAtOnceAfterSilence guards against a host that counts as unresponsive because several
// requests are sent at the same moment after a time without any: for none of them, an answer is overdue.
func TestRequestsAtOnceAfterSilence(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	balancer := route.NewBalancer(route.BalancerConfig{
		Self: core.Host{
			AvailabilityZone: "a1",
			Region:           "a",
		},
		Random: func() uint64 { return 0 },
	})
	// With so many rounds, some requests are chosen at exactly the same moment.
	for i := range 5000 {
		fixture.now = fixture.now.Add(10 * time.Second)
		choices := make([]route.Choice, 8)
		begin := make(chan struct{})
		var group sync.WaitGroup
		for j := range choices {
			group.Go(func() {
				<-begin
				choices[j], _ = balancer.ChooseByCost(fixture.now, fixture.query)
			})
		}
		close(begin)
		group.Wait()
		for _, choice := range choices {
			c.Assert(choice.Host.Name, qt.Equals, core.HostName("a1"), qt.Commentf("round %d", i))
			c.Assert(balancer.IsSuspect(fixture.now, choice), qt.IsFalse)
		}
		for _, choice := range choices {
			balancer.RecordActivity(fixture.now, choice)
			balancer.Release(choice)
		}
	}
}

// TestLongRequestsAreTolerated guards against a healthy host that counts as unresponsive because
// short requests arrive while long ones are outstanding.
func TestLongRequestsAreTolerated(t *testing.T) {
	fixture := newCostFixture()
	for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
		fixture.report(name, route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: 640 * time.Millisecond})
	}
	for range 3 {
		_, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		qt.Assert(t, ok, qt.IsTrue)
	}
	fixture.now = fixture.now.Add(400 * time.Millisecond)
	fixture.query.Route = "check"
	qt.Assert(t, fixture.countChoices()["a1"] >= 90, qt.IsTrue)
}

// TestCommonFailuresKeepLocality guards against useless paid traffic between regions while all
// upstreams of a service fail half of their requests, for example because each of them calls
// another service that sheds load. Their reported ratios differ only by chance.
func TestCommonFailuresKeepLocality(t *testing.T) {
	fixture := newCostFixture()
	for name, share := range map[core.HostName]float64{"a1": 0.6, "a2": 0.5, "b1": 0.4, "b2": 0.5} {
		fixture.report(name, route.LoadReport{InFlight: 6, Limit: 18, ServiceTime: 160 * time.Millisecond, FailureRatio: share})
	}
	qt.Assert(t, fixture.countChoices()["a1"], qt.Equals, 100)
}

// TestLargeUploadWaitsInLocalZone guards against large bodies that cross paid links between zones
// although the upstream in the local zone has a queue time of only a part of the service time.
func TestLargeUploadWaitsInLocalZone(t *testing.T) {
	fixture := newCostFixture()
	fixture.query.DeclaredBytes = 280 << 10
	fixture.query.Target = 800 * time.Millisecond
	fixture.report("a1", route.LoadReport{InFlight: 23, Limit: 18, QueueTime: 40 * time.Millisecond, ServiceTime: 150 * time.Millisecond})
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		fixture.report(name, route.LoadReport{InFlight: 6, Limit: 18, ServiceTime: 150 * time.Millisecond})
	}
	qt.Assert(t, fixture.countChoices()["a1"], qt.Equals, 100)
	// A queue time that endangers the latency target outweighs the transfer.
	fixture.report("a1", route.LoadReport{InFlight: 45, Limit: 18, QueueTime: 500 * time.Millisecond, ServiceTime: 150 * time.Millisecond})
	qt.Assert(t, fixture.countChoices()["a1"], qt.Equals, 0)
}

// refuse makes every upstream refuse one request with the given kind.
func (f *costFixture) refuse(c *qt.C, kind core.ErrorKind) {
	query := f.query
	for range f.query.Members {
		choice, ok := f.balancer.ChooseByCost(f.now, query)
		c.Assert(ok, qt.IsTrue)
		f.balancer.RecordRefusal(f.now, choice, kind)
		f.balancer.Release(choice)
		query.Tried = append(query.Tried, choice.Host.Name)
	}
}

// TestUnavailableHosts guards against requests that wait, one after the other, for connections to
// hosts without power although no host can serve them: no upstream is chosen for them, so that they
// are refused at once. Full upstreams can still be chosen.
func TestUnavailableHosts(t *testing.T) {
	c := qt.New(t)
	for _, kind := range []core.ErrorKind{core.NoUpstream, core.Leaving, core.Starting} {
		fixture := newCostFixture()
		fixture.refuse(c, kind)
		_, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", kind))
	}
	fixture := newCostFixture()
	fixture.refuse(c, core.Overloaded)
	_, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
	c.Check(ok, qt.IsTrue)
}

// TestSingleProbeAfterBackoff guards against many requests that all wait for a host without power
// when its backoff ends, and against a host that gets no requests after it has recovered.
func TestSingleProbeAfterBackoff(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	fixture.refuse(c, core.NoUpstream)
	fixture.now = fixture.now.Add(time.Second)
	counts := map[core.HostName]int{}
	var first route.Choice
	for range 20 {
		choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		if !ok {
			continue
		}
		counts[choice.Host.Name]++
		if choice.Host.Name == "a1" {
			first = choice
		}
	}
	c.Assert(counts, qt.DeepEquals, map[core.HostName]int{"a1": 1, "a2": 1, "b1": 1, "b2": 1})
	fixture.balancer.RecordAnswer(first)
	fixture.balancer.Release(first)
	c.Assert(fixture.countChoices()["a1"], qt.Equals, 100)
}
