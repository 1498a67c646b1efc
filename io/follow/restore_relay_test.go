package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

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
			zone := newTestZone(t, "d1", "d2", "d3", "d4")
			for version := core.Version(2); version <= 8; version++ {
				zone.write(version)
			}
			zone.waitVersion(t, 8, applyDeadline)
			time.Sleep(2 * shortSourceBackoff)
			waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
			reader := zone.readers()[0]
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
