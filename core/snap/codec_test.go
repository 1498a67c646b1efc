package snap_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/core/snap"
)

// TestEncodeDecode guards against a snapshot that changes when it is encoded and decoded.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := snap.Empty("")
		data := encodeNote(baseNote())
		for range rapid.IntRange(0, 20).Draw(t, "notes") {
			full, _ = snap.Fold(full, full.Version+1, data, received)
			data = genNote(t, full)
		}
		for _, region := range append(allRegions, "") {
			want := full
			if region != "" {
				want = snap.ForRegion(full, region)
			}
			encoded, err := snap.Encode(want)
			require(t, err, qt.IsNil)
			got, err := snap.Decode(encoded)
			require(t, err, qt.IsNil)
			require(t, got, qt.DeepEquals, want)
		}
	})
}
