package agent

import (
	"context"
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

// withFleet runs a test in a bubble of virtual time, which also fails if a goroutine stays.
func withFleet(t *testing.T, size int, change func(*Config), test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(size, change)
		f.store.publish(1)
		f.start()
		defer f.stop()
		time.Sleep(12 * time.Second)
		c := qt.New(t)
		c.Assert(f.versions(), qt.DeepEquals, map[int]int{1: size})
		test(c, f)
	})
}

// TestVersionReachesEveryAgent guards against a fleet in which a published version stays
// with the readers, and against store operations that grow with the fleet.
func TestVersionReachesEveryAgent(t *testing.T) {
	for _, test := range []struct {
		way  spread.Way
		most float64
	}{
		{way: spread.WayVerbenaway, most: 2 * 8},
		{way: spread.WayDirectWatch, most: 30 * 4},
	} {
		t.Run(string(test.way), func(t *testing.T) {
			set := func(config *Config) { config.Way = test.way }
			withFleet(t, 30, set, func(c *qt.C, f *fleet) {
				f.store.publish(2)
				time.Sleep(time.Second)
				c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 30})
				before := f.store.total()
				time.Sleep(10 * time.Second)
				c.Check((f.store.total()-before)/10 <= test.most, qt.IsTrue, qt.Commentf("%f", f.store.total()-before))
			})
		})
	}
}

// TestPause guards against a resumed process that answers a request before its first tick.
func TestPause(t *testing.T) {
	withFleet(t, 6, nil, func(c *qt.C, f *fleet) {
		f.clocks[3].skipped.Store(int64(3 * time.Second))
		_, refusal := f.agents[3].Snapshot()
		c.Check(refusal, qt.Equals, core.SuspectView)
		time.Sleep(2 * time.Second)
		_, refusal = f.agents[3].Snapshot()
		c.Check(refusal, qt.Equals, core.Kind(""))
		f.logs[3].mutex.Lock()
		defer f.logs[3].mutex.Unlock()
		c.Check(f.logs[3].counts[core.EventViewSuspect], qt.Equals, 1)
		c.Check(f.logs[3].counts[core.EventViewConfirmed], qt.Equals, 1)
	})
}

// TestStartWithoutStore guards against a daemon that cannot join while the store is down, or
// that joins below the version of its peers.
func TestStartWithoutStore(t *testing.T) {
	withFleet(t, 6, nil, func(c *qt.C, f *fleet) {
		f.store.change(func() { f.store.down = true })
		f.crash(5)
		f.replace(5)
		_, refusal := f.agents[5].Snapshot()
		c.Check(refusal, qt.Equals, core.Starting)
		time.Sleep(4 * time.Second)
		c.Check(f.versions(), qt.DeepEquals, map[int]int{1: 6})
	})
}

// TestReadersDie guards against versions that stay in the store once the readers are gone.
func TestReadersDie(t *testing.T) {
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
		c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 8})
	})
}

// TestPartition guards against two sides that do not find each other again.
func TestPartition(t *testing.T) {
	withFleet(t, 12, nil, func(c *qt.C, f *fleet) {
		f.cut(0, 1, 2, 3, 4)
		time.Sleep(20 * time.Second)
		f.store.publish(2)
		time.Sleep(12 * time.Second)
		c.Check(f.versions(), qt.DeepEquals, map[int]int{2: 12})
		f.cut()
		time.Sleep(12 * time.Second)
		for _, agent := range f.agents {
			c.Check(agent.ServiceMembers("svc"), qt.HasLen, 12)
		}
	})
}

// TestRegionWithoutStore guards against a region that stays behind while only the other one
// reaches the store.
func TestRegionWithoutStore(t *testing.T) {
	empty := newFakeStore()
	empty.down = true
	cutOff := func(config *Config) {
		if config.Self.Region == "south" {
			config.Store = empty
		}
	}
	withFleet(t, 20, cutOff, func(c *qt.C, f *fleet) {
		for version := core.Version(2); version <= 4; version++ {
			f.store.publish(version)
			time.Sleep(12 * time.Second)
			c.Check(f.versions(), qt.DeepEquals, map[int]int{int(version): 20})
		}
	})
}

// TestLeaving guards against a planned stop that the members do not learn of in 3 s, and
// against calls that hang once the agent has stopped.
func TestLeaving(t *testing.T) {
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
