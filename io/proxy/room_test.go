package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
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
		// want is the time left until the target in milliseconds.
		want int
	}{
		{wait: 5000, want: 500},
		{after: 200 * time.Millisecond, wait: 4800, want: 300},
		{after: 400 * time.Millisecond, wait: 4600, want: 100},
		{after: 400 * time.Millisecond, wait: 5000, want: 500},
		{after: 1000 * time.Millisecond, wait: 700, want: 500},
		// The rest of the deadline is shorter than the target from the first attempt on.
		{after: 1400 * time.Millisecond, wait: 300, want: 100},
		{after: 1600 * time.Millisecond, wait: 100, want: 0},
		{after: 2000 * time.Millisecond, wait: 300, want: 300},
	} {
		clock.ahead.Store(int64(attempt.after))
		targets = nil
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", strconv.Itoa(attempt.wait))
		rig.do(request)
		c.Assert(len(targets) > 0, qt.IsTrue)
		c.Assert(targets[0], qt.Equals, strconv.Itoa(attempt.want), qt.Commentf("%+v", attempt))
	}
	c.Assert(rig.entry.Counters.Returned.Value(), qt.Equals, int64(4))
}

// TestOnlyRepeatedFailuresReturn guards against a new request that is taken for a return of one that its
// caller has no reason to repeat, and against one that loses its first attempt to an early call that is
// not started.
func TestOnlyRepeatedFailuresReturn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		path     string
		answer   func(http.ResponseWriter)
		isEarly  bool
		returned int64
	}{
		{"overloaded", "/lookup", func(w http.ResponseWriter) { Refuse(w, core.Overloaded, "scripted") }, false, 1},
		{"over quota", "/lookup", func(w http.ResponseWriter) { Refuse(w, core.Limited, "scripted") }, false, 0},
		{"no such record", "/lookup", func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) }, false, 0},
		{"failed", "/lookup", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, false, 1},
		{"in vain on this connection", "/lookup", func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }, false, 1},
		{"early call not started", "/order", func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, true, 0},
		{"early call before a return", "/order", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newEntryRig(t, func(config *EntryConfig) {
				config.Dialect = fakeDialect{}
				config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
					return retry.NewWindowBudget(retry.WindowBudgetConfig{Span: time.Second}, now)
				}
				config.Clock = fixedClock{base: time.Now(), clock: &gateFakeClock{}}
				config.LocalGate = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.answer(w) })
			}, gateHost("self", ""))
			for range 2 {
				request := rig.request("POST", tc.path, "")
				request.Header.Set("X-Wait", "1000")
				if tc.isEarly {
					early := request.Clone(t.Context())
					early.RequestURI = tc.path
					c.Assert(rig.entry.serve(httptest.NewRecorder(), early, nil, true), qt.IsFalse)
				}
				rig.do(request)
			}
			c.Assert(rig.entry.Counters.Returned.Value(), qt.Equals, tc.returned)
		})
	}
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
		linkSeconds int64
		// end ends the body of the first upload, of which half was sent.
		end func(*io.PipeWriter)
	}{
		{"arrived", 30, func(body *io.PipeWriter) {
			_, _ = body.Write(make([]byte, size/2))
			_ = body.Close()
		}},
		// What was sent may count for as long as the whole body needs on the link, and no longer.
		{"broken off", 30, func(body *io.PipeWriter) { _ = body.CloseWithError(io.ErrUnexpectedEOF) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := newGateRawUpstream(t, func(conn net.Conn, _ int64) bool { return gateWriteOK(conn) })
			rig := newGateRig(t, upstream.address())
			config := rig.gate.config
			config.LinkRate = size / tc.linkSeconds
			base, clock := time.Now(), &gateFakeClock{}
			config.Clock = fixedClock{base: base, clock: clock}
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
			// What was sent of a broken upload may count for as long as the whole needs on the link.
			passed := time.Duration(float64(size) / float64(config.LinkRate) * float64(time.Second))
			for isOver := false; !isOver; time.Sleep(time.Millisecond) {
				gate.mu.Lock()
				isGranted := gate.admission.Waiting() == 0
				isOver = isGranted || gate.admission.InFlight() == 0
				if isOver && !isGranted {
					qt.Check(t, gate.grantAt, qt.Equals, base.Add(passed))
					clock.ahead.Store(int64(passed))
					gate.grantTimer.Reset(0)
				}
				gate.mu.Unlock()
			}
			_, err = second.Write(make([]byte, size))
			c.Assert(err, qt.IsNil)
			_ = second.Close()
			c.Assert((<-secondResult).status, qt.Equals, http.StatusOK)
		})
	}
}

// TestGrantTimerMovesUp guards against a waiting upload that gets its slot only when the one before it
// would have run out of time, although that one has ended.
func TestGrantTimerMovesUp(t *testing.T) {
	c := qt.New(t)
	rig := newGateRig(t, "127.0.0.1:0")
	config := rig.gate.config
	config.LinkRate = 100
	base, clock := time.Now(), &gateFakeClock{}
	config.Clock = fixedClock{base: base, clock: clock}
	gate := NewGate(config)
	request := admit.Request{
		Route:     "order",
		Deadline:  base.Add(time.Minute),
		BodyBytes: 1000,
	}
	var first, second admit.Ticket
	waiting := &gateCall{wake: make(chan admit.Wake, 1)}
	second.Owner = waiting
	gate.mu.Lock()
	gate.configure(base, rig.view.snapshot.Load())
	c.Assert(gate.admission.Offer(base, request, &first), qt.Equals, admit.Decision{})
	c.Assert(gate.admission.Offer(base, request, &second).Wait, qt.IsTrue)
	gate.scheduleGrant(base)
	stale := gate.grantTimer
	c.Assert(gate.grantAt, qt.Equals, base.Add(40200*time.Millisecond))
	gate.mu.Unlock()
	clock.ahead.Store(int64(time.Second))
	gate.finish(&first, false)
	gate.mu.Lock()
	c.Assert(gate.grantAt, qt.Equals, base.Add(11*time.Second))
	moved := gate.grantTimer
	gate.mu.Unlock()
	clock.ahead.Store(int64(11 * time.Second))
	// The timer that was replaced may already have fired.
	stale.Reset(0)
	time.Sleep(10 * time.Millisecond)
	gate.mu.Lock()
	c.Assert(gate.grantTimer, qt.Equals, moved)
	gate.mu.Unlock()
	moved.Reset(0)
	c.Assert((<-waiting.wake).Kind, qt.Equals, core.ErrorKind(""))
	gate.finish(&second, false)
}

// TestDisplacedOnTheWire guards against a refusal that entries of earlier releases take for a lost answer.
func TestDisplacedOnTheWire(t *testing.T) {
	c := qt.New(t)
	rig := newGateRig(t, "127.0.0.1:0")
	recorder := httptest.NewRecorder()
	call, kind, _ := rig.gate.newCall(recorder, rig.request("GET", "lookup", nil))
	c.Assert(kind, qt.Equals, core.ErrorKind(""))
	call.refuse(core.Displaced, "scripted")
	c.Assert(recorder.Header().Get(HeaderError), qt.Equals, string(core.Overloaded))
	c.Assert(recorder.Header().Get(HeaderOutcome), qt.Equals, OutcomeNotRun)
	c.Assert(rig.gate.counters.Refused.Get(string(core.Displaced)).String(), qt.Equals, "1")
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
	// Another request asks again after a second, and then none for the next one.
	clock.ahead.Store(int64(4100 * time.Millisecond))
	c.Assert(ask(500), qt.Equals, 1)
	c.Assert(ask(500), qt.Equals, 0)
}

// TestNextBestAfterFullUpstream guards against a refusal because the nearest upstream is known to have no
// room, while one in another zone has some.
func TestNextBestAfterFullUpstream(t *testing.T) {
	c := qt.New(t)
	clock := &gateFakeClock{}
	near := startGate(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderRetryAfter, "60000")
		Refuse(w, core.Overloaded, "scripted")
	})
	far := startGate(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "true")
		w.WriteHeader(http.StatusOK)
	})
	rig := newEntryRig(t, func(config *EntryConfig) {
		config.Dialect = fakeDialect{}
		config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
			return retry.NewWindowBudget(retry.WindowBudgetConfig{Span: time.Second}, now)
		}
		config.Clock = fixedClock{base: time.Now(), clock: clock}
	}, gateHost("near", near), otherZoneHost("far", far))
	for i := range 5 {
		// The backoff of the refusal has passed, but not the time for which the upstream is full.
		clock.ahead.Store(int64(time.Duration(i) * 190 * time.Millisecond))
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", "5000")
		c.Assert(rig.do(request).status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
	}
}

// TestFullUpstreamLeavesOthers guards against refusals of requests that an upstream has room for, because
// the one that seems best has none, and against requests that ask every full upstream.
func TestFullUpstreamLeavesOthers(t *testing.T) {
	c := qt.New(t)
	var hosts []core.Host
	asked := make([]atomic.Int64, 6)
	free := new(atomic.Int64)
	free.Store(5)
	for i := range asked {
		hosts = append(hosts, gateHost("h"+strconv.Itoa(i), startGate(t, func(w http.ResponseWriter, _ *http.Request) {
			asked[i].Add(1)
			if free.Load() == int64(i) {
				w.Header().Set("X-Signed", "true")
				w.WriteHeader(http.StatusOK)
				return
			}
			w.Header().Set(HeaderRetryAfter, "60000")
			Refuse(w, core.Overloaded, "scripted")
		})))
	}
	rig := newEntryRig(t, func(config *EntryConfig) {
		config.Dialect = fakeDialect{}
		config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
			return retry.NewWindowBudget(retry.WindowBudgetConfig{Span: time.Second}, now)
		}
		config.Clock = fixedClock{base: time.Now(), clock: &gateFakeClock{}}
		config.Sleep = func(context.Context, time.Duration) error { return nil }
	}, hosts...)
	statuses := map[int]int{}
	for range 20 {
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", "5000")
		statuses[rig.do(request).status]++
	}
	// Until the full ones are known, some requests ask only these.
	c.Assert(statuses[http.StatusOK] >= 18, qt.IsTrue, qt.Commentf("%v", statuses))
	for i := range asked[:5] {
		c.Assert(asked[i].Load() <= 1, qt.IsTrue, qt.Commentf("host %d was asked %d times", i, asked[i].Load()))
	}
	free.Store(-1)
	for range 20 {
		request := rig.request("GET", "/lookup", "")
		request.Header.Set("X-Wait", "5000")
		c.Assert(rig.do(request).status, qt.Equals, http.StatusServiceUnavailable)
	}
	for i := range asked[:5] {
		c.Assert(asked[i].Load() <= 1, qt.IsTrue, qt.Commentf("host %d was asked %d times", i, asked[i].Load()))
	}
}
