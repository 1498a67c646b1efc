package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
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
