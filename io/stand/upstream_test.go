package stand_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/proxy"
	"verbenaway/io/stand"
)

// startHanging sends n requests that hang. The function that it returns ends the hanging and
// returns their answers.
func startHanging(upstream *stand.Upstream, client *http.Client, address string, n int) func() []reply {
	upstream.SetFaults(stand.UpstreamFaults{
		Hang: true,
	})
	answers := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			answers[i] = call(client, "GET", address, "")
		})
	}
	waitUntil(func() bool { return upstream.Runs(false).InFlight == n })
	return func() []reply {
		upstream.SetFaults(stand.UpstreamFaults{})
		group.Wait()
		return answers
	}
}

// TestUpstreamAnswer guards against a wrong answer that CheckAnswer accepts.
func TestUpstreamAnswer(t *testing.T) {
	c := qt.New(t)
	server, client := serve(c, stand.NewUpstream(stand.UpstreamConfig{
		Host: "a",
	}))
	got := call(client, "POST", server.URL()+"/x?bytes=100000", "footage", stand.HeaderRequestID, "r1")
	c.Assert(got.status, qt.Equals, 200)
	c.Check(got.header.Get(proxy.HeaderBootID), qt.Equals, "a-0")
	c.Check(got.header.Get(stand.HeaderUploadBytes), qt.Equals, "7")
	c.Check(got.header.Get(stand.HeaderUploadChecksum), qt.Not(qt.Equals), "")
	_, err := stand.CheckAnswer("r1", got.header, strings.NewReader(got.body))
	c.Check(err, qt.IsNil)
	wrong := got.header.Clone()
	wrong.Set(stand.HeaderRequestID, "r2")
	for name, test := range map[string]struct {
		id     string
		header http.Header
		body   string
	}{
		"other id":       {id: "r2", header: got.header, body: got.body},
		"other contents": {id: "r2", header: wrong, body: got.body},
		"cut body":       {id: "r1", header: got.header, body: got.body[1:]},
		"changed body":   {id: "r1", header: got.header, body: got.body[1:] + "x"},
	} {
		_, err := stand.CheckAnswer(test.id, test.header, strings.NewReader(test.body))
		c.Check(err, qt.ErrorIs, stand.ErrWrongAnswer, qt.Commentf("%s", name))
	}
}

// TestUpstreamCountsRuns guards against repeated runs that are not counted.
func TestUpstreamCountsRuns(t *testing.T) {
	tests := []struct {
		name, method         string
		keys                 [2]string
		duplicated, repeated int64
	}{
		{name: "order twice", method: "POST", keys: [2]string{"k1", "k1"}, duplicated: 1},
		{name: "two orders", method: "POST", keys: [2]string{"k1", "k2"}},
		{name: "lookup twice", method: "GET", keys: [2]string{"k1", "k1"}, repeated: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := stand.NewUpstream(stand.UpstreamConfig{})
			server, client := serve(c, upstream)
			for _, key := range test.keys {
				call(client, test.method, server.URL(), "", proxy.HeaderIdempotencyKey, key)
			}
			var runs stand.Runs
			got := call(client, "GET", server.URL()+"/control/runs?byId=1", "")
			c.Assert(json.Unmarshal([]byte(got.body), &runs), qt.IsNil)
			c.Check(runs.Requests, qt.Equals, int64(2))
			c.Check(runs.Duplicated, qt.Equals, test.duplicated)
			c.Check(runs.Repeated, qt.Equals, test.repeated)
			if test.duplicated > 0 {
				c.Check(runs.ByID, qt.DeepEquals, map[string]int{"k1": 2})
			}
		})
	}
}

// TestUpstreamSlots guards against an upstream that runs more requests than it has slots, and in
// cold start against one that does not fail under overload.
func TestUpstreamSlots(t *testing.T) {
	tests := []struct {
		name     string
		coldFor  time.Duration
		runs     int
		statuses []int // of further requests; 0 means a reset connection
		overload int64
	}{
		{name: "warm", runs: 4, statuses: []int{503, 503, 503, 503}},
		{name: "cold", coldFor: time.Hour, runs: 2, statuses: []int{503, 503, 0}, overload: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := stand.NewUpstream(stand.UpstreamConfig{
				Clock:         newFakeClock(),
				Slots:         4,
				ColdSlots:     2,
				ColdFor:       test.coldFor,
				ColdTolerance: 2,
			})
			server, client := serve(c, upstream)
			finish := startHanging(upstream, client, server.URL(), test.runs)
			for _, status := range test.statuses {
				got := call(client, "POST", server.URL(), "")
				c.Check(got.status, qt.Equals, status)
				if status != 0 {
					c.Check(got.header.Get(proxy.HeaderShed), qt.Equals, "1")
				}
			}
			for _, got := range finish() {
				c.Check(got.status, qt.Equals, 200)
			}
			runs := upstream.Runs(false)
			c.Check(runs.MaxConcurrent, qt.Equals, test.runs)
			c.Check(runs.Requests, qt.Equals, int64(test.runs))
			c.Check(runs.ColdOverloads, qt.Equals, test.overload)
		})
	}
}

// TestUpstreamColdStartEnds guards against an upstream that stays cold, and against a cold start
// at run time that has no effect.
func TestUpstreamColdStartEnds(t *testing.T) {
	c := qt.New(t)
	clock := newFakeClock()
	upstream := stand.NewUpstream(stand.UpstreamConfig{
		Clock:     clock,
		Host:      "a",
		ColdSlots: 1,
		ColdFor:   5 * time.Second,
	})
	server, client := serve(c, upstream)
	health := func() string {
		got := call(client, "GET", server.URL()+"/health", "")
		return got.header.Get(proxy.HeaderBootID) + " " + strings.TrimSpace(got.body)
	}
	c.Check(health(), qt.Equals, `a-0 {"status":"cold","inFlight":0,"slots":18}`)
	clock.advance(5 * time.Second)
	c.Check(health(), qt.Equals, `a-0 {"status":"ok","inFlight":0,"slots":18}`)
	upstream.SetFaults(stand.UpstreamFaults{
		ColdStart: true,
	})
	c.Check(health(), qt.Equals, `a-0 {"status":"cold","inFlight":0,"slots":18}`)
	upstream.SetFaults(stand.UpstreamFaults{
		Restart:      true,
		HealthStatus: "ok",
	})
	c.Check(health(), qt.Equals, `a-1 {"status":"ok","inFlight":0,"slots":18}`)
}

// TestUpstreamFaults guards against a fault without effect, and against a run that is not counted
// because its answer is lost.
func TestUpstreamFaults(t *testing.T) {
	tests := []struct {
		name, faults string
		status       int // 0 means no answer
		wantErr      bool
		requests     int64
	}{
		{name: "drain", faults: `{"drain":true}`, status: 503},
		{name: "shed", faults: `{"shed":true}`, status: 503},
		{name: "reset before", faults: `{"resetBefore":true}`, requests: 1, wantErr: true},
		{name: "reset after", faults: `{"resetAfter":true}`, status: 200, requests: 1, wantErr: true},
		{name: "cut", faults: `{"cut":true}`, status: 200, requests: 1, wantErr: true},
		{name: "slow", faults: `{"slowBody":"1ms","delay":"1ms"}`, status: 200, requests: 1},
		{name: "every second request", faults: `{"resetBefore":true,"every":2}`, status: 200, requests: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			upstream := stand.NewUpstream(stand.UpstreamConfig{})
			server, client := serve(c, upstream)
			c.Assert(call(client, "POST", server.URL()+"/control/faults", test.faults).status, qt.Equals, 204)
			got := call(client, "POST", server.URL(), "", stand.HeaderRequestID, "r1")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.err != nil, qt.Equals, test.wantErr)
			c.Check(upstream.Runs(false).Requests, qt.Equals, test.requests)
		})
	}
}

// TestUpstreamCancel guards against a canceled request that keeps its slot or is not counted as
// run.
func TestUpstreamCancel(t *testing.T) {
	c := qt.New(t)
	upstream := stand.NewUpstream(stand.UpstreamConfig{})
	server, client := serve(c, upstream)
	upstream.SetFaults(stand.UpstreamFaults{
		Hang: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL(), nil)
	c.Assert(err, qt.IsNil)
	ended := make(chan error)
	go func() {
		_, err := client.Do(request) //nolint:bodyclose // there is no answer
		ended <- err
	}()
	waitUntil(func() bool { return upstream.Runs(false).InFlight == 1 })
	cancel()
	c.Check(<-ended, qt.ErrorIs, context.Canceled)
	waitUntil(func() bool { return upstream.Runs(false).InFlight == 0 })
	got := call(client, "GET", server.URL(), "", proxy.HeaderTimeout, "1")
	c.Check(got.status, qt.Equals, 499)
	c.Check(upstream.Runs(false).Requests, qt.Equals, int64(2))
	c.Check(upstream.Runs(false).Canceled, qt.Equals, int64(2))
}

// TestUpstreamConnections guards against an upstream that ignores its connection limit.
func TestUpstreamConnections(t *testing.T) {
	c := qt.New(t)
	upstream := stand.NewUpstream(stand.UpstreamConfig{
		Connections: 2,
	})
	server, client := serve(c, upstream)
	finish := startHanging(upstream, client, server.URL(), 2)
	got := call(client, "POST", server.URL(), "")
	c.Check(got.err, qt.IsNotNil)
	for _, answer := range finish() {
		c.Check(answer.status, qt.Equals, 200)
	}
	runs := upstream.Runs(false)
	c.Check(runs.MaxConnections, qt.Equals, 2)
	c.Check(runs.ConnectionsRefused, qt.Equals, int64(1))
}

// TestUpstreamChain guards against a chain of calls that loses its depth, and against a failed
// call in the chain that its callers do not report.
func TestUpstreamChain(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var depths []string
	var upstream *stand.Upstream
	// The relay replaces the daemon: it increments the depth and refuses a ninth call.
	relay, relayClient := serve(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depth, _ := strconv.Atoi(r.Header.Get(proxy.HeaderDepth))
		if depth >= proxy.MaxDepth {
			proxy.Refuse(w, core.DepthExceeded, "too deep")
			return
		}
		r.Header.Set(proxy.HeaderDepth, strconv.Itoa(depth+1))
		mu.Lock()
		depths = append(depths, r.Header.Get(proxy.HeaderDepth)+" "+r.Host)
		mu.Unlock()
		upstream.ServeHTTP(w, r)
	}))
	upstream = stand.NewUpstream(stand.UpstreamConfig{
		CallURL:  relay.URL(),
		CallHost: "next",
		CallPath: "/next",
	})
	c.Cleanup(upstream.Close)
	relayHost := strings.TrimPrefix(relay.URL(), "http://")
	c.Check(call(relayClient, "GET", relay.URL()+"/?calls=7", "", stand.HeaderRequestID, "r").status, qt.Equals, 200)
	c.Check(depths, qt.DeepEquals, []string{"1 " + relayHost, "2 next", "3 next", "4 next", "5 next", "6 next", "7 next", "8 next"})
	c.Check(call(relayClient, "GET", relay.URL()+"/?calls=8", "", stand.HeaderRequestID, "s").status, qt.Equals, 502)
}
