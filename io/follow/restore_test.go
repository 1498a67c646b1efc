package follow

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/kernel"
)

// restore returns the store to the content that it had at a revision, in a new epoch.
func (r *fakeRegistry) restore(revision uint64) {
	r.set(func() {
		r.epoch++
		r.revision = revision
		r.items = slices.DeleteFunc(slices.Clone(r.items), func(item core.RegistryItem) bool {
			return item.Revision > revision
		})
	})
}

// newVersionedRegistry returns a store in its first epoch, with all versions up to the newest.
func newVersionedRegistry(newest core.Version) *fakeRegistry {
	registry := newFakeRegistry()
	registry.epoch = 1
	for version := core.Version(1); version <= newest; version++ {
		registry.write(version)
	}
	return registry
}

// newVersionedZone returns four daemons with version 8 and the one that reads the store.
func newVersionedZone(t *testing.T) (zone *testZone, reader core.HostName) {
	t.Helper()
	zone = newTestZone(t, "d1", "d2", "d3", "d4")
	for version := core.Version(2); version <= 8; version++ {
		zone.write(version)
	}
	zone.waitVersion(t, 8, applyDeadline)
	time.Sleep(2 * shortSourceBackoff)
	waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
	return zone, zone.readers()[0]
}

// TestVersionInForceAfterRestoration guards against a daemon that takes a version for an old one
// because the store, restored from a copy, gives it a revision that the daemon has seen before, and
// against one that lists the store again and again until the revisions are higher.
func TestVersionInForceAfterRestoration(t *testing.T) {
	cases := []struct {
		name string
		// restored are the revisions to which the store returns, one after the other.
		restored []uint64
		// again are the versions that the operator writes again.
		again []core.Version
	}{
		{name: "the newest version is lost", restored: []uint64{7}, again: []core.Version{8}},
		{name: "all versions but the first are lost", restored: []uint64{1}},
		{name: "no version is lost", restored: []uint64{8}},
		{name: "restored twice", restored: []uint64{6, 5}, again: []core.Version{7, 8}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			registry := newVersionedRegistry(8)
			f := startFollower(t, registry)
			waitVersion(t, f, 8, applyDeadline)
			before := f.Counters.Lists.Load()
			for _, revision := range tc.restored {
				registry.set(func() { registry.err = core.Errorf(core.StoreDown, "down") })
				time.Sleep(200 * time.Millisecond)
				registry.restore(revision)
				registry.set(func() { registry.err = nil })
				time.Sleep(time.Second)
			}
			for _, version := range tc.again {
				registry.write(version)
			}
			snapshot, _ := f.Snapshot()
			c.Assert(snapshot.Version, qt.Equals, core.Version(8))
			registry.write(9)
			waitVersion(t, f, 9, applyDeadline)
			lists := f.Counters.Lists.Load() - before
			c.Assert(lists <= 2*int64(len(tc.restored)), qt.IsTrue, qt.Commentf("%d listings", lists))
		})
	}
}

// TestRestorationWithoutOutage guards against a daemon that does not notice that the store was
// restored, because its watch is parked in the lost history and never answers.
func TestRestorationWithoutOutage(t *testing.T) {
	registry := newVersionedRegistry(4)
	f := startFollower(t, registry)
	waitVersion(t, f, 4, applyDeadline)
	registry.mu.Lock()
	registry.isUnresponsive = true
	registry.mu.Unlock()
	registry.restore(2)
	registry.write(5)
	waitVersion(t, f, 5, applyDeadline)
}

// TestEndOfGraceIsPassedOn guards against requests that wait for an availability zone although its
// grace period after a restoration has ended.
func TestEndOfGraceIsPassedOn(t *testing.T) {
	registry := newVersionedRegistry(1)
	registry.takeOut("a")
	changes := make(chan struct{}, 100)
	f := New(Config{
		Registry: registry,
		Clock:    kernel.SystemClock{},
		Journal:  nopJournal{},
		StateConfig: follow.Config{
			RecoveryGrace: 300 * time.Millisecond,
		},
		OnChange: func() { changes <- struct{}{} },
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Check(t, f.Stop(context.Background()), qt.IsNil) })
	isOut := func() bool {
		snapshot, _ := f.Snapshot()
		return snapshot != nil && snapshot.Out["a"]
	}
	waitUntil(t, applyDeadline, isOut)
	registry.restore(1)
	waitUntil(t, applyDeadline, func() bool { return f.SeenPosition().Epoch == 2 })
	for len(changes) > 0 {
		<-changes
	}
	waitUntil(t, applyDeadline, func() bool { return !isOut() })
	select {
	case <-changes:
	case <-time.After(applyDeadline):
		t.Fatal("the end of the grace period was not passed on")
	}
}

// TestRestorationReachesFollowers guards against daemons that keep to the lost history because the
// store does not answer them, or because they follow a daemon that does not know of the restoration.
func TestRestorationReachesFollowers(t *testing.T) {
	reject := func(store *fakeRegistry) {
		store.set(func() { store.err = core.Errorf(core.StoreDown, "calls rejected") })
	}
	cases := []struct {
		name string
		// fault happens before the restoration.
		fault func(zone *testZone, reader core.HostName)
	}{
		{name: "all daemons reach the store", fault: func(*testZone, core.HostName) {}},
		{
			name: "the store rejects the reader",
			fault: func(zone *testZone, reader core.HostName) {
				reject(zone.stores[reader])
			},
		},
		{
			name: "the store rejects all but the reader",
			fault: func(zone *testZone, reader core.HostName) {
				for name, store := range zone.stores {
					if name != reader {
						reject(store)
					}
				}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			zone, reader := newVersionedZone(t)
			tc.fault(zone, reader)
			for _, store := range zone.stores {
				store.restore(6)
			}
			time.Sleep(3 * time.Second)
			zone.write(9)
			zone.waitVersion(t, 9, applyDeadline)
			for name, f := range zone.followers {
				c.Assert(f.UpstreamCount(), qt.Equals, 4, qt.Commentf("%s", name))
			}
		})
	}
}

// TestFailedListingDoesNotEndFollowing guards against a daemon that no longer asks its neighbours once
// it has to list a store that rejects its listings.
func TestFailedListingDoesNotEndFollowing(t *testing.T) {
	cases := []struct {
		name string
		// cause makes the daemons list the store again.
		cause func(zone *testZone)
	}{
		{
			name: "the store was restored",
			cause: func(zone *testZone) {
				for _, store := range zone.stores {
					store.set(func() { store.err = core.Errorf(core.StoreDown, "down") })
				}
				time.Sleep(time.Second)
				for _, store := range zone.stores {
					store.restore(6)
					store.set(func() { store.err = nil })
				}
			},
		},
		{
			name: "requests show a newer version",
			cause: func(zone *testZone) {
				for _, f := range zone.followers {
					f.ObserveVersion("d9", 9)
				}
				time.Sleep(hintDelay)
				for _, f := range zone.followers {
					f.ObserveVersion("d9", 9)
				}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			zone, reader := newVersionedZone(t)
			for name, store := range zone.stores {
				store.mu.Lock()
				store.isBusy = name != reader
				store.mu.Unlock()
			}
			tc.cause(zone)
			// After this time the store counts as stable.
			time.Sleep(3 * time.Second)
			zone.write(9)
			zone.waitVersion(t, 9, applyDeadline)
			c.Assert(zone.followers[reader].IsReady(), qt.IsTrue)
		})
	}
}

// TestStaleProbeOfEarlierEpoch guards against a daemon that takes the store for down because a stale
// read is still of the epoch before a restoration.
func TestStaleProbeOfEarlierEpoch(t *testing.T) {
	registry := newVersionedRegistry(4)
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

// TestStartAfterRestoration guards against a daemon that starts between a restoration and the
// repetition of the operator, and stays on the version of the copy although others know a newer one.
func TestStartAfterRestoration(t *testing.T) {
	c := qt.New(t)
	zone, reader := restoreVersionedZone(t)
	var names []core.HostName
	for name := range zone.followers {
		if name != reader {
			names = append(names, name)
		}
	}
	restarted := New(zone.followers[names[0]].config)
	c.Assert(restarted.Start(t.Context()), qt.IsNil)
	defer func() { c.Check(restarted.Stop(context.Background()), qt.IsNil) }()
	waitVersion(t, restarted, 8, applyDeadline)
	zone.write(9)
	waitVersion(t, restarted, 9, applyDeadline)
	zone.waitVersion(t, 9, applyDeadline)
}

// TestReaderStartsAfterRestoration guards against a reader that stays on the version of the copy until
// the operator repeats a newer one, because it follows no daemon.
func TestReaderStartsAfterRestoration(t *testing.T) {
	c := qt.New(t)
	zone, reader := restoreVersionedZone(t)
	restarted := New(zone.followers[reader].config)
	c.Assert(restarted.Start(t.Context()), qt.IsNil)
	defer func() { c.Check(restarted.Stop(context.Background()), qt.IsNil) }()
	waitUntil(t, applyDeadline, restarted.IsReady)
	// The other daemons send requests continuously.
	waitUntil(t, hintDelay+applyDeadline, func() bool {
		restarted.ObserveVersion("other", 8)
		snapshot, _ := restarted.Snapshot()
		return snapshot.Version == 8
	})
	zone.write(9)
	waitVersion(t, restarted, 9, applyDeadline)
}

// restoreVersionedZone returns a zone whose daemons keep version 8, though the store was restored from
// a copy with version 2, and the daemon that reads the store.
func restoreVersionedZone(t *testing.T) (zone *testZone, reader core.HostName) {
	t.Helper()
	zone, reader = newVersionedZone(t)
	for _, store := range zone.stores {
		store.restore(6)
	}
	waitUntil(t, 2*applyDeadline, func() bool {
		for _, f := range zone.followers {
			f.mu.Lock()
			epoch := f.state.Position().Epoch
			f.mu.Unlock()
			if epoch != 1 {
				return false
			}
		}
		return true
	})
	return zone, reader
}

// TestKeptItemsReachParkedRequests guards against daemons that follow one which learns only later what
// its neighbours keep from the epoch before a restoration.
func TestKeptItemsReachParkedRequests(t *testing.T) {
	c := qt.New(t)
	registry := newVersionedRegistry(2)
	f := New(Config{
		Registry: registry,
		Clock:    kernel.SystemClock{},
		Journal:  nopJournal{},
	})
	listing, err := registry.List(t.Context(), false)
	c.Assert(err, qt.IsNil)
	f.applyListing(listing, false)
	kept := configItem(2, 7)
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.update(0, func(now time.Time) {
			f.state.ApplyAnswer(now, []core.RegistryChange{registry.Decode(kept)}, listing.Revision, listing.StorePosition)
		})
	}()
	request := core.FollowRequest{
		After: listing.StorePosition,
		Wait:  10 * time.Second,
	}
	answer, err := f.Follow(t.Context(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Items, qt.DeepEquals, []core.RegistryItem{kept})
	// The next request is parked, although the item is still kept.
	request.Wait = 200 * time.Millisecond
	begin := time.Now()
	answer, err = f.Follow(t.Context(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Items, qt.HasLen, 0)
	c.Assert(time.Since(begin) >= request.Wait, qt.IsTrue)
}

// TestListingsOfTwoEpochs guards against calls without a pause to a store whose listings have pages of
// two epochs.
func TestListingsOfTwoEpochs(t *testing.T) {
	c := qt.New(t)
	registry := newVersionedRegistry(4)
	f := startFollower(t, registry)
	waitVersion(t, f, 4, applyDeadline)
	registry.set(func() { registry.listErr = core.Errorf(core.StoreRestored, "pages of two epochs") })
	registry.restore(3)
	before := f.Counters.Lists.Load()
	time.Sleep(time.Second)
	lists := f.Counters.Lists.Load() - before
	// A pause lasts at least half the first backoff.
	c.Assert(lists <= int64(2*time.Second/firstBackoff)+2, qt.IsTrue, qt.Commentf("%d listings", lists))
	registry.set(func() { registry.listErr = nil })
	registry.write(5)
	waitVersion(t, f, 5, applyDeadline)
}

// TestLoneStartAfterRestoration guards against a daemon that has just started and takes the store for
// down because a stale listing is still of the epoch before a restoration.
func TestLoneStartAfterRestoration(t *testing.T) {
	c := qt.New(t)
	registry := newVersionedRegistry(3)
	earlier, err := registry.List(t.Context(), false)
	c.Assert(err, qt.IsNil)
	registry.restore(2)
	f := New(Config{
		Registry: registry,
		Relay:    &testZone{},
		Clock:    kernel.SystemClock{},
		Journal:  nopJournal{},
	})
	c.Assert(f.Start(t.Context()), qt.IsNil)
	defer func() { c.Check(f.Stop(context.Background()), qt.IsNil) }()
	waitUntil(t, applyDeadline, f.hasContent)
	registry.set(func() { registry.staleListing = &earlier })
	registry.write(4)
	waitVersion(t, f, 4, loneStartPeriod+applyDeadline)
	c.Assert(f.Counters.Failures.Load(), qt.Equals, int64(0))
}

// TestRollingUpgrade guards against frequent calls to the store by daemons whose neighbours, of an
// earlier release, do not send the epoch and cannot be followed.
func TestRollingUpgrade(t *testing.T) {
	c := qt.New(t)
	zone, _ := restoreVersionedZone(t)
	zone.mu.Lock()
	zone.hasNoEpochs = true
	zone.mu.Unlock()
	waitUntil(t, applyDeadline, func() bool { return len(zone.readers()) == len(zone.followers) })
	before := zone.watches("")
	time.Sleep(4 * time.Second)
	watches := zone.watches("") - before
	// A parked watch does not end in this time.
	c.Assert(watches <= len(zone.followers), qt.IsTrue, qt.Commentf("%d watches", watches))
	zone.write(9)
	zone.waitVersion(t, 9, applyDeadline)
}
