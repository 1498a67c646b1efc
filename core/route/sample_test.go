package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// fleetFixture is an entry and the upstreams of a service in six availability zones of three regions.
type fleetFixture struct {
	costFixture
	self core.Host
}

// newFleetFixture returns the entry with the given number in zone a1 and perZone upstreams in each zone.
func newFleetFixture(perZone, entry int) *fleetFixture {
	f := &fleetFixture{
		self: core.Host{
			Name:             core.HostName(fmt.Sprintf("entry%d", entry)),
			AvailabilityZone: "a1",
			Region:           "a",
		},
	}
	f.costFixture = *newCostFixture()
	random := rand.New(rand.NewPCG(uint64(entry), 0))
	f.balancer = route.NewBalancer(route.BalancerConfig{
		Self:   f.self,
		Random: random.Uint64,
	})
	f.query.Members = nil
	for _, zone := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
		for i := range perZone {
			f.query.Members = append(f.query.Members, core.Member{
				Host: core.Host{
					Name:             core.HostName(fmt.Sprintf("%s-%d", zone, i)),
					AvailabilityZone: core.AvailabilityZone(zone),
					Region:           core.Region(zone[:1]),
					Service:          "s",
				},
				Slots: 6,
			})
		}
	}
	return f
}

// use sends requests and reports the load that each chosen upstream is said to have. It returns how
// many went to each upstream.
func (f *fleetFixture) use(requests int, load func(core.Host) route.LoadReport) map[core.HostName]int {
	counts := map[core.HostName]int{}
	for range requests {
		f.now = f.now.Add(20 * time.Millisecond)
		choice, ok := f.balancer.ChooseByCost(f.now, f.query)
		if !ok {
			continue
		}
		counts[choice.Host.Name]++
		f.balancer.RecordLoadReport(f.now, choice, "lookup", load(choice.Host))
		f.balancer.Release(choice)
	}
	return counts
}

func usualLoad(core.Host) route.LoadReport {
	return route.LoadReport{InFlight: 2, Limit: 6, ServiceTime: 60 * time.Millisecond}
}

// TestLargeFleetStaysFresh guards against reports that are always out of date, and connections to the
// whole fleet, because an entry with few requests spreads them over all upstreams of its zone.
func TestLargeFleetStaysFresh(t *testing.T) {
	c := qt.New(t)
	used := map[core.HostName]bool{}
	for entry := range 20 {
		fixture := newFleetFixture(100, entry)
		counts := fixture.use(1000, usualLoad)
		c.Check(len(counts) <= 24, qt.IsTrue, qt.Commentf("entry %d used %d upstreams", entry, len(counts)))
		for name := range counts {
			used[name] = true
		}
	}
	// The subsets of different entries cover the zone.
	c.Check(len(used) >= 90, qt.IsTrue, qt.Commentf("%d upstreams used", len(used)))
}

// TestFullSubsetIsLeft guards against requests that are refused because an entry knows only its subset
// while the other upstreams of the zone are the only ones that are free.
func TestFullSubsetIsLeft(t *testing.T) {
	c := qt.New(t)
	fixture := newFleetFixture(100, 1)
	full := map[core.HostName]bool{}
	for name := range fixture.use(1000, usualLoad) {
		full[name] = true
	}
	counts := fixture.use(1000, func(host core.Host) route.LoadReport {
		report := usualLoad(host)
		if full[host.Name] || host.AvailabilityZone != "a1" {
			report.InFlight = 12
			report.QueueTime = time.Second
		}
		return report
	})
	toFull := 0
	for name, count := range counts {
		if full[name] || !strings.HasPrefix(string(name), "a1") {
			toFull += count
		}
	}
	c.Assert(toFull < 300, qt.IsTrue, qt.Commentf("%d of 1000 requests to full upstreams", toFull))
}

// TestAnyUpstreamIsFound guards against a refusal while a single upstream, outside of every subset, can
// still take the request.
func TestAnyUpstreamIsFound(t *testing.T) {
	c := qt.New(t)
	fixture := newFleetFixture(100, 1)
	for _, member := range fixture.query.Members {
		if member.Host.Name != "c2-77" {
			fixture.query.Tried = append(fixture.query.Tried, member.Host.Name)
		}
	}
	choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
	c.Assert(ok, qt.IsTrue)
	c.Assert(choice.Host.Name, qt.Equals, core.HostName("c2-77"))
}

// TestChoiceAllocatesNothing guards against garbage that grows with the requests and the fleet.
func TestChoiceAllocatesNothing(t *testing.T) {
	fixture := newFleetFixture(170, 1)
	fixture.use(1000, usualLoad)
	allocations := testing.AllocsPerRun(1000, func() {
		choice, _ := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		fixture.balancer.Release(choice)
	})
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// BenchmarkChooseByCost chooses among about 1,000 upstreams; the target is 1 µs.
func BenchmarkChooseByCost(b *testing.B) {
	fixture := newFleetFixture(170, 1)
	fixture.use(1000, usualLoad)
	b.ReportAllocs()
	for b.Loop() {
		choice, _ := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		fixture.balancer.Release(choice)
	}
}
