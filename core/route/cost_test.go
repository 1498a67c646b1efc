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

// costRig is a balancer in zone a1 of region a with one upstream in each of the zones a1, a2,
// b1, b2.
type costRig struct {
	balancer *route.Balancer
	query    route.Query
	now      time.Time
}

func newCostRig() *costRig {
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
	return &costRig{
		now: start,
		balancer: route.NewBalancer(route.BalancerConfig{
			Self: core.Host{
				AvailabilityZone: "a1",
				Region:           "a",
			},
			Random: random.Uint64,
		}),
		query: route.Query{
			Service:  core.ServiceSpec{Name: "s", Slots: 1},
			Route:    "lookup",
			Target:   500 * time.Millisecond,
			Homes:    homesOf(""),
			Snapshot: snapshot,
			Members:  members,
			Bytes:    400,
		},
	}
}

// homesOf returns the set of one region, or everywhere.
func homesOf(region core.Region) *route.Homes {
	spec := core.RouteSpec{Name: "homes", Host: "nets.test", PathPrefix: "/", Service: "s"}
	if region != "" {
		spec.HomeRegions = []core.Region{region}
	}
	match, _ := route.NewTable(newSnapshot(spec)).Match(route.Request{Host: "nets.test", Path: "/", Method: "GET"})
	return match.Homes
}

// learn lets the balancer know the condition of an upstream.
func (r *costRig) learn(name core.HostName, condition route.Condition) {
	query := r.query
	for _, member := range query.Members {
		if member.Host.Name != name {
			query.Tried = append(query.Tried, member.Host.Name)
		}
	}
	choice, _ := r.balancer.ChooseByCost(r.now, query)
	r.balancer.ReportCondition(r.now, choice, "lookup", condition)
	r.balancer.Release(choice)
}

// shares returns how many of 100 requests, all of which are released at once, go to each
// upstream.
func (r *costRig) shares() map[core.HostName]int {
	counts := map[core.HostName]int{}
	for range 100 {
		choice, ok := r.balancer.ChooseByCost(r.now, r.query)
		if !ok {
			continue
		}
		counts[choice.Host.Name]++
		r.balancer.Release(choice)
	}
	return counts
}

// TestCost guards against requests that wait or fail at a near upstream while another one
// would answer in time, and against paid bytes for nothing.
func TestCost(t *testing.T) {
	const usual = 160 * time.Millisecond
	well := route.Condition{InFlight: 6, Limit: 18, Hold: usual}
	cases := []struct {
		name  string
		known map[core.HostName]route.Condition
		edit  func(*route.Query)
		want  core.HostName
	}{
		{
			name: "calm: all stays in the zone",
			want: "a1",
		},
		{
			name:  "slow third of a service: the next zone of the region takes over",
			known: map[core.HostName]route.Condition{"a1": {InFlight: 12, Limit: 18, Hold: 5 * usual}},
			want:  "a2",
		},
		{
			name: "a slower speed that still answers in time is no reason to leave",
			known: map[core.HostName]route.Condition{
				"a1": {InFlight: 6, Limit: 18, Hold: usual * 14 / 10},
				"a2": {InFlight: 6, Limit: 18, Hold: usual * 6 / 10},
			},
			want: "a1",
		},
		{
			name:  "grey upstream that sheds half of its requests",
			known: map[core.HostName]route.Condition{"a1": {InFlight: 3, Limit: 18, Hold: usual, Failures: 0.5}},
			want:  "a2",
		},
		{
			name:  "one failure among the latest requests",
			known: map[core.HostName]route.Condition{"a1": {InFlight: 6, Limit: 18, Hold: usual, Failures: 0.1}},
			want:  "a1",
		},
		{
			name:  "full zone",
			known: map[core.HostName]route.Condition{"a1": {InFlight: 20, Limit: 18, Hold: usual}},
			want:  "a2",
		},
		{
			name: "full region",
			known: map[core.HostName]route.Condition{
				"a1": {InFlight: 27, Limit: 18, Hold: usual},
				"a2": {InFlight: 27, Limit: 18, Hold: usual},
				"b1": {InFlight: 27, Limit: 18, Hold: usual},
			},
			want: "b2",
		},
		{
			name: "an upload of 360 KB rather waits a little than crosses to another region",
			known: map[core.HostName]route.Condition{
				"a1": {InFlight: 22, Limit: 18, Hold: usual},
				"a2": {InFlight: 27, Limit: 18, Hold: usual},
			},
			edit: func(q *route.Query) { q.Announced = 360 << 10 },
			want: "a1",
		},
		{
			name: "home regions bind whatever it costs",
			known: map[core.HostName]route.Condition{
				"b1": {InFlight: 40, Limit: 18, Hold: 9 * usual, Failures: 1},
				"b2": {InFlight: 30, Limit: 18, Hold: usual, Failures: 0.4},
			},
			edit: func(q *route.Query) { q.Homes = homesOf("b") },
			want: "b2",
		},
		{
			name: "unknown upstreams are taken for average ones",
			known: map[core.HostName]route.Condition{
				"a1": {InFlight: 18, Limit: 18, Hold: 6 * usual},
			},
			want: "a2",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rig := newCostRig()
			known := map[core.HostName]route.Condition{"a1": well, "a2": well, "b1": well, "b2": well}
			for name, condition := range tc.known {
				known[name] = condition
			}
			if tc.name == "unknown upstreams are taken for average ones" {
				known = tc.known
			}
			for name, condition := range known {
				rig.learn(name, condition)
			}
			if tc.edit != nil {
				tc.edit(&rig.query)
			}
			shares := rig.shares()
			qt.Assert(t, shares[tc.want] >= 90, qt.IsTrue, qt.Commentf("%v", shares))
		})
	}
}

// TestSlowUpstreamRecovers guards against an upstream that is left for good after it was slow
// for some time.
func TestSlowUpstreamRecovers(t *testing.T) {
	rig := newCostRig()
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 6, Limit: 18, Hold: 160 * time.Millisecond})
	}
	rig.learn("a1", route.Condition{InFlight: 6, Limit: 18, Hold: time.Second, Failures: 0.4})
	qt.Assert(t, rig.shares()["a1"], qt.Equals, 0)
	rig.now = rig.now.Add(5 * time.Second)
	qt.Assert(t, rig.shares()["a1"], qt.Not(qt.Equals), 0)
}

// TestSplitKeepsShares guards against shares that drift from the weights, also over changes
// of the configuration in quick succession.
func TestSplitKeepsShares(t *testing.T) {
	for _, weight := range []int{0, 10, 33, 50, 90} {
		for _, perTable := range []int{7, 1000} {
			t.Run(fmt.Sprintf("%d percent, %d requests a version", weight, perTable), func(t *testing.T) {
				c := qt.New(t)
				var before *route.Table
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
					if before != nil {
						table.Inherit(before)
					}
					before = table
					match, kind := table.Match(route.Request{Host: "nets.test", Path: "/nets", Method: "PUT"})
					c.Assert(kind, qt.Equals, core.Kind(""))
					for range perTable {
						service := match.Route.Choose("")
						counts[service]++
						c.Assert(match.Route.Choose(service), qt.Equals, service)
					}
				}
				share := 100 * float64(counts["h"]) / float64(counts["h"]+counts["s"])
				c.Assert(share > float64(weight)-1.5 && share < float64(weight)+1.5, qt.IsTrue, qt.Commentf("%v", counts))
			})
		}
	}
}

// TestFrozenHost guards against requests that are sent to a host that has stopped answering:
// the others would answer them in time.
func TestFrozenHost(t *testing.T) {
	c := qt.New(t)
	rig := newCostRig()
	const usual = 160 * time.Millisecond
	for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 2, Limit: 18, Hold: usual})
	}
	// The host a1 freezes; a request comes every 20 ms, and other hosts answer after 160 ms.
	type pending struct {
		choice route.Choice
		due    time.Time
	}
	var waiting []pending
	lost := 0
	for range 100 {
		rig.now = rig.now.Add(20 * time.Millisecond)
		choice, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
		c.Assert(ok, qt.IsTrue)
		if choice.Host.Name == "a1" {
			lost++
		} else {
			waiting = append(waiting, pending{choice: choice, due: rig.now.Add(usual)})
		}
		for len(waiting) > 0 && !waiting[0].due.After(rig.now) {
			rig.balancer.ReportCondition(rig.now, waiting[0].choice, "lookup", route.Condition{InFlight: 2, Limit: 18, Hold: usual})
			rig.balancer.Release(waiting[0].choice)
			waiting = waiting[1:]
		}
	}
	// 600 ms are lost at the most, and nothing sound is left for silent.
	c.Assert(lost <= 30, qt.IsTrue, qt.Commentf("%d requests went to the frozen host", lost))
	c.Assert(len(waiting) < 25, qt.IsTrue)
}

// TestSlowShortRequestIsNoSilence guards against a sound host that is left because one short
// request takes several times as long as usual.
func TestSlowShortRequestIsNoSilence(t *testing.T) {
	rig := newCostRig()
	for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 2, Limit: 18, Hold: 40 * time.Millisecond})
	}
	begun := rig.now
	choice, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
	qt.Assert(t, ok, qt.IsTrue)
	rig.now = rig.now.Add(time.Second)
	qt.Assert(t, rig.balancer.IsSilent(rig.now, begun, choice), qt.IsFalse)
	rig.now = rig.now.Add(time.Second)
	qt.Assert(t, rig.balancer.IsSilent(rig.now, begun, choice), qt.IsTrue)
}

// TestLongRequestsAreNoSilence guards against a sound host that is left because short requests
// come while long ones are outstanding.
func TestLongRequestsAreNoSilence(t *testing.T) {
	rig := newCostRig()
	for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 2, Limit: 18, Hold: 640 * time.Millisecond})
	}
	for range 3 {
		_, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
		qt.Assert(t, ok, qt.IsTrue)
	}
	rig.now = rig.now.Add(400 * time.Millisecond)
	rig.query.Route = "check"
	qt.Assert(t, rig.shares()["a1"] >= 90, qt.IsTrue)
}

// TestRequestsSentTogetherAreNoSilence guards against a sound host whose requests are taken away
// and run again elsewhere: four that were sent at the same time are answered at the same time,
// and a cold upstream takes twice as long as the others told.
func TestRequestsSentTogetherAreNoSilence(t *testing.T) {
	rig := newCostRig()
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 18, Limit: 18, Hold: 180 * time.Millisecond})
	}
	rig.learn("a1", route.Condition{InFlight: 2, Limit: 18, Hold: 180 * time.Millisecond})
	begun := rig.now
	var choices []route.Choice
	for range 4 {
		choice, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, choice.Host.Name, qt.Equals, core.HostName("a1"))
		choices = append(choices, choice)
	}
	rig.now = rig.now.Add(500 * time.Millisecond)
	for _, choice := range choices {
		qt.Assert(t, rig.balancer.IsSilent(rig.now, begun, choice), qt.IsFalse)
	}
	// A frozen host is still left in time for another attempt.
	rig.now = rig.now.Add(100 * time.Millisecond)
	qt.Assert(t, rig.balancer.IsSilent(rig.now, begun, choices[0]), qt.IsTrue)
}

// TestFailuresEverywhereStayNear guards against paid bytes for nothing while a service fails half
// of its requests at all upstreams, as when each of them calls another service that sheds: what
// they tell differs by chance only.
func TestFailuresEverywhereStayNear(t *testing.T) {
	rig := newCostRig()
	for name, share := range map[core.HostName]float64{"a1": 0.6, "a2": 0.5, "b1": 0.4, "b2": 0.5} {
		rig.learn(name, route.Condition{InFlight: 6, Limit: 18, Hold: 160 * time.Millisecond, Failures: share})
	}
	qt.Assert(t, rig.shares()["a1"], qt.Equals, 100)
}

// TestLargeUploadWaitsInItsZone guards against large bodies that cross paid links between zones
// because the upstream in the own zone has them wait for a part of a request's time.
func TestLargeUploadWaitsInItsZone(t *testing.T) {
	rig := newCostRig()
	rig.query.Announced = 280 << 10
	rig.query.Target = 800 * time.Millisecond
	rig.learn("a1", route.Condition{InFlight: 23, Limit: 18, Wait: 40 * time.Millisecond, Hold: 150 * time.Millisecond})
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		rig.learn(name, route.Condition{InFlight: 6, Limit: 18, Hold: 150 * time.Millisecond})
	}
	qt.Assert(t, rig.shares()["a1"], qt.Equals, 100)
	// A wait that endangers the target is worse.
	rig.learn("a1", route.Condition{InFlight: 45, Limit: 18, Wait: 500 * time.Millisecond, Hold: 150 * time.Millisecond})
	qt.Assert(t, rig.shares()["a1"], qt.Equals, 0)
}

// refuse lets every upstream refuse a request with a kind.
func (r *costRig) refuse(c *qt.C, kind core.Kind) {
	query := r.query
	for range r.query.Members {
		choice, ok := r.balancer.ChooseByCost(r.now, query)
		c.Assert(ok, qt.IsTrue)
		r.balancer.Refused(r.now, choice, kind)
		r.balancer.Release(choice)
		query.Tried = append(query.Tried, choice.Host.Name)
	}
}

// TestGoneHosts guards against requests that wait, one after the other, for connections to hosts
// without power, although nobody can serve them: they are refused at once. Full upstreams are
// still asked.
func TestGoneHosts(t *testing.T) {
	c := qt.New(t)
	for _, kind := range []core.Kind{core.NoUpstream, core.Leaving, core.Starting} {
		rig := newCostRig()
		rig.refuse(c, kind)
		_, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", kind))
	}
	rig := newCostRig()
	rig.refuse(c, core.Overloaded)
	_, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
	c.Check(ok, qt.IsTrue)
}

// TestOneRequestTriesAgain guards against a crowd of requests that all wait for a host without
// power after it was passed over for a while, and against a host that stays out when it is back.
func TestOneRequestTriesAgain(t *testing.T) {
	c := qt.New(t)
	rig := newCostRig()
	rig.refuse(c, core.NoUpstream)
	rig.now = rig.now.Add(time.Second)
	counts := map[core.HostName]int{}
	var first route.Choice
	for range 20 {
		choice, ok := rig.balancer.ChooseByCost(rig.now, rig.query)
		if !ok {
			continue
		}
		counts[choice.Host.Name]++
		if choice.Host.Name == "a1" {
			first = choice
		}
	}
	c.Assert(counts, qt.DeepEquals, map[core.HostName]int{"a1": 1, "a2": 1, "b1": 1, "b2": 1})
	rig.balancer.Answered(first)
	rig.balancer.Release(first)
	c.Assert(rig.shares()["a1"], qt.Equals, 100)
}
