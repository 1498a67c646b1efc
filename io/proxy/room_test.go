package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/retry"
)

// TestReturnedRequestKeepsTarget guards against a request that comes back after a refusal with a whole
// latency target before it, although its caller has waited for a part of it.
func TestReturnedRequestKeepsTarget(t *testing.T) {
	c := qt.New(t)
	clock := &gateFakeClock{}
	base := time.Now()
	var targets []string
	rig := newEntryRig(t, func(config *EntryConfig) {
		spec := config.Config.(*fakeView).snapshot.Routes["lookup"]
		spec.LatencyTarget = core.Duration(500 * time.Millisecond)
		config.Config.(*fakeView).snapshot.Routes["lookup"] = spec
		config.Dialect = fakeDialect{}
		config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
			return retry.NewWindowBudget(retry.WindowBudgetConfig{Span: time.Second}, now)
		}
		config.Clock = fixedClock{base: base, clock: clock}
		config.LocalGate = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			targets = append(targets, r.Header.Get(HeaderTarget))
			Refuse(w, core.Overloaded, "scripted")
		})
	}, gateHost("self", ""))
	for _, attempt := range []struct {
		after time.Duration
		wait  int
	}{
		{wait: 5000},
		{after: 200 * time.Millisecond, wait: 4800},
		{after: 400 * time.Millisecond, wait: 4600},
		{after: 400 * time.Millisecond, wait: 5000},
	} {
		clock.ahead.Store(int64(attempt.after))
		targets = nil
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", strconv.Itoa(attempt.wait))
		rig.do(request)
		c.Assert(len(targets) > 0, qt.IsTrue)
		want := 500 - (5000 - attempt.wait)
		c.Assert(targets[0], qt.Equals, strconv.Itoa(want), qt.Commentf("%+v", attempt))
	}
	c.Assert(rig.entry.Counters.Returned.Value(), qt.Equals, int64(2))
}

// fixedClock stands still but for the steps of another clock.
type fixedClock struct {
	base  time.Time
	clock *gateFakeClock
}

func (f fixedClock) Now() time.Time { return f.base.Add(time.Duration(f.clock.ahead.Load())) }

// TestUploadsWaitForLink guards against a gatekeeper that lets uploads in though the link of its host is
// full, and against one that lets none in after an upload has arrived or broken off.
func TestUploadsWaitForLink(t *testing.T) {
	const size = 1000
	for _, tc := range []struct {
		name string
		// linkSeconds is the time that a body needs on the link.
		linkSeconds float64
		// end ends the body of the first upload, of which half was sent.
		end func(*io.PipeWriter)
	}{
		{"arrived", 60, func(body *io.PipeWriter) {
			_, _ = body.Write(make([]byte, size/2))
			_ = body.Close()
		}},
		// What was sent may count for as long as it needs on the link.
		{"broken off", 1, func(body *io.PipeWriter) { _ = body.CloseWithError(io.ErrUnexpectedEOF) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := newGateRawUpstream(t, func(conn net.Conn, _ int64) bool { return gateWriteOK(conn) })
			rig := newGateRig(t, upstream.address())
			config := rig.gate.config
			config.LinkBytesPerSecond = size / tc.linkSeconds
			gate := NewGate(config)
			server := httptest.NewServer(gate)
			t.Cleanup(func() {
				server.Close()
				qt.Check(t, gate.Drain(t.Context()) == nil || t.Context().Err() != nil, qt.IsTrue)
			})
			transport := rig.client.Transport.(*http.Transport)
			transport.ExpectContinueTimeout = time.Minute
			upload := func() (*io.PipeWriter, chan gateResult) {
				reader, writer := io.Pipe()
				request := rig.request(http.MethodPost, "order", reader)
				request.URL.Host = server.Listener.Addr().String()
				request.ContentLength = size
				request.Header.Set("Expect", "100-continue")
				result := make(chan gateResult, 1)
				go func() { result <- rig.do(request) }()
				return writer, result
			}
			first, firstResult := upload()
			// The transport takes bytes from the pipe only once the gatekeeper asks for them.
			_, err := first.Write(make([]byte, size/2))
			c.Assert(err, qt.IsNil)
			second, secondResult := upload()
			for isWaiting := false; !isWaiting; time.Sleep(time.Millisecond) {
				gate.mu.Lock()
				isWaiting = gate.admission.Waiting() == 1
				gate.mu.Unlock()
			}
			tc.end(first)
			<-firstResult
			_, err = second.Write(make([]byte, size))
			c.Assert(err, qt.IsNil)
			_ = second.Close()
			c.Assert((<-secondResult).status, qt.Equals, http.StatusOK)
		})
	}
}

// TestFullUpstreamIsNotAsked guards against attempts at an upstream that has just said that it has no room
// before the deadline of the request, and against refusals of requests that it can still serve.
func TestFullUpstreamIsNotAsked(t *testing.T) {
	c := qt.New(t)
	clock := &gateFakeClock{}
	asked := 0
	rig := newEntryRig(t, func(config *EntryConfig) {
		config.Dialect = fakeDialect{}
		config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
			return retry.NewWindowBudget(retry.WindowBudgetConfig{Span: time.Second}, now)
		}
		config.Clock = fixedClock{base: time.Now(), clock: clock}
		config.LocalGate = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked++
			w.Header().Set(HeaderRetryAfter, "2000")
			Refuse(w, core.Cold, "scripted")
		})
	}, gateHost("self", ""))
	ask := func(wait int) (attempts int) {
		asked = 0
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", strconv.Itoa(wait))
		a := rig.do(request)
		c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
		return asked
	}
	c.Assert(ask(1000), qt.Equals, 1)
	c.Assert(ask(1000), qt.Equals, 0)
	c.Assert(ask(5000) > 0, qt.IsTrue)
	clock.ahead.Store(int64(3 * time.Second))
	c.Assert(ask(1000), qt.Equals, 1)
}
