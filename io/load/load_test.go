package load_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/io/load"
	"verbenaway/io/proxy"
	"verbenaway/io/stand"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func requestTemplate(name string) load.RequestTemplate {
	for _, template := range load.RequestTemplates {
		if template.Name == name {
			return template
		}
	}
	panic("unknown kind of request " + name)
}

// serve starts a server for a handler and returns its address.
func serve(c *qt.C, handler http.Handler) string {
	server, err := stand.Serve("127.0.0.1:0", handler)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		c.Check(server.Close(), qt.IsNil)
	})
	return server.Address()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	return listener.Addr().String()
}

func faultyUpstream(faults stand.UpstreamFaults) http.Handler {
	upstream := stand.NewUpstream(stand.UpstreamConfig{
		Host: "a",
	})
	upstream.SetFaults(faults)
	return upstream
}

func refuseWith(kind core.ErrorKind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		proxy.Refuse(w, kind, "test")
	})
}

// swappedAnswer answers each request with the answer to a different one.
var swappedAnswer = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	r.Header.Set(stand.HeaderRequestID, "other")
	faultyUpstream(stand.UpstreamFaults{}).ServeHTTP(w, r)
})

// TestSenderOutcomes guards against a failure that the sender misses or reports as another one.
func TestSenderOutcomes(t *testing.T) {
	tests := []struct {
		name, template string
		handler        http.Handler // nil means no listener
		outcome        load.Outcome
		kind           core.ErrorKind
		mayHaveRun     bool
		broken         int
	}{
		{name: "answer", template: "history", handler: faultyUpstream(stand.UpstreamFaults{}), outcome: load.OK, mayHaveRun: true},
		{name: "upload", template: "upload", handler: faultyUpstream(stand.UpstreamFaults{}), outcome: load.OK, mayHaveRun: true},
		{name: "answer to another request", template: "lookup", handler: swappedAnswer, outcome: load.Wrong, mayHaveRun: true},
		{name: "cut answer", template: "history", handler: faultyUpstream(stand.UpstreamFaults{Cut: true}), outcome: load.Cut, mayHaveRun: true, broken: 1},
		{name: "reset", template: "order", handler: faultyUpstream(stand.UpstreamFaults{ResetBefore: true}), outcome: load.Failed, mayHaveRun: true, broken: 1},
		{name: "shed", template: "lookup", handler: faultyUpstream(stand.UpstreamFaults{Shed: true}), outcome: load.Failed},
		{name: "not run", template: "order", handler: refuseWith(core.Leaving), outcome: load.Refused, kind: core.Leaving},
		{name: "unknown", template: "order", handler: refuseWith(core.OutcomeUnknown), outcome: load.Refused, kind: core.OutcomeUnknown, mayHaveRun: true},
		{name: "connection refused", template: "order", outcome: load.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := closedAddress(c)
			if test.handler != nil {
				address = serve(c, test.handler)
			}
			sender := load.NewSender(load.SenderConfig{
				Entries: []string{address},
			})
			defer sender.Close()
			got := sender.Send(context.Background(), requestTemplate(test.template), "r1", "")
			c.Check(got.Outcome, qt.Equals, test.outcome, qt.Commentf("%v", got.Err))
			c.Check(got.Kind, qt.Equals, test.kind)
			c.Check(got.MayHaveRun, qt.Equals, test.mayHaveRun)
			c.Check(got.Broken, qt.Equals, test.broken)
			c.Check(got.Err == nil, qt.Equals, test.outcome == load.OK)
		})
	}
}

// TestSenderResends guards against a resend that makes an order run twice, and against a
// sender that gives up although another daemon would answer.
func TestSenderResends(t *testing.T) {
	tests := []struct {
		name, template, key string
		first               http.Handler // of the first attempt; a second one succeeds
		attempts            int
	}{
		{name: "not run", template: "order", first: refuseWith(core.Leaving), attempts: 2},
		{name: "not run, not retryable", template: "order", first: refuseWith(core.NoRoute), attempts: 1},
		{name: "unknown", template: "order", first: refuseWith(core.OutcomeUnknown), key: "1-a", attempts: 1},
		{name: "lost order without key", template: "order", first: faultyUpstream(stand.UpstreamFaults{Cut: true}), attempts: 1},
		{name: "lost order with key", template: "order", key: "1-a", first: faultyUpstream(stand.UpstreamFaults{Cut: true}), attempts: 2},
		{name: "lost lookup", template: "lookup", first: faultyUpstream(stand.UpstreamFaults{Cut: true}), attempts: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			// The first attempt goes to the second entry.
			sender := load.NewSender(load.SenderConfig{
				Entries: []string{serve(c, faultyUpstream(stand.UpstreamFaults{})), serve(c, test.first)},
				Resends: 3,
			})
			defer sender.Close()
			got := sender.Send(context.Background(), requestTemplate(test.template), "r1", test.key)
			c.Check(got.Attempts, qt.Equals, test.attempts)
			c.Check(got.Outcome == load.OK, qt.Equals, test.attempts == 2)
		})
	}
}

// TestRunIsOpenLoop guards against coordinated omission: a slow answer must not delay the next
// request or its intended start.
func TestRunIsOpenLoop(t *testing.T) {
	c := qt.New(t)
	mix, err := load.ParseMix("lookup=1,order=1")
	c.Assert(err, qt.IsNil)
	const requests = 20
	var started sync.WaitGroup
	started.Add(requests)
	meter := load.NewMeter()
	phase := meter.BeginPhase()
	load.Run(context.Background(), load.RunConfig{
		Mix:      mix,
		Rate:     1000,
		Duration: requests * time.Millisecond,
		Name:     "test",
		Send: func(context.Context, load.RequestTemplate, string, string) load.Result {
			started.Done()
			started.Wait() // no request ends before the last one has started
			return load.Result{
				Outcome:  load.OK,
				Attempts: 1,
			}
		},
	}, meter)
	c.Check(meter.All.Counts().OK, qt.Equals, int64(requests))
	c.Check(phase.Counts().OK, qt.Equals, int64(requests))
	// The first request waited for the last one, which started 19 ms later.
	c.Check(meter.All.Percentile(100) >= 19*time.Millisecond, qt.IsTrue)
	for key := range meter.All.Orders() {
		c.Check(key, qt.Matches, `\d{13}-[0-9a-f]{16}`)
	}
}

// TestRecorderLine guards against a summary line that omits failures.
func TestRecorderLine(t *testing.T) {
	c := qt.New(t)
	recorder := load.NewRecorder()
	for _, result := range []load.Result{
		{Outcome: load.OK, Attempts: 2, Broken: 1},
		{Outcome: load.Refused, Kind: core.Leaving, Attempts: 1},
		{Outcome: load.Wrong, Attempts: 1},
		{Outcome: load.Cut, Attempts: 1, Broken: 1},
		{Outcome: load.Failed, Attempts: 1},
	} {
		recorder.Record(requestTemplate("lookup"), "", result, 2*time.Millisecond, 0)
	}
	line := recorder.Line()
	for _, want := range []string{
		"requests=5 ok=1 refused=1 failed=1 wrong=1 cut=1 broken=2 sends=6 refused.leaving=1",
		" p99Ms=2.0", " lookup.p99Ms=2.0",
	} {
		c.Check(strings.Contains(line, want), qt.IsTrue, qt.Commentf("%q in %q", want, line))
	}
	c.Check(recorder.Counts().NotOK(), qt.Equals, int64(4))
}

// TestParseMix guards against a mix that silently omits a requested kind of request.
func TestParseMix(t *testing.T) {
	tests := []struct {
		text, err string
		templates int
	}{
		{text: "lookup=80, order=10", templates: 2},
		{text: "lookup=1,order=0", templates: 1},
		{text: "lookup=0", err: "a mix needs .*"},
		{text: "lookup", err: `mix "lookup": want name=weight .*`},
		{text: "patrol=1", err: `mix "patrol=1": unknown name, want .*`},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			mix, err := load.ParseMix(test.text)
			if test.err != "" {
				c.Check(err, qt.ErrorMatches, test.err)
				return
			}
			c.Check(err, qt.IsNil)
			c.Check(mix.Templates, qt.HasLen, test.templates)
		})
	}
}
