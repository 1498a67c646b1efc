package proxy

import (
	"io"
	"time"
)

const (
	// gateDiscardLimit and gateDiscardTimeout bound the reading of an unused body, which lets the
	// connection be reused.
	gateDiscardLimit   = 4 << 10
	gateDiscardTimeout = 50 * time.Millisecond
)

// gateDiscard reads an unused body. A body without end, or one that trickles, must not delay the
// refusal that its answer leads to, so its connection is closed instead.
func gateDiscard(body io.ReadCloser) {
	timer := time.AfterFunc(gateDiscardTimeout, func() {
		_ = body.Close()
	})
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, gateDiscardLimit)
}
