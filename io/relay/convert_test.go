package relay

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestCompressedValueAfterRestoration guards against the cached value of a key being sent for another
// value at the same revision, which a restored store gives out again.
func TestCompressedValueAfterRestoration(t *testing.T) {
	c := qt.New(t)
	var encoder answerEncoder
	for epoch, text := range []string{"lost", "new"} {
		want := core.FollowAnswer{
			RegistryAnswer: core.RegistryAnswer{
				StorePosition: core.StorePosition{
					Epoch:    uint64(epoch + 1),
					Revision: 23,
				},
				Items: []core.RegistryItem{{
					Key:      "config",
					Revision: 23,
					Value:    bytes.Repeat([]byte(text), minCompressBytes),
				}},
			},
			GapBefore: 21,
		}
		message := encoder.encode(want)
		c.Assert(message.Items[0].IsPacked, qt.IsTrue)
		got, err := decodeAnswer(message)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, want)
	}
}
