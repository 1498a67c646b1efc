package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestLeavingStaysExcluded guards against requests to a process that has said in an answer that it
// leaves, also after its entry in the store was gone for a time, and against a successor that gets none.
func TestLeavingStaysExcluded(t *testing.T) {
	c := qt.New(t)
	f := newCostFixture()
	all := f.query.Members
	for i := range all {
		all[i].Host.Instance = string(all[i].Host.Name) + "@1"
	}
	countChosen := func(members []core.Member, host core.HostName) int {
		f.query.Members = members
		count := 0
		for range 100 {
			choice, ok := f.balancer.ChooseByCost(f.now, f.query)
			c.Assert(ok, qt.IsTrue)
			if choice.Host.Name == host {
				count++
			}
			f.balancer.Release(choice)
		}
		return count
	}
	c.Assert(countChosen(all, "a1"), qt.Equals, 100)
	f.balancer.RecordNotice(f.now, "a1@1", core.UpstreamNotice{IsLeaving: true})
	c.Assert(countChosen(all, "a1"), qt.Equals, 0)
	c.Assert(countChosen(slices.Clone(all[1:]), "a1"), qt.Equals, 0)
	f.now = f.now.Add(time.Minute)
	f.balancer.RecordNotice(f.now, "a1@1", core.UpstreamNotice{})
	c.Assert(countChosen(slices.Clone(all), "a1"), qt.Equals, 0)
	successor := slices.Clone(all)
	successor[0].Host.Instance = "a1@2"
	c.Assert(countChosen(successor, "a1"), qt.Equals, 100)
}

// TestNoticesAreBounded guards against memory that grows with the number of processes that named a
// limit, and against a limit that is forgotten although it was named just now.
func TestNoticesAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newCostFixture()
	const processes = 3 * 4096
	for i := range processes {
		f.balancer.RecordNotice(f.now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), core.UpstreamNotice{
			RateLimit:    20,
			HasRateLimit: true,
		})
	}
	known := 0
	for i := range processes {
		if _, ok := f.balancer.NamedRate(fmt.Sprint(i)); ok {
			known++
		}
	}
	c.Assert(known, qt.Equals, 4096)
	_, ok := f.balancer.NamedRate(fmt.Sprint(processes - 1))
	c.Assert(ok, qt.IsTrue)
}
