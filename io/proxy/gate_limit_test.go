package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOwnRateLimit guards against a limit that only upstreams of a platform can name.
func TestOwnRateLimit(t *testing.T) {
	c := qt.New(t)
	var arrived atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set(HeaderRateLimit, "10")
	}))
	t.Cleanup(upstream.Close)
	rig := newGateRig(t, upstream.Listener.Addr().String())
	start, refused := time.Now(), 0
	for time.Since(start) < time.Second {
		got := rig.do(rig.request(http.MethodPost, "order", nil))
		if got.status == http.StatusServiceUnavailable {
			refused++
			c.Assert(got.outcome, qt.Equals, OutcomeNotRun)
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The first ones come before the limit is known, and a quarter of a second of them at once.
	c.Assert(int(arrived.Load()) <= 10+4, qt.IsTrue, qt.Commentf("%d arrived, %d refused", arrived.Load(), refused))
	c.Assert(int(arrived.Load()) >= 5, qt.IsTrue, qt.Commentf("%d arrived, %d refused", arrived.Load(), refused))
}
