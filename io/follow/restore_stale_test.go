package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestStaleProbeOfEarlierEpoch guards against a daemon that takes the store for down because a stale
// read is still of the epoch before a restoration.
func TestStaleProbeOfEarlierEpoch(t *testing.T) {
	registry := newFakeRegistry()
	registry.epoch = 1
	for version := core.Version(1); version <= 4; version++ {
		registry.write(version)
	}
	f := startFollower(t, registry)
	waitVersion(t, f, 4, applyDeadline)
	registry.restore(2)
	registry.write(5)
	waitVersion(t, f, 5, applyDeadline)
	registry.set(func() {
		registry.staleEpoch = 1
		registry.err = core.Errorf(core.StoreDown, "down")
	})
	time.Sleep(200 * time.Millisecond)
	registry.set(func() { registry.err = nil })
	registry.write(6)
	waitVersion(t, f, 6, applyDeadline)
}

// TestCompactedWatches guards against calls without a pause to a store that answers each watch with
// StoreCompacted.
func TestCompactedWatches(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyDeadline)
	registry.mu.Lock()
	registry.isCompacted = true
	registry.mu.Unlock()
	registry.write(2)
	waitVersion(t, f, 2, applyDeadline)
	before := f.Counters.Lists.Load()
	time.Sleep(time.Second)
	lists := f.Counters.Lists.Load() - before
	c.Assert(lists <= int64(time.Second/minWatchGap)+1, qt.IsTrue, qt.Commentf("%d listings", lists))
}
