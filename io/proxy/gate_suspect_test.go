package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// fakeQuarantine has one verdict for all requests.
type fakeQuarantine struct {
	core.Quarantine
	verdict atomic.Int64
}

// Verdict implements core.Quarantine.
func (q *fakeQuarantine) Verdict(core.Fingerprint) core.Verdict {
	return core.Verdict(q.verdict.Load())
}

// TestQuarantinedWhileWaiting guards against a request that waits for a slot, turns out to crash
// upstreams meanwhile, and is passed on all the same.
func TestQuarantinedWhileWaiting(t *testing.T) {
	c := qt.New(t)
	proceed := make(chan struct{})
	rig := newMeshRig(t, nil, largeBudget, func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		signedHandler(w, r)
	})
	host := rig.hosts[0]
	quarantine := &fakeQuarantine{}
	quarantine.verdict.Store(int64(core.VerdictSuspect))
	host.gate.config.Quarantine = quarantine
	send := func() chan *httptest.ResponseRecorder {
		answered := make(chan *httptest.ResponseRecorder, 1)
		r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil)
		r.Host = rig.view.snapshot.Routes["lookup"].Host
		r.Header.Set("X-Id", "a")
		r.Header.Set(HeaderService, string(host.member.Host.Service))
		r.Header.Set(HeaderTimeout, "5000")
		r.Header.Set(HeaderTarget, "4000")
		r.Header.Set(HeaderSuspect, core.Fingerprint{1}.String())
		go func() {
			w := httptest.NewRecorder()
			host.gate.ServeHTTP(w, r)
			answered <- w
		}()
		return answered
	}
	first := send()
	for host.upstreamRequests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := send()
	for inFlight, _ := host.gate.Load(); inFlight < 2; inFlight, _ = host.gate.Load() {
		time.Sleep(time.Millisecond)
	}
	// One suspect at a time reaches the upstream.
	c.Assert(host.upstreamRequests.Load(), qt.Equals, int32(1))
	quarantine.verdict.Store(int64(core.VerdictQuarantined))
	close(proceed)
	c.Assert((<-first).Code, qt.Equals, http.StatusOK)
	refused := <-second
	c.Assert(refused.Header().Get(HeaderError), qt.Equals, string(core.Quarantined))
	c.Assert(refused.Header().Get(HeaderOutcome), qt.Equals, OutcomeNotRun)
	c.Assert(host.upstreamRequests.Load(), qt.Equals, int32(1))
}
