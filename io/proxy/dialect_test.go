package proxy

import (
	"bufio"
	"fmt"
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
	"verbenaway/core/retry"
)

// fakeDialect uses the headers X-Id, X-Wait (the timeout in milliseconds), X-Instance, X-NotRun,
// X-Signed, X-Kind, X-Key (the API key), X-Tenant and X-RateLimit.
type fakeDialect struct{}

func (fakeDialect) Timeout(header http.Header) (time.Duration, bool, error) {
	ms, err := strconv.Atoi(header.Get("X-Wait"))
	return time.Duration(ms) * time.Millisecond, err == nil, nil
}

func (fakeDialect) RequestID(header http.Header) string { return header.Get("X-Id") }
func (fakeDialect) NormalizeRequest(http.Header)        {}

func (fakeDialect) APIKey(header http.Header) (string, bool) {
	key := header.Get("X-Key")
	return key, key != ""
}

func (fakeDialect) RemoveIdentity(header http.Header) {
	header.Del("X-Key")
	header.Del("X-Tenant")
}

func (fakeDialect) SetTenant(header http.Header, tenant core.TenantName) {
	header.Set("X-Tenant", string(tenant))
}

func (fakeDialect) SetUpstreamHeaders(header http.Header, instance string, left time.Duration) {
	header.Set("X-Instance", instance)
	header.Set("X-Wait", strconv.FormatInt(left.Milliseconds(), 10))
}

func (fakeDialect) ClassifyAnswer(request http.Header, _ int, answer http.Header) core.AnswerClass {
	id := answer.Get("X-Id")
	isRefusal := answer.Get("X-NotRun") != ""
	isAnonymousRefusal := isRefusal && id == ""
	switch {
	case id != request.Get("X-Id") && !isAnonymousRefusal:
		return core.AnswerClass{IsMismatched: true}
	case isRefusal:
		return core.AnswerClass{IsNotRun: true, IsIdentified: id != "", Kind: core.Overloaded}
	case answer.Get("X-Signed") == "":
		return core.AnswerClass{IsMismatched: true}
	}
	return core.AnswerClass{IsIdentified: id != ""}
}

func (fakeDialect) UpstreamLoad(answer http.Header) (core.UpstreamLoad, bool) {
	percent, err := strconv.Atoi(answer.Get("X-Slowness"))
	return core.UpstreamLoad{
		Slowness: float64(percent) / 100,
	}, err == nil
}

func (fakeDialect) UpstreamNotice(answer http.Header) core.UpstreamNotice {
	limit, err := strconv.ParseFloat(answer.Get("X-RateLimit"), 64)
	return core.UpstreamNotice{
		RateLimit:    limit,
		HasRateLimit: err == nil,
	}
}

func (fakeDialect) ColdRemaining(string, http.Header) (time.Duration, bool) {
	return 0, false
}

func (fakeDialect) SetRefusalHeaders(header http.Header, refusal core.Refusal) int {
	header.Set("X-Kind", string(refusal.Kind))
	if refusal.Kind.Info().NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// meshHost is a host with a gatekeeper and an upstream.
type meshHost struct {
	member           core.Member
	gate             *Gate
	gateServer       *httptest.Server
	upstream         *httptest.Server
	upstreamRequests atomic.Int32
	// isRegistered is false once the upstream has been removed from the registry.
	isRegistered atomic.Bool
}

// meshRig is an entry in zone canterbury-1 with some hosts, only the first of them in that zone.
type meshRig struct {
	*entryRig
	hosts []*meshHost
}

type upstreamHandler func(w http.ResponseWriter, r *http.Request)

// signedHandler answers like a healthy upstream.
func signedHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	_, _ = fmt.Fprintf(w, "ran %s by %s", body, r.Header.Get("X-Instance"))
}

func newMeshRig(t *testing.T, edit func(*core.Snapshot), budget retry.WindowBudgetConfig, handlers ...upstreamHandler) *meshRig {
	t.Helper()
	rig := &meshRig{}
	view := &fakeView{
		snapshot: entrySnapshot(),
	}
	for name, spec := range view.snapshot.Routes {
		spec.LatencyTarget = core.Duration(500 * time.Millisecond)
		spec.MaxAttempts = 3
		view.snapshot.Routes[name] = spec
	}
	service := view.snapshot.Services["netbook"]
	service.Connections = 50
	view.snapshot.Services["netbook"] = service
	if edit != nil {
		edit(view.snapshot)
	}
	for i, handler := range handlers {
		rig.addHost(t, view, i, handler)
	}
	for _, host := range rig.hosts {
		view.members = append(view.members, host.member)
	}
	rig.entryRig = newEntryRig(t, func(config *EntryConfig) {
		config.Config, config.Members = view, view
		config.Dialect = fakeDialect{}
		config.NewBudget = func(_ core.ServiceName, now time.Time) core.RetryBudget {
			return retry.NewWindowBudget(budget, now)
		}
		config.Self = gateHost("caller", "")
	})
	rig.view = view
	return rig
}

func (rig *meshRig) addHost(t *testing.T, view *fakeView, i int, handler upstreamHandler) {
	host := &meshHost{}
	host.isRegistered.Store(true)
	host.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host.upstreamRequests.Add(1)
		handler(w, r)
	}))
	t.Cleanup(host.upstream.Close)
	self := gateHost(host.upstream.Listener.Addr().String(), "")
	if i > 0 {
		self.AvailabilityZone = "canterbury-2"
	}
	self.Instance = "i" + strconv.Itoa(i)
	host.gate = NewGate(GateConfig{
		Config:          view,
		Members:         view,
		Journal:         &fakeJournal{},
		Clock:           systemClock{},
		Self:            self,
		UpstreamAddress: host.upstream.Listener.Addr().String(),
		Dialect:         fakeDialect{},
		Upstream: func() (core.Member, bool) {
			return host.member, host.isRegistered.Load()
		},
	})
	host.gateServer = httptest.NewServer(host.gate)
	t.Cleanup(host.gateServer.Close)
	t.Cleanup(host.gate.transport.closeIdle)
	self.GateAddress = host.gateServer.Listener.Addr().String()
	host.member = core.Member{
		Host:  self,
		Slots: 4,
	}
	rig.hosts = append(rig.hosts, host)
}

// send sends a request with an id and a timeout of 2 s.
func (rig *meshRig) send(method, path, body string) answer {
	return rig.do(rig.request(method, path, body, func(r *http.Request) {
		r.Header.Set("X-Id", "id-"+body[:min(len(body), 8)])
		r.Header.Set("X-Wait", "2000")
	}))
}

// largeBudget allows all retries of a test.
var largeBudget = retry.WindowBudgetConfig{
	Span:  10 * time.Second,
	Slack: 1000,
}

// shedHandler refuses like an overloaded upstream.
func shedHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-NotRun", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hangHandler sends no answer until the request is canceled.
func hangHandler(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	<-r.Context().Done()
}

// cutHandler closes the connection in the middle of an answer.
func cutHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// mismatchHandler sends the answer to another request.
func mismatchHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Id", "another")
	w.Header().Set("X-Signed", "1")
	_, _ = io.WriteString(w, "secret")
}

// TestMeshFaults guards, for each fault of the nearest upstream, against an order that runs twice, a
// refusal that wrongly says whether the order has run, an incomplete answer, and a lookup that fails
// although another upstream is healthy.
func TestMeshFaults(t *testing.T) {
	cases := []struct {
		name    string
		handler upstreamHandler
		// orderStatus is the status for an order; lookups are answered by the healthy upstream.
		orderStatus int
		// mayHaveRun is true if an order may have run on the faulty upstream.
		mayHaveRun bool
	}{
		{name: "sheds", handler: shedHandler, orderStatus: 200},
		{name: "cuts off its answer", handler: cutHandler, orderStatus: 502, mayHaveRun: true},
		{name: "answers another request", handler: mismatchHandler, orderStatus: 502, mayHaveRun: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newMeshRig(t, nil, largeBudget, tc.handler, signedHandler)
			got := rig.send("POST", "/order/1", "a")
			c.Check(got.status, qt.Equals, tc.orderStatus)
			if tc.mayHaveRun {
				c.Check(rig.hosts[1].upstreamRequests.Load(), qt.Equals, int32(0))
			} else {
				c.Check(got.body, qt.Equals, "ran a by i1")
			}
			got = rig.send("GET", "/lookup/1", "")
			c.Check(got.status, qt.Equals, 200)
			c.Check(got.body, qt.Equals, "ran  by i1")
		})
	}
}

// TestRetriesStayInBudget guards against retries beyond the retry budget while all upstreams are
// overloaded, and against a refusal that does not say that the request has not run.
func TestRetriesStayInBudget(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{
		Span:  10 * time.Second,
		Ratio: 0.2,
		Slack: 3,
	}, shedHandler, shedHandler, shedHandler)
	const requests = 50
	for i := range requests {
		got := rig.send("POST", "/order/1", strconv.Itoa(i))
		c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	}
	received := int32(0)
	for _, host := range rig.hosts {
		received += host.upstreamRequests.Load()
	}
	c.Assert(received <= requests+requests/5+3, qt.IsTrue, qt.Commentf("upstreams received %d attempts of %d requests", received, requests))
	c.Assert(received > requests, qt.IsTrue, qt.Commentf("upstreams received %d attempts of %d requests", received, requests))
}

// TestGatekeeperRefusalsNeedNoBudget guards against retries that take from the retry budget although no
// upstream received the request: with an empty budget, the third host serves it.
func TestGatekeeperRefusalsNeedNoBudget(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{Span: 10 * time.Second}, signedHandler, signedHandler, signedHandler)
	rig.hosts[0].isRegistered.Store(false)
	rig.hosts[1].isRegistered.Store(false)
	got := rig.send("POST", "/order/1", "a")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "ran a by i2")
	c.Assert(rig.hosts[0].upstreamRequests.Load()+rig.hosts[1].upstreamRequests.Load(), qt.Equals, int32(0))
}

// TestMaxAttempts guards against a request that is sent to more upstreams than its route allows.
func TestMaxAttempts(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, func(snapshot *core.Snapshot) {
		spec := snapshot.Routes["lookup"]
		spec.MaxAttempts = 2
		snapshot.Routes["lookup"] = spec
	}, largeBudget, cutHandler, cutHandler, cutHandler, cutHandler)
	got := rig.send("GET", "/lookup/1", "")
	c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	received := int32(0)
	for _, host := range rig.hosts {
		received += host.upstreamRequests.Load()
	}
	c.Assert(received, qt.Equals, int32(2))
}

// TestRouteTimeoutLimitsCaller guards against an answer after the timeout of the route when the caller
// set a longer one.
func TestRouteTimeoutLimitsCaller(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			c := qt.New(t)
			rig := newMeshRig(t, func(snapshot *core.Snapshot) {
				for name, spec := range snapshot.Routes {
					spec.Timeout = core.Duration(300 * time.Millisecond)
					snapshot.Routes[name] = spec
				}
			}, retry.WindowBudgetConfig{Span: time.Second}, hangHandler)
			start := time.Now()
			path := "/lookup/1"
			if method == "POST" {
				path = "/order/1"
			}
			got := rig.send(method, path, "")
			c.Assert(got.status, qt.Equals, http.StatusBadGateway)
			c.Assert(time.Since(start) < 800*time.Millisecond, qt.IsTrue)
		})
	}
}

// TestDeadUpstream guards against requests that wait for an upstream that refuses connections.
func TestDeadUpstream(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{Span: time.Second}, signedHandler, signedHandler)
	rig.hosts[0].upstream.Close()
	for i := range 5 {
		start := time.Now()
		got := rig.send("POST", "/order/1", strconv.Itoa(i))
		c.Assert(got.status, qt.Equals, 200)
		c.Assert(time.Since(start) < 300*time.Millisecond, qt.IsTrue)
	}
	c.Assert(rig.hosts[1].upstreamRequests.Load(), qt.Equals, int32(5))
}

// TestDeadHost guards against an order that fails because the daemon of the nearest upstream is down,
// although nothing was sent to it.
func TestDeadHost(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{Span: time.Second}, signedHandler, signedHandler)
	rig.hosts[0].gateServer.Close()
	got := rig.send("POST", "/order/1", "a")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "ran a by i1")
}

// TestLargeBodyAcrossZones guards against an incomplete body in another availability zone. It is sent
// only after its admission, so that no refused body crosses zones.
func TestLargeBodyAcrossZones(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{Span: time.Second}, signedHandler, signedHandler, signedHandler)
	rig.hosts[0].isRegistered.Store(false)
	body := make([]byte, 50_000)
	for i := range body {
		body[i] = 'a' + byte(i%23)
	}
	got := rig.send("POST", "/order/1", string(body))
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(len(got.body), qt.Equals, len("ran  by i1")+len(body))
}

// TestSplitWithoutService guards against a daemon that aborts requests of a route whose traffic split
// names a service that is not in the configuration.
func TestSplitWithoutService(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, func(snapshot *core.Snapshot) {
		spec := snapshot.Routes["lookup"]
		spec.Split = []core.SplitSpec{
			{Service: "netbook", Weight: 50},
			{Service: "missing", Weight: 50},
		}
		snapshot.Routes["lookup"] = spec
	}, largeBudget, signedHandler)
	counts := map[int]int{}
	for range 40 {
		got := rig.send("GET", "/lookup/1", "")
		c.Assert(got.err, qt.IsNil)
		counts[got.status]++
	}
	c.Assert(counts, qt.DeepEquals, map[int]int{200: 20, 503: 20})
}

// TestEarlyRefusalIsNoSuccess guards against a success status for an upload that the upstream refuses
// before it has read the body: while the gatekeeper waited for the rest of the body, it sent the
// beginning of an answer of its own.
func TestEarlyRefusalIsNoSuccess(t *testing.T) {
	response := refuseUploadEarly(t)
	qt.Assert(t, response.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s", response.Status))
}

// TestEarlyRefusalOfUpload guards against a wrong outcome of an upload that the upstream refuses before
// it has read the body: the refusal must say that the upload has not run.
func TestEarlyRefusalOfUpload(t *testing.T) {
	response := refuseUploadEarly(t)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, response.Header.Get(HeaderOutcome), qt.Equals, OutcomeNotRun)
}

// refuseUploadEarly returns the answer to an upload that the upstream of another host refuses before
// it has received the whole body.
func refuseUploadEarly(t *testing.T) *http.Response {
	t.Helper()
	c := qt.New(t)
	refuseEarly := func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		c.Check(controller.EnableFullDuplex(), qt.IsNil)
		_, _ = io.ReadFull(r.Body, make([]byte, 1000))
		w.Header().Set("Content-Length", "0")
		shedHandler(w, r)
		c.Check(controller.Flush(), qt.IsNil)
		_, _ = io.Copy(io.Discard, r.Body)
	}
	rig := newMeshRig(t, nil, retry.WindowBudgetConfig{Span: time.Second}, refuseEarly)
	conn, err := net.Dial("tcp", rig.server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	// The rest of the body is not sent, so that the upload is incomplete when the answer comes.
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: mesh.test\r\nX-Wait: 2000\r\nContent-Length: 1000000\r\n\r\n%s", make([]byte, 200_000))
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}
