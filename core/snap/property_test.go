package snap_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/core"
	"verbenaway/core/snap"
)

var received = time.Unix(1_800_000_000, 0)

// TestApplyEqualsForRegion guards against daemons of a region whose snapshot differs from that of
// the store readers, and against a moved resource that becomes visible outside its home regions.
func TestApplyEqualsForRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := snap.Empty("")
		followers := map[core.Region]*core.Snapshot{"": full}
		for _, region := range allRegions {
			followers[region] = snap.Empty(region)
		}
		data := encodeNote(baseNote())
		for range rapid.IntRange(20, 40).Draw(t, "notes") {
			next, slice := snap.Fold(full, full.Version+1, data, received)
			for region, current := range followers {
				restricted := slice
				if region != "" {
					restricted = snap.Restrict(slice, region)
					checkRestricted(t, restricted, region)
				}
				applied, err := snap.Apply(current, restricted)
				require(t, err, qt.IsNil)
				want := next
				if region != "" {
					want = snap.ForRegion(next, region)
				}
				require(t, applied, qt.DeepEquals, want)
				followers[region] = applied
			}
			full = next
			data = genNote(t, full)
		}
		require(t, snap.Check(full), qt.IsNil)
	})
}

// checkRestricted checks which parts with home regions have contents in the slice of a region.
func checkRestricted(t *rapid.T, slice core.Slice, region core.Region) {
	for _, part := range slice.Parts {
		if len(part.HomeRegions) == 0 {
			continue
		}
		isHome := false
		for _, home := range part.HomeRegions {
			isHome = isHome || home == region
		}
		require(t, part.Contents != nil, qt.Equals, isHome)
	}
}
