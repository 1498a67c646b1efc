package proxy

import (
	"io"
)

// gateDiscardLimit bounds the bytes read from an unused answer to make its connection reusable.
const gateDiscardLimit = 4 << 10

// gateDiscard reads the rest of a small answer, so that its connection can be reused.
func gateDiscard(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, gateDiscardLimit)
}
