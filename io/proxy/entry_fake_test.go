package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenaway/core"
)

// fakeView implements core.ConfigView and core.MemberView with values that the test sets.
type fakeView struct {
	mu       sync.Mutex
	snapshot *core.Snapshot
	kind     core.ErrorKind
	observed core.Version
	members  []core.Member
}

func (v *fakeView) Snapshot() (*core.Snapshot, core.ErrorKind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot, v.kind
}

func (v *fakeView) ObserveVersion(_ core.HostName, version core.Version) {
	v.change(func() { v.observed = version })
}

func (v *fakeView) ServiceMembers(core.ServiceName) []core.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *fakeView) Self() core.Host                              { return core.Host{} }
func (v *fakeView) OwnerLease() time.Time                        { return time.Time{} }
func (v *fakeView) Departures(core.ServiceName) []core.Departure { return nil }

// change runs f with the mutex held.
func (v *fakeView) change(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f()
}

type fakeJournal struct {
	mu     sync.Mutex
	events []core.Event
}

func (j *fakeJournal) Record(event core.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// entryRig is an entry behind an HTTP server, with fake gatekeepers as its upstreams.
type entryRig struct {
	t       testing.TB
	entry   *Entry
	view    *fakeView
	journal *fakeJournal
	server  *httptest.Server
	client  *http.Client
}

// newRandom returns a random source with a fixed seed that is safe for concurrent use.
func newRandom(seed uint64) func() uint64 {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, 0))
	return func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return source.Uint64()
	}
}

// entrySnapshot has the service netbook with the routes /lookup (idempotent), /order (not
// idempotent) and /home (idempotent, home region otago).
func entrySnapshot() *core.Snapshot {
	snapshot := &core.Snapshot{
		Version: 1,
		Regions: map[core.Region]core.RegionSpec{
			"canterbury": {Name: "canterbury", CrossRegionBytesPerSecond: 1 << 20},
		},
		Services: map[core.ServiceName]core.ServiceSpec{
			"netbook": {Name: "netbook", Slots: 4},
		},
		Routes: map[core.RouteName]core.RouteSpec{},
	}
	for _, name := range []core.RouteName{"lookup", "order", "home"} {
		spec := core.RouteSpec{
			Name:       name,
			Host:       "mesh.test",
			PathPrefix: "/" + string(name),
			Methods:    []string{"GET", "POST", "HEAD"},
			Service:    "netbook",
			Idempotent: name != "order",
			Timeout:    core.Duration(20 * time.Second),
		}
		if name == "home" {
			spec.HomeRegions = []core.Region{"otago"}
		}
		snapshot.Routes[name] = spec
	}
	return snapshot
}

// gateHost returns a host with a gatekeeper in the availability zone of the entry.
func gateHost(name, address string) core.Host {
	return core.Host{
		Name:             core.HostName(name),
		AvailabilityZone: "canterbury-1",
		Region:           "canterbury",
		Service:          "netbook",
		GateAddress:      address,
	}
}

// otherZoneHost returns a host with a gatekeeper in another availability zone of the same region,
// which the entry chooses after those in its own zone.
func otherZoneHost(name, address string) core.Host {
	host := gateHost(name, address)
	host.AvailabilityZone = "canterbury-2"
	return host
}

// newEntryRig starts an entry on host "self". The given hosts are the members of its service.
func newEntryRig(t testing.TB, change func(*EntryConfig), hosts ...core.Host) *entryRig {
	t.Helper()
	rig := &entryRig{
		t: t,
		view: &fakeView{
			snapshot: entrySnapshot(),
		},
		journal: &fakeJournal{},
	}
	for _, host := range hosts {
		rig.view.members = append(rig.view.members, core.Member{Host: host})
	}
	config := EntryConfig{
		Config:  rig.view,
		Members: rig.view,
		Journal: rig.journal,
		Clock:   systemClock{},
		Self:    gateHost("self", ""),
		Random:  newRandom(1),
		Sleep:   func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	}
	if change != nil {
		change(&config)
	}
	rig.entry = NewEntry(config)
	rig.server = httptest.NewUnstartedServer(rig.entry)
	rig.server.Config = rig.entry.Server()
	rig.server.Start()
	rig.client = rig.server.Client()
	t.Cleanup(rig.close)
	return rig
}

func (rig *entryRig) close() {
	rig.client.CloseIdleConnections()
	rig.server.Close()
	rig.entry.transport.CloseIdleConnections()
	rig.entry.refusals.flush()
}

// request returns a request to the entry, changed by edits.
func (rig *entryRig) request(method, path, body string, edits ...func(*http.Request)) *http.Request {
	r, err := http.NewRequest(method, rig.server.URL+path, strings.NewReader(body))
	if err != nil {
		rig.t.Fatal(err)
	}
	r.Host = "mesh.test"
	for _, edit := range edits {
		edit(r)
	}
	return r
}

// answer is an answer as the caller received it.
type answer struct {
	status           int
	kind             string
	outcome          string
	body             string
	header           http.Header
	closesConnection bool
	err              error
}

func (rig *entryRig) do(r *http.Request) answer {
	response, err := rig.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status:           response.StatusCode,
		kind:             response.Header.Get(HeaderError),
		outcome:          response.Header.Get(HeaderOutcome),
		body:             string(body),
		header:           response.Header,
		closesConnection: response.Close,
		err:              err,
	}
}

// startGate starts a fake gatekeeper with the handler and returns its address.
func startGate(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// refuseWith returns a handler that refuses requests with a kind.
func refuseWith(kind core.ErrorKind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		Refuse(w, kind, "scripted")
	}
}

// runCounter counts the requests that its handler ran, by body.
type runCounter struct {
	mu    sync.Mutex
	count map[string]int
}

// handler runs a request: it reads the body, counts the run and echoes the body.
func (c *runCounter) handler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.add(string(body))
	w.Header().Set(HeaderLoad, "1/4")
	_, _ = fmt.Fprintf(w, "ran %s", body)
}

func (c *runCounter) add(body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count = map[string]int{}
	}
	c.count[body]++
}

func (c *runCounter) of(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[body]
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	return address
}

// rawGate starts a fake gatekeeper and returns its address. For each request, it calls serve with the
// TCP connection, which is kept while serve returns true.
func rawGate(t testing.TB, serve func(conn net.Conn, r *http.Request, body string) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			stop := context.AfterFunc(t.Context(), func() { _ = conn.Close() })
			group.Go(func() {
				defer stop()
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, readErr := http.ReadRequest(reader)
					if readErr != nil {
						return
					}
					var body []byte
					if r.Header.Get("Expect") == "" {
						body, _ = io.ReadAll(r.Body)
					}
					if !serve(conn, r, string(body)) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// respondRaw sends raw text and closes the connection, with a TCP reset if reset is true.
func respondRaw(text string, reset bool) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(conn, text)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}
