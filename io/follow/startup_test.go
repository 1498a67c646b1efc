package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/kernel"
)

// fakeClock is a clock that the test sets.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// slowRegistry is a store whose reads of the position take some time of a clock.
type slowRegistry struct {
	*fakeRegistry
	clock *fakeClock
	delay time.Duration
}

func (r slowRegistry) Position(ctx context.Context, mayBeStale bool) (core.StorePosition, error) {
	r.clock.advance(r.delay)
	return r.fakeRegistry.Position(ctx, mayBeStale)
}

// TestStartAfterLook guards against a daemon that watches the store as soon as it has learned of
// others, because the time for which it asks them has passed before it knew them.
func TestStartAfterLook(t *testing.T) {
	c := qt.New(t)
	clock := &fakeClock{
		now: time.Unix(1_000_000, 0),
	}
	registry := newFakeRegistry()
	registry.write(1)
	f := New(Config{
		Self: newOwnHost(),
		Registry: slowRegistry{
			fakeRegistry: registry,
			clock:        clock,
			delay:        startupPeriod,
		},
		Relay:   &fakeSource{},
		Clock:   clock,
		Journal: nopJournal{},
	})
	f.startedAt = clock.Now()
	c.Assert(f.listAll(t.Context()), qt.IsNil)
	clock.advance(time.Second)
	c.Assert(f.isLoneStart(), qt.IsTrue)
	registry.register(firstHost)
	c.Assert(f.lookForOthers(t.Context()), qt.IsNil)
	c.Assert(f.isLoneStart(), qt.IsFalse)
	// firstHost may learn of its own registration maxLookInterval later.
	clock.advance(maxLookInterval)
	c.Assert(f.isStarting(), qt.IsTrue)
	clock.advance(startupPeriod)
	c.Assert(f.isStarting(), qt.IsFalse)
}

// TestLoneStart guards against a first upstream that does not confirm its content while all others
// of its region ask it.
func TestLoneStart(t *testing.T) {
	cases := []struct {
		name       string
		registered []core.HostName
		isLone     bool
	}{
		{
			name:   "none",
			isLone: true,
		},
		{
			name:       "itself",
			registered: []core.HostName{ownHost},
		},
		{
			name:       "another one",
			registered: []core.HostName{firstHost},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			registry := newFakeRegistry()
			registry.write(1)
			for _, name := range tc.registered {
				registry.register(name)
			}
			f := New(Config{
				Self:     newOwnHost(),
				Registry: registry,
				Relay:    &fakeSource{},
				Clock:    kernel.SystemClock{},
				Journal:  nopJournal{},
			})
			f.startedAt = time.Now()
			c.Assert(f.listAll(t.Context()), qt.IsNil)
			c.Assert(f.isLoneStart(), qt.Equals, tc.isLone)
		})
	}
}
