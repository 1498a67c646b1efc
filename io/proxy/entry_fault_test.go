package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/tools/fixed"
)

// TestMain fixes the random seed, so that every run has the same result; command-line flags take
// precedence.
func TestMain(m *testing.M) {
	fixed.ConfigureRapid(1)
	goleak.VerifyTestMain(m)
}

// TestEntryFaults guards against an order that runs twice or is wrongly reported as not run, a lookup
// that is not retried, and an incomplete answer that looks complete. The first gatekeeper is faulty,
// the second one works.
func TestEntryFaults(t *testing.T) {
	const cutOff = "cut off"
	const ok = "ok"
	cases := []struct {
		name string
		gate func(net.Conn, *http.Request, string) bool
		// order and lookup are the expected results: a kind, ok or cutOff.
		order  string
		lookup string
	}{
		{name: "dial refused", order: ok, lookup: ok},
		{name: "reset before the first byte", gate: respondRaw("", true), order: "outcomeUnknown", lookup: ok},
		{name: "closed before the first byte", gate: respondRaw("", false), order: "outcomeUnknown", lookup: ok},
		{name: "cut in the header", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Le", false), order: "outcomeUnknown", lookup: ok},
		{name: "not HTTP", gate: respondRaw("nonsense\r\n\r\n", false), order: "outcomeUnknown", lookup: ok},
		{name: "cut after the first byte", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", false), order: "outcomeUnknown", lookup: ok},
		{name: "reset after the first byte", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", true), order: "outcomeUnknown", lookup: ok},
		{name: "large answer cut after the first byte", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nx", false), order: cutOff, lookup: cutOff},
		{name: "large answer reset after the first byte", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nx", true), order: cutOff, lookup: cutOff},
		{name: "cut between chunks", gate: respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", false), order: cutOff, lookup: cutOff},
		{name: "cut before the first chunk", gate: respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false), order: "outcomeUnknown", lookup: ok},
		{name: "large answer cut before the first byte", gate: respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", false), order: "outcomeUnknown", lookup: ok},
		{name: "hang before the first chunk", gate: func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			_, _ = conn.Read(make([]byte, 1))
			return false
		}, order: "deadlineInRun", lookup: "deadlineInRun"},
		{name: "end without length", gate: respondRaw("HTTP/1.1 200 OK\r\n\r\nx", false), order: cutOff, lookup: cutOff},
		{name: "hang", gate: func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = conn.Read(make([]byte, 1))
			return false
		}, order: "deadlineInRun", lookup: "deadlineInRun"},
	}
	for _, tc := range cases {
		for route, want := range map[string]string{"/order": tc.order, "/lookup": tc.lookup} {
			t.Run(tc.name+route, func(t *testing.T) {
				c := qt.New(t)
				address := closedAddress(t)
				if tc.gate != nil {
					address = rawGate(t, tc.gate)
				}
				ran := &runCounter{}
				rig := newEntryRig(t, nil, gateHost("bad", address), otherZoneHost("good", startGate(t, ran.handler)))
				a := rig.do(rig.request("POST", route, "x", func(r *http.Request) {
					r.Header.Set(HeaderTimeout, "300")
				}))
				switch want {
				case ok:
					c.Check(a.body, qt.Equals, "ran x")
					c.Check(ran.of("x"), qt.Equals, 1)
					return
				case cutOff:
					c.Check(a.err, qt.IsNotNil)
				default:
					c.Check(a.kind, qt.Equals, want)
					c.Check(a.outcome, qt.Equals, OutcomeUnknown)
				}
				c.Check(ran.of("x"), qt.Equals, 0)
			})
		}
	}
}

// TestEntryRefusals guards against a wrong interpretation of a gatekeeper's refusal: whether the
// request has run, and whether it may be retried.
func TestEntryRefusals(t *testing.T) {
	type row struct {
		kind    core.ErrorKind
		outcome string
	}
	rows := []row{
		{kind: core.Overloaded, outcome: OutcomeUnknown},
		{kind: "newerKind", outcome: OutcomeNotRun},
		{kind: "newerKind", outcome: OutcomeUnknown},
	}
	for _, info := range core.ErrorKinds {
		if info.Status != 0 {
			rows = append(rows, row{kind: info.Kind, outcome: map[bool]string{true: OutcomeNotRun, false: OutcomeUnknown}[info.NotRun]})
		}
	}
	for _, tc := range rows {
		for _, route := range []string{"/order", "/lookup"} {
			t.Run(string(tc.kind)+tc.outcome+route, func(t *testing.T) {
				c := qt.New(t)
				ran := &runCounter{}
				rig := newEntryRig(t, nil, gateHost("bad", startGate(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(HeaderError, string(tc.kind))
					w.Header().Set(HeaderOutcome, tc.outcome)
					w.WriteHeader(http.StatusServiceUnavailable)
				})), otherZoneHost("good", startGate(t, ran.handler)))
				a := rig.do(rig.request("POST", route, "x"))
				info := tc.kind.Info()
				notRun := tc.outcome == OutcomeNotRun
				isLostAnswer := tc.kind == core.OutcomeUnknown || tc.kind == core.UpstreamFailed || tc.kind == core.Canceled || !notRun && info.NotRun || info.Kind != tc.kind && !notRun
				if notRun && info.Retry || route == "/lookup" && isLostAnswer {
					c.Check(a.body, qt.Equals, "ran x")
					return
				}
				c.Check(ran.of("x"), qt.Equals, 0)
				c.Check(a.outcome == OutcomeNotRun, qt.Equals, notRun && info.NotRun, qt.Commentf("%s", a.kind))
			})
		}
	}
}

// TestEntryOutcomeAfterRetry guards against the outcome "not run" after an earlier attempt that may
// have run.
func TestEntryOutcomeAfterRetry(t *testing.T) {
	c := qt.New(t)
	rig := newEntryRig(t, nil,
		gateHost("bad", rawGate(t, respondRaw("", true))),
		otherZoneHost("full", startGate(t, refuseWith(core.Limited))))
	a := rig.do(rig.request("POST", "/lookup", "x"))
	c.Check(a.kind, qt.Equals, string(core.UpstreamFailed))
	c.Check(a.outcome, qt.Equals, OutcomeUnknown)
}

// TestEntryStaleConnection guards against retries by http.Transport itself when the gatekeeper closes
// an idle connection as a request arrives on it, since the request may have run.
func TestEntryStaleConnection(t *testing.T) {
	cases := []struct {
		method string
		body   string
		key    string
	}{
		{method: "POST", body: "x"},
		{method: "POST", body: "x", key: "1-a"},
		{method: "POST", key: "1-a"},
		{method: "GET"},
		{method: "HEAD"},
	}
	for _, tc := range cases {
		t.Run(tc.method+tc.body+tc.key, func(t *testing.T) {
			c := qt.New(t)
			var received atomic.Int32
			address := rawGate(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				if received.Add(1) > 1 {
					return false
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			host := gateHost("a", address)
			rig := newEntryRig(t, func(config *EntryConfig) {
				config.Owner = func(string, []core.Member) (core.Host, bool) { return host, true }
			}, host)
			for _, want := range []int{http.StatusOK, http.StatusBadGateway} {
				a := rig.do(rig.request(tc.method, "/order", tc.body, func(r *http.Request) {
					if tc.key != "" {
						r.Header.Set(HeaderIdempotencyKey, tc.key)
					}
				}))
				c.Check(a.status, qt.Equals, want)
			}
			c.Check(received.Load(), qt.Equals, int32(2))
		})
	}
}

// TestEntryAnswersOwnRequest guards against an answer that is passed on for another request: one sent
// twice on a kept connection, one after the deadline of its request, or one out of order.
func TestEntryAnswersOwnRequest(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	address := rawGate(t, func(conn net.Conn, _ *http.Request, body string) bool {
		if strings.HasPrefix(body, "late") {
			<-release
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if body == "doubled" {
			text += text
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	rig := newEntryRig(t, nil, gateHost("a", address))
	slow := make(chan answer)
	go func() { slow <- rig.do(rig.request("POST", "/order", "late but waited for")) }()
	a := rig.do(rig.request("POST", "/order", "late", func(r *http.Request) { r.Header.Set(HeaderTimeout, "50") }))
	c.Check(a.kind, qt.Equals, string(core.DeadlineInRun))
	for i := range 200 {
		a = rig.do(rig.request("POST", "/order", "doubled"))
		c.Check(a.body == "doubled" || a.kind == string(core.OutcomeUnknown), qt.IsTrue, qt.Commentf("%v", a))
		body := fmt.Sprintf("single %d", i)
		if a = rig.do(rig.request("POST", "/order", body)); a.kind == "" {
			c.Check(a.body, qt.Equals, body)
		}
	}
	close(release)
	c.Check((<-slow).body, qt.Equals, "late but waited for")
}

// TestCountingConnIsAnswered guards against data after the end of an answer that is taken for the
// answer to the next request.
func TestCountingConnIsAnswered(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	conn := &countingConn{Conn: client, transport: &entryTransport{}}
	defer func() { _ = conn.Close() }()
	answer := func() {
		go func() { _, _ = server.Write([]byte("answer")) }()
		_, _ = io.ReadFull(conn, make([]byte, 6))
	}
	go func() { _, _ = io.Copy(io.Discard, server) }()
	for range 2 {
		answer()
		conn.isUnsent.Store(true)
		c.Check(conn.isAnswered(), qt.IsFalse, qt.Commentf("the request has not been written"))
		_, _ = conn.Write([]byte("request"))
		c.Check(conn.isAnswered(), qt.IsFalse, qt.Commentf("nothing was read after the request"))
		answer()
		c.Check(conn.isAnswered(), qt.IsTrue)
	}
}

// TestEntryLargeUpload guards against an upload that is sent before it is admitted, is lost after a
// refusal, or arrives changed.
func TestEntryLargeUpload(t *testing.T) {
	upload := bytes.Repeat([]byte("footage "), 100_000)
	for _, hasLength := range []bool{true, false} {
		t.Run(fmt.Sprintf("known length %v", hasLength), func(t *testing.T) {
			c := qt.New(t)
			bodyBytes := make(chan int64, 1)
			full := rawGate(t, func(conn net.Conn, r *http.Request, _ string) bool {
				c.Check(r.Header.Get("Expect"), qt.Equals, "100-continue")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%s: overloaded\r\n%s: notRun\r\nContent-Length: 0\r\n\r\n", HeaderError, HeaderOutcome)
				n, _ := io.Copy(io.Discard, conn)
				bodyBytes <- n
				return false
			})
			var got []byte
			good := startGate(t, func(_ http.ResponseWriter, r *http.Request) { got, _ = io.ReadAll(r.Body) })
			rig := newEntryRig(t, nil, gateHost("full", full), otherZoneHost("good", good))
			a := rig.do(rig.request("POST", "/order", "", func(r *http.Request) {
				r.Body = io.NopCloser(bytes.NewReader(upload))
				r.ContentLength = -1
				if hasLength {
					r.ContentLength = int64(len(upload))
				}
			}))
			c.Check(a.status, qt.Equals, http.StatusOK)
			c.Check(<-bodyBytes, qt.Equals, int64(0))
			c.Check(bytes.Equal(got, upload), qt.IsTrue)
		})
	}
}

// TestEntrySlowCaller guards against a request that stays open past its deadline because its caller
// sends the body slowly, and against forwarding an incomplete body as a complete one.
func TestEntrySlowCaller(t *testing.T) {
	for _, length := range []int64{100, maxBufferedBytes + 1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := qt.New(t)
			ran := &runCounter{}
			rig := newEntryRig(t, nil, gateHost("a", startGate(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil {
					ran.add("whole")
				}
			})))
			reader, writer := io.Pipe()
			defer func() { _ = writer.Close() }()
			go func() { _, _ = writer.Write([]byte("x")) }()
			a := rig.do(rig.request("POST", "/order", "", func(r *http.Request) {
				r.Body, r.ContentLength = reader, length
				r.Header.Set(HeaderTimeout, "100")
			}))
			want := core.DeadlineBeforeRun
			if length > maxBufferedBytes {
				want = core.DeadlineInRun
			}
			c.Check(a.kind, qt.Equals, string(want), qt.Commentf("%v", a.err))
			c.Check(ran.of("whole"), qt.Equals, 0)
		})
	}
}

// TestEntryCanceled guards against a request that continues after its caller has disconnected, at
// each step of the request.
func TestEntryCanceled(t *testing.T) {
	steps := []string{"dial", "backoff", "run", "answer"}
	for _, step := range steps {
		t.Run(step, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{}, 1)
			wait := func(ctx context.Context) error {
				cancel()
				<-ctx.Done()
				ended <- struct{}{}
				return ctx.Err()
			}
			var gate http.HandlerFunc = func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if step == "answer" {
					_, _ = w.Write([]byte("begun"))
					_ = http.NewResponseController(w).Flush()
				}
				_ = wait(r.Context())
			}
			if step == "backoff" {
				gate = refuseWith(core.Overloaded)
			}
			rig := newEntryRig(t, func(config *EntryConfig) {
				config.Sleep = func(ctx context.Context, _ time.Duration) error { return wait(ctx) }
				if step == "dial" {
					config.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, wait(ctx) }
				}
			}, gateHost("a", startGate(t, gate)))
			a := rig.do(rig.request("POST", "/order", "x").WithContext(ctx))
			c.Check(errors.Is(a.err, context.Canceled), qt.IsTrue, qt.Commentf("%v", a.err))
			<-ended
			c.Check(rig.entry.Drain(t.Context()), qt.IsNil)
			c.Check(rig.entry.Counters.Attempts.Value() <= 1, qt.IsTrue)
		})
	}
}
