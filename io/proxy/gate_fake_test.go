package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
)

// gateFakeView is a core.ConfigView and core.MemberView with one member.
type gateFakeView struct {
	snapshot atomic.Pointer[core.Snapshot]
	kind     core.ErrorKind
	observed atomic.Uint64
	self     core.Host
	lease    time.Time
}

func (v *gateFakeView) Snapshot() (*core.Snapshot, core.ErrorKind) { return v.snapshot.Load(), v.kind }

func (v *gateFakeView) ObserveVersion(_ core.HostName, version core.Version) {
	v.observed.Store(uint64(version))
}

func (v *gateFakeView) Self() core.Host { return v.self }

func (v *gateFakeView) ServiceMembers(core.ServiceName) []core.Member {
	return []core.Member{{Host: v.self, EligibleAt: 1}}
}

func (v *gateFakeView) OwnerLease() time.Time { return v.lease }

func (v *gateFakeView) Departures(core.ServiceName) []core.Departure { return nil }

// gateFakeJournal sends the events to a channel.
type gateFakeJournal chan core.Event

func (j gateFakeJournal) Record(event core.Event) { j <- event }

// next waits for the next event of a kind.
func (j gateFakeJournal) next(kind core.EventKind) core.Event {
	for event := range j {
		if event.Kind == kind {
			return event
		}
	}
	return core.Event{}
}

// gateFakeClock is ahead of the system clock, because a process owns keys only some time after
// its start.
type gateFakeClock struct {
	ahead atomic.Int64
}

func (c *gateFakeClock) Now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

// gateRig is a gatekeeper on its own listener. Its service has 4 slots, 2 when cold, and no
// warm-up time; its routes are "lookup" (idempotent) and "order".
type gateRig struct {
	gate    *Gate
	view    *gateFakeView
	journal gateFakeJournal
	clock   *gateFakeClock
	server  *httptest.Server
	client  *http.Client
}

func newGateRig(t *testing.T, upstreamAddress string) *gateRig {
	t.Helper()
	// This cleanup runs last and checks for goroutines that the others left behind.
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	rig := &gateRig{
		view: &gateFakeView{
			self:  core.Host{Name: "h1", AvailabilityZone: "otago-1", Region: "otago", Service: "netbook"},
			lease: time.Now().Add(time.Hour),
		},
		journal: make(gateFakeJournal, 1000),
		clock:   &gateFakeClock{},
	}
	rig.view.snapshot.Store(&core.Snapshot{
		Version: 7,
		Services: map[core.ServiceName]core.ServiceSpec{
			"netbook": {Slots: 4, Connections: 8, ColdSlots: 2, ReservedSlots: 1},
		},
		Routes: map[core.RouteName]core.RouteSpec{
			"lookup": {Name: "lookup", Service: "netbook", Class: core.ClassLookup, Idempotent: true, Timeout: core.Duration(time.Minute)},
			"order":  {Name: "order", Service: "netbook", Class: core.ClassOrder, Timeout: core.Duration(time.Minute)},
		},
	})
	rig.gate = NewGate(GateConfig{
		Config:          rig.view,
		Members:         rig.view,
		Journal:         rig.journal,
		Clock:           rig.clock,
		Self:            rig.view.self,
		UpstreamAddress: upstreamAddress,
		MaxQueueWait:    time.Minute,
	})
	rig.clock.ahead.Store(int64(10 * time.Second))
	rig.server = httptest.NewServer(rig.gate)
	rig.client = rig.server.Client()
	t.Cleanup(func() {
		rig.server.Close()
		qt.Check(t, rig.gate.Drain(t.Context()) == nil || t.Context().Err() != nil, qt.IsTrue)
		inFlight, _ := rig.gate.Load()
		qt.Check(t, inFlight, qt.Equals, 0)
	})
	return rig
}

// request returns a request with the headers that an entry sends.
func (rig *gateRig) request(method, route string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, rig.server.URL+"/nets/7", body)
	if err != nil {
		panic(err)
	}
	r.Header.Set(HeaderRoute, route)
	r.Header.Set(HeaderVersion, "7")
	r.Header.Set(HeaderSender, "h2")
	return r
}

// gateResult is the answer that a caller got; kind is "broken" if it is incomplete.
type gateResult struct {
	status  int
	kind    string
	outcome string
	body    string
	header  http.Header
}

func (rig *gateRig) do(r *http.Request) gateResult {
	answer, err := rig.client.Do(r)
	if err != nil {
		return gateResult{kind: "broken"}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	result := gateResult{
		status:  answer.StatusCode,
		kind:    answer.Header.Get(HeaderError),
		outcome: answer.Header.Get(HeaderOutcome),
		body:    string(body),
		header:  answer.Header,
	}
	if err != nil {
		result.kind = "broken"
	}
	return result
}

// warm raises the limit of the gatekeeper to 4.
func (rig *gateRig) warm(c *qt.C) {
	for range 3 {
		c.Assert(rig.do(rig.request(http.MethodGet, "lookup", nil)).status, qt.Equals, http.StatusOK)
	}
	_, limit := rig.gate.Load()
	c.Assert(limit, qt.Equals, 4)
}

// gateRawUpstream is an upstream that answers at the connection level. It counts the requests
// that it has read completely: those have run.
type gateRawUpstream struct {
	listener net.Listener
	ran      atomic.Int64
	handlers sync.WaitGroup
}

// newGateRawUpstream starts an upstream that calls behave to write the answer to the nth
// request; the connection stays open if behave returns true.
func newGateRawUpstream(t *testing.T, behave func(conn net.Conn, n int64) bool) *gateRawUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u := &gateRawUpstream{listener: listener}
	u.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.handlers.Go(func() { u.serve(conn, behave) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		u.handlers.Wait()
	})
	return u
}

func (u *gateRawUpstream) serve(conn net.Conn, behave func(net.Conn, int64) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !behave(conn, u.ran.Add(1)) {
			return
		}
	}
}

func (u *gateRawUpstream) address() string { return u.listener.Addr().String() }

// gateWrite writes a raw answer. It returns whether the connection can stay open.
func gateWrite(conn net.Conn, lines ...string) bool {
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n"))
	return err == nil
}

func gateWriteOK(conn net.Conn) bool {
	return gateWrite(conn, "HTTP/1.1 200 OK", "Verbenaway-BootId: a", "Content-Length: 2", "", "ok")
}

// gateReset makes the connection end with a reset.
func gateReset(conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}
