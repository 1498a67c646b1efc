package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/core/spread"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// withFleet runs a test in virtual time, which also fails if a goroutine is left running.
func withFleet(t *testing.T, size int, configure func(*Config), test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size, configure)
		f.store.publish(1)
		f.start()
		defer f.stop()
		time.Sleep(12 * time.Second)
		c := qt.New(t)
		c.Assert(f.versions(), qt.DeepEquals, map[int]int{1: size})
		test(c, f)
	})
}

// TestVersionReachesEveryAgent guards against a published version that only the readers learn of,
// and against store operations that grow with the fleet.
func TestVersionReachesEveryAgent(t *testing.T) {
	for _, test := range []struct {
		way                    spread.Way
		maxOperationsPerSecond float64
	}{
		{way: spread.WayVerbenaway, maxOperationsPerSecond: 2 * 8},
		{way: spread.WayDirectWatch, maxOperationsPerSecond: 30 * 4},
	} {
		t.Run(string(test.way), func(t *testing.T) {
			setWay := func(config *Config) { config.Way = test.way }
			withFleet(t, 30, setWay, func(c *qt.C, f *fleet) {
				f.store.publish(2)
				time.Sleep(time.Second)
				c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 30})
				before := f.store.operationCount()
				time.Sleep(10 * time.Second)
				c.Check((f.store.operationCount()-before)/10 <= test.maxOperationsPerSecond, qt.IsTrue, qt.Commentf("%f", f.store.operationCount()-before))
			})
		})
	}
}

// TestRequestAfterPause guards against a resumed process that answers a request with its old view
// before the first tick.
func TestRequestAfterPause(t *testing.T) {
	withFleet(t, 6, nil, func(c *qt.C, f *fleet) {
		// The loops tick at this moment too. A loop that ticks after the pause may confirm the view
		// before the request, since calls of peers take no virtual time.
		synctest.Wait()
		f.clocks[3].offset.Store(int64(3 * time.Second))
		_, refusal := f.agents[3].Snapshot()
		c.Check(refusal, qt.Equals, core.SuspectView)
		time.Sleep(2 * time.Second)
		_, refusal = f.agents[3].Snapshot()
		c.Check(refusal, qt.Equals, core.ErrorKind(""))
		f.journals[3].mutex.Lock()
		defer f.journals[3].mutex.Unlock()
		c.Check(f.journals[3].counts[core.EventViewSuspect], qt.Equals, 1)
		c.Check(f.journals[3].counts[core.EventViewConfirmed], qt.Equals, 1)
	})
}

// TestRequestsDuringResumption guards against a request that gets the old view while the loop finds
// that the process was paused.
func TestRequestsDuringResumption(t *testing.T) {
	const tick = 200 * time.Millisecond
	withFleet(t, 6, nil, func(c *qt.C, f *fleet) {
		for range 10 {
			// Neither peers nor the store can confirm the view.
			f.partition(3)
			f.store.update(func() { f.store.down = true })
			var paused atomic.Bool
			var served atomic.Int64
			var requests sync.WaitGroup
			for range 4 {
				requests.Go(func() {
					time.Sleep(tick)
					for range 500 {
						afterPause := paused.Load()
						if _, refusal := f.agents[3].Snapshot(); afterPause && refusal != core.SuspectView {
							served.Add(1)
						}
					}
				})
			}
			time.Sleep(tick)
			f.clocks[3].offset.Add(int64(3 * time.Second))
			paused.Store(true)
			requests.Wait()
			time.Sleep(tick)
			_, refusal := f.agents[3].Snapshot()
			c.Check(refusal, qt.Equals, core.SuspectView)
			c.Check(served.Load(), qt.Equals, int64(0))
			f.partition()
			f.store.update(func() { f.store.down = false })
			time.Sleep(4 * time.Second)
			_, refusal = f.agents[3].Snapshot()
			c.Check(refusal, qt.Equals, core.ErrorKind(""))
		}
	})
}

// TestStartWithoutStore guards against a daemon that cannot join while the store is down, or
// that joins below the version of its peers.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, 6, nil, func(c *qt.C, f *fleet) {
		f.store.update(func() { f.store.down = true })
		f.crash(5)
		f.restart(5)
		_, refusal := f.agents[5].Snapshot()
		c.Check(refusal, qt.Equals, core.Starting)
		time.Sleep(4 * time.Second)
		c.Check(f.versions(), qt.DeepEquals, map[int]int{1: 6})
	})
}

// TestReadersCrash guards against a fleet that learns no new version after all readers crashed.
func TestReadersCrash(t *testing.T) {
	withFleet(t, 12, nil, func(c *qt.C, f *fleet) {
		for i, agent := range f.agents {
			status, err := agent.Status(context.Background())
			c.Assert(err, qt.IsNil)
			if status.Role == "reader" {
				f.crash(i)
			}
		}
		f.store.publish(2)
		time.Sleep(12 * time.Second)
		// Each of the 2 regions had 2 readers.
		c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 8})
	})
}

// TestPartition guards against a side that gets no new version during a partition, and against
// sides that do not merge after it.
func TestPartition(t *testing.T) {
	withFleet(t, 12, nil, func(c *qt.C, f *fleet) {
		f.partition(0, 1, 2, 3, 4)
		time.Sleep(20 * time.Second)
		f.store.publish(2)
		time.Sleep(12 * time.Second)
		c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 12})
		f.partition()
		time.Sleep(12 * time.Second)
		for _, agent := range f.agents {
			c.Check(agent.ServiceMembers("svc"), qt.HasLen, 12)
		}
	})
}

// TestRegionWithoutStore guards against a region that keeps an old version while only the other
// reaches the store.
func TestRegionWithoutStore(t *testing.T) {
	unreachable := newFakeStore()
	unreachable.down = true
	withoutStore := func(config *Config) {
		if config.Self.Region == "south" {
			config.Store = unreachable
		}
	}
	withFleet(t, 20, withoutStore, func(c *qt.C, f *fleet) {
		for version := core.Version(2); version <= 4; version++ {
			f.store.publish(version)
			time.Sleep(12 * time.Second)
			c.Check(f.versions(), qt.DeepEquals, map[int]int{int(version): 20})
		}
	})
}

// TestPlannedStop guards against a planned stop that the members do not learn of within 3 s, and
// against calls that hang once the agent has stopped.
func TestPlannedStop(t *testing.T) {
	withFleet(t, 12, nil, func(c *qt.C, f *fleet) {
		f.agents[4].SetLeaving()
		time.Sleep(3 * time.Second)
		for _, agent := range f.agents {
			for _, m := range agent.ServiceMembers("svc") {
				leaving := m.Host.Name == f.agents[4].Self().Name
				c.Check(m.State == core.MemberLeaving, qt.Equals, leaving)
			}
		}
		c.Check(f.agents[4].Stop(context.Background()), qt.IsNil)
		time.Sleep(3 * time.Second)
		c.Check(f.agents[0].ServiceMembers("svc"), qt.HasLen, 11)
		_, err := f.agents[4].Push(context.Background(), core.PushMessage{})
		c.Check(core.KindOf(err), qt.Equals, core.PeerUnreachable)
		f.crash(4)
	})
}
