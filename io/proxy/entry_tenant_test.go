package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// withTenants gives a snapshot the tenants north, whose home region is otago, and south, each with a key
// of its name, and the open route home.
func withTenants(snapshot *core.Snapshot) {
	snapshot.Tenants = map[core.TenantName]core.TenantSpec{}
	for _, name := range []core.TenantName{"north", "south"} {
		snapshot.Tenants[name] = core.TenantSpec{
			Name: name,
			Keys: []core.KeyDigest{core.DigestKey(string(name) + "-key")},
		}
	}
	north := snapshot.Tenants["north"]
	north.HomeRegions = []core.Region{"otago"}
	snapshot.Tenants["north"] = north
	home := snapshot.Routes["home"]
	home.IsOpen, home.HomeRegions = true, nil
	snapshot.Routes["home"] = home
}

// seenHeaders keeps the headers of the requests that upstreams got, by path.
type seenHeaders struct {
	mu     sync.Mutex
	byPath map[string][]http.Header
}

func (s *seenHeaders) wrap(handler upstreamHandler) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.byPath == nil {
			s.byPath = map[string][]http.Header{}
		}
		s.byPath[r.URL.Path] = append(s.byPath[r.URL.Path], r.Header.Clone())
		s.mu.Unlock()
		handler(w, r)
	}
}

func (s *seenHeaders) of(path string) []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPath[path]
}

// sendAs sends a request with headers of the form "Name: value".
func (rig *meshRig) sendAs(method, path string, headers ...string) answer {
	return rig.do(rig.request(method, path, "", func(r *http.Request) {
		r.Header.Set("X-Id", "id")
		r.Header.Set("X-Wait", "2000")
		for _, header := range headers {
			name, value, _ := strings.Cut(header, ": ")
			r.Header.Set(name, value)
		}
	}))
}

// TestTenantReachesUpstream guards against a request that reaches an upstream with the key of its caller,
// under a tenant that the caller chose, or without a valid key, on the first attempt or a later one.
func TestTenantReachesUpstream(t *testing.T) {
	forged := []string{"X-Tenant: forged", HeaderTenant + ": forged"}
	cases := []struct {
		name    string
		path    string
		headers []string
		kind    core.ErrorKind
		// tenant is what upstreams get, "" for no such header.
		tenant string
	}{
		{name: "key", path: "/lookup/a", headers: []string{"X-Key: south-key"}, tenant: "south"},
		{name: "key and other tenant", path: "/lookup/b", headers: append([]string{"X-Key: south-key"}, forged...), tenant: "south"},
		{name: "tenant headers named as hop-by-hop", path: "/lookup/c", headers: append([]string{"X-Key: south-key", "Connection: X-Key, X-Tenant, " + HeaderTenant}, forged...), tenant: "south"},
		{name: "no key", path: "/lookup/d", kind: core.Unauthenticated},
		{name: "no key but tenant", path: "/lookup/e", headers: forged, kind: core.Unauthenticated},
		{name: "unknown key", path: "/lookup/f", headers: []string{"X-Key: south-kez"}, kind: core.Unauthenticated},
		{name: "regions of the tenant", path: "/lookup/g", headers: []string{"X-Key: north-key"}, kind: core.NoUpstream},
		{name: "open route", path: "/home/a"},
		{name: "open route with tenant", path: "/home/b", headers: forged},
		{name: "open route with unknown key", path: "/home/c", headers: append([]string{"X-Key: south-kez"}, forged...)},
		{name: "open route with key", path: "/home/d", headers: append([]string{"X-Key: south-key"}, forged...), tenant: "south"},
		{name: "open route with key and regions", path: "/home/e", headers: []string{"X-Key: north-key"}, kind: core.NoUpstream},
		{name: "no route", path: "/none", kind: core.NoRoute},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			seen := &seenHeaders{}
			rig := newMeshRig(t, withTenants, largeBudget, seen.wrap(cutHandler), seen.wrap(signedHandler))
			got := rig.sendAs("GET", tc.path, tc.headers...)
			c.Assert(got.kind, qt.Equals, string(tc.kind))
			all := seen.of(tc.path)
			if tc.kind != "" {
				c.Assert(got.outcome, qt.Equals, OutcomeNotRun)
				c.Assert(all, qt.HasLen, 0)
				for _, secret := range []string{"south-key", "south-kez", "north-key"} {
					c.Assert(strings.Contains(got.body, secret), qt.IsFalse, qt.Commentf("%s", got.body))
				}
				return
			}
			c.Assert(got.status, qt.Equals, http.StatusOK)
			// The first upstream cuts off its answer, and the second one answers.
			c.Assert(all, qt.HasLen, 2)
			for _, header := range all {
				c.Assert(header.Get("X-Tenant"), qt.Equals, tc.tenant)
				c.Assert(header.Get("X-Key"), qt.Equals, "")
				c.Assert(header.Get(HeaderTenant), qt.Equals, "")
			}
		})
	}
}

// TestNoTenantsChangesNothing guards against a header that is lost, or a request that is refused, because
// it resembles a key where the configuration has no tenants.
func TestNoTenantsChangesNothing(t *testing.T) {
	c := qt.New(t)
	seen := &seenHeaders{}
	rig := newMeshRig(t, nil, largeBudget, seen.wrap(signedHandler))
	c.Assert(rig.sendAs("GET", "/lookup/a", "X-Key: some", "X-Tenant: other").status, qt.Equals, http.StatusOK)
	header := seen.of("/lookup/a")[0]
	c.Assert(header.Get("X-Key"), qt.Equals, "some")
	c.Assert(header.Get("X-Tenant"), qt.Equals, "other")
	c.Assert(rig.sendAs("GET", "/lookup/b").status, qt.Equals, http.StatusOK)
}

// TestUnconfirmedKey guards against a refusal for good of a key that a newer configuration may have.
func TestUnconfirmedKey(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, withTenants, largeBudget, signedHandler)
	var isUnconfirmed atomic.Bool
	rig.entry.config.IsConfirmed = func() bool { return !isUnconfirmed.Load() }
	c.Assert(rig.sendAs("GET", "/lookup/a", "X-Key: new").kind, qt.Equals, string(core.Unauthenticated))
	isUnconfirmed.Store(true)
	got := rig.sendAs("GET", "/lookup/a", "X-Key: new")
	c.Assert(got.kind, qt.Equals, string(core.SuspectView))
	c.Assert(got.outcome, qt.Equals, OutcomeNotRun)
	c.Assert(rig.sendAs("GET", "/lookup/a", "X-Key: south-key").status, qt.Equals, http.StatusOK)
}

// TestRevokedKey guards against a key that is in use after the version that took it away, on a connection
// that was open before, or by a request that looks for another upstream; a new key works at once.
func TestRevokedKey(t *testing.T) {
	c := qt.New(t)
	seen := &seenHeaders{}
	var rig *meshRig
	replaceKey := func(key string) {
		rig.view.change(func() {
			next := *rig.view.snapshot
			next.Version++
			next.Tenants = map[core.TenantName]core.TenantSpec{"south": {
				Name: "south",
				Keys: []core.KeyDigest{core.DigestKey(key)},
			}}
			rig.view.snapshot = &next
		})
	}
	rig = newMeshRig(t, withTenants, largeBudget, seen.wrap(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/revoked" {
			replaceKey("second")
			cutHandler(w, r)
		}
		signedHandler(w, r)
	}), seen.wrap(signedHandler))
	c.Assert(rig.sendAs("GET", "/lookup/a", "X-Key: south-key").status, qt.Equals, http.StatusOK)
	c.Assert(rig.sendAs("GET", "/lookup/revoked", "X-Key: south-key").status, qt.Equals, http.StatusBadGateway)
	c.Assert(seen.of("/lookup/revoked"), qt.HasLen, 1)
	c.Assert(rig.sendAs("GET", "/lookup/b", "X-Key: south-key").kind, qt.Equals, string(core.Unauthenticated))
	c.Assert(rig.sendAs("GET", "/lookup/c", "X-Key: second").status, qt.Equals, http.StatusOK)
	replaceKey("third")
	c.Assert(rig.sendAs("GET", "/lookup/d", "X-Key: second").kind, qt.Equals, string(core.Unauthenticated))
	c.Assert(rig.sendAs("GET", "/lookup/e", "X-Key: third").status, qt.Equals, http.StatusOK)
}

// fakeQuotas counts what was taken and returned, and allows the tenants of a set only.
type fakeQuotas struct {
	mu       sync.Mutex
	taken    map[core.TenantName]int
	returned map[core.TenantName]int
	refuses  map[core.TenantName]bool
	// isUnknown makes refusals unknown, waits makes them last until the request ends.
	isUnknown bool
	waits     bool
	// decision is that for requests within the quota, which has to come back.
	decision core.QuotaDecision
}

func newFakeQuotas() *fakeQuotas {
	return &fakeQuotas{
		taken:    map[core.TenantName]int{},
		returned: map[core.TenantName]int{},
		refuses:  map[core.TenantName]bool{},
		decision: core.QuotaDecision{
			IsWithin:    true,
			UsableUntil: time.Now(),
		},
	}
}

func (q *fakeQuotas) Take(ctx context.Context, _ time.Time, tenant core.TenantName) core.QuotaDecision {
	if q.waits {
		<-ctx.Done()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.refuses[tenant] {
		return core.QuotaDecision{IsUnknown: q.isUnknown, RetryAfter: 300 * time.Millisecond}
	}
	q.taken[tenant]++
	return q.decision
}

func (q *fakeQuotas) Return(_ time.Time, tenant core.TenantName, decision core.QuotaDecision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if decision == q.decision {
		q.returned[tenant]++
	}
}

func (q *fakeQuotas) counts(tenant core.TenantName) [2]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return [2]int{q.taken[tenant], q.returned[tenant]}
}

// TestQuotaCounts guards against a request that is counted twice or not at all towards the quota of its
// tenant, one that no upstream received and that stays counted, and one that is served beyond the quota.
func TestQuotaCounts(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		headers  []string
		handlers []upstreamHandler
		refuses  bool
		unknown  bool
		waits    bool
		kind     core.ErrorKind
		taken    int
		returned int
	}{
		{name: "served", path: "/lookup/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{signedHandler}, taken: 1},
		{name: "served by the second upstream", path: "/lookup/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{cutHandler, signedHandler}, taken: 1},
		{name: "an upstream received it", path: "/order/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{cutHandler}, kind: core.OutcomeUnknown, taken: 1},
		{name: "no upstream", path: "/lookup/a", headers: []string{"X-Key: south-key"}, kind: core.NoUpstream, taken: 1, returned: 1},
		{name: "no time left", path: "/lookup/a", headers: []string{"X-Key: south-key", "X-Wait: 0"}, handlers: []upstreamHandler{signedHandler}, kind: core.DeadlineBeforeRun},
		{name: "over the quota", path: "/lookup/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{signedHandler}, refuses: true, kind: core.Limited},
		{name: "nobody knows", path: "/lookup/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{signedHandler}, refuses: true, unknown: true, kind: core.SuspectView},
		{name: "no time left at the quota", path: "/lookup/a", headers: []string{"X-Key: south-key", "X-Wait: 50"}, handlers: []upstreamHandler{signedHandler}, refuses: true, unknown: true, waits: true, kind: core.DeadlineBeforeRun},
		{name: "open route", path: "/home/a", handlers: []upstreamHandler{signedHandler}},
		{name: "open route with key", path: "/home/a", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{signedHandler}, taken: 1},
		{name: "no key", path: "/lookup/a", handlers: []upstreamHandler{signedHandler}, kind: core.Unauthenticated},
		{name: "no route", path: "/none", headers: []string{"X-Key: south-key"}, handlers: []upstreamHandler{signedHandler}, kind: core.NoRoute},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			quotas := newFakeQuotas()
			quotas.refuses["south"] = tc.refuses
			quotas.isUnknown, quotas.waits = tc.unknown, tc.waits
			rig := newMeshRig(t, withTenants, largeBudget, tc.handlers...)
			rig.entry.config.Quotas = quotas
			got := rig.sendAs("GET", tc.path, tc.headers...)
			c.Assert(got.kind, qt.Equals, string(tc.kind))
			c.Assert(quotas.counts("south"), qt.Equals, [2]int{tc.taken, tc.returned})
			c.Assert(quotas.counts("north"), qt.Equals, [2]int{})
		})
	}
}

// TestPipelinedTenants guards against pipelined requests that are counted twice because they started
// early, or that get the tenant of another request on their connection.
func TestPipelinedTenants(t *testing.T) {
	c := qt.New(t)
	seen := &seenHeaders{}
	rig := newMeshRig(t, withTenants, largeBudget, seen.wrap(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		signedHandler(w, r)
	}))
	quotas := newFakeQuotas()
	rig.entry.config.Quotas = quotas
	rig.view.change(func() {
		next := *rig.view.snapshot
		next.Version++
		next.Tenants["north"] = core.TenantSpec{
			Name: "north",
			Keys: next.Tenants["north"].Keys,
		}
		rig.view.snapshot = &next
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := rig.entry.Server()
	go func() { _ = server.Serve(&PipelineListener{Listener: listener, Entry: rig.entry}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	want := []string{"south", "north", "south", "", "north", "south"}
	text := ""
	for i, tenant := range want {
		// Orders are not started early, and wait until the server has read them.
		route := "lookup"
		if i%2 == 1 {
			route = "order"
		}
		text += fmt.Sprintf("GET /%s/%d HTTP/1.1\r\nHost: mesh.test\r\nX-Id: %d\r\nX-Wait: 3000\r\nX-Tenant: forged\r\n", route, i, i)
		if tenant != "" {
			text += "X-Key: " + tenant + "-key\r\n"
		}
		text += "\r\n"
	}
	_, err = io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	statuses := readStatuses(c, conn, len(want))
	for i, tenant := range want {
		path := fmt.Sprintf("/%s/%d", []string{"lookup", "order"}[i%2], i)
		if tenant == "" {
			c.Assert(statuses[i], qt.Not(qt.Equals), http.StatusOK)
			c.Assert(seen.of(path), qt.HasLen, 0)
			continue
		}
		c.Assert(statuses[i], qt.Equals, http.StatusOK)
		c.Assert(seen.of(path), qt.HasLen, 1)
		c.Assert(seen.of(path)[0].Get("X-Tenant"), qt.Equals, tenant)
	}
	c.Assert(quotas.counts("south"), qt.Equals, [2]int{3, 0})
	c.Assert(quotas.counts("north"), qt.Equals, [2]int{2, 0})
}
