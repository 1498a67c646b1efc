package quota

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/quota"
	"verbenaway/io/kernel"
	"verbenaway/io/relay"
)

var testBounds = quota.Bounds{
	Window:  5 * time.Second,
	Overage: 0.25,
	Slack:   20,
}

// fakeConfig has a quota for each of some tenants.
type fakeConfig struct {
	snapshot *core.Snapshot
}

func newFakeConfig(tenants int, spec core.QuotaSpec) fakeConfig {
	snapshot := &core.Snapshot{
		Tenants: map[core.TenantName]core.TenantSpec{},
	}
	for i := range tenants {
		name := core.TenantName(fmt.Sprintf("tenant%d", i))
		snapshot.Tenants[name] = core.TenantSpec{
			Name:  name,
			Quota: spec,
		}
	}
	return fakeConfig{
		snapshot: snapshot,
	}
}

func (f fakeConfig) Snapshot() (*core.Snapshot, core.ErrorKind) {
	return f.snapshot, ""
}

func (f fakeConfig) ObserveVersion(core.HostName, core.Version) {}

// fakeJournal keeps events.
type fakeJournal struct {
	mu     sync.Mutex
	events []core.Event
}

func (j *fakeJournal) Record(event core.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event)
}

// testFleet is daemons that ask each other over HTTP.
type testFleet struct {
	keepers []*Keeper
	servers []*httptest.Server
	journal *fakeJournal
	now     time.Time
}

// Now implements core.Clock. It stands still unless a test moves it.
func (f *testFleet) Now() time.Time {
	return f.now
}

// newTestFleet starts daemons in two zones, which have been up for long.
func newTestFleet(t *testing.T, daemons int, spec core.QuotaSpec) *testFleet {
	f := &testFleet{
		journal: &fakeJournal{},
		now:     time.Now(),
	}
	var hosts []core.Host
	for i := range daemons {
		server := httptest.NewUnstartedServer(nil)
		f.servers = append(f.servers, server)
		hosts = append(hosts, core.Host{
			Name:             core.HostName(fmt.Sprintf("10.0.0.%d:80", i)),
			AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("az%d", i%2)),
			PeerAddress:      server.Listener.Addr().String(),
		})
	}
	client := relay.NewClient(relay.ClientConfig{
		Dial: new(net.Dialer).DialContext,
	})
	t.Cleanup(client.Close)
	for i, server := range f.servers {
		keeper := New(Config{
			Self:         hosts[i],
			Config:       newFakeConfig(1, spec),
			Hosts:        func() []core.Host { return hosts },
			ContactAge:   func() time.Duration { return 0 },
			ContactSince: func() time.Time { return time.Time{} },
			ExpiryTime:   time.Second,
			Peers:        client,
			Clock:        f,
			Journal:      f.journal,
			Bounds:       testBounds,
			AskTimeout:   time.Minute,
		})
		keeper.Refresh()
		f.keepers = append(f.keepers, keeper)
		server.Config.Handler = relay.NewHandler(relay.Servers{Grants: keeper})
		server.Start()
		t.Cleanup(server.Close)
	}
	f.now = f.now.Add(time.Minute)
	return f
}

// take sends requests to a daemon and returns how many are within the quota.
func (f *testFleet) take(daemon, requests int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	within := 0
	for range requests {
		wg.Go(func() {
			decision := f.keepers[daemon].Take(context.Background(), f.now, "tenant0")
			mu.Lock()
			defer mu.Unlock()
			if decision.IsWithin {
				within++
			}
		})
	}
	wg.Wait()
	return within
}

// TestBurstAtOneDaemon sends more requests at once to one daemon than the burst, which all zones
// together have saved up, and again a second later.
func TestBurstAtOneDaemon(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	c.Assert(f.take(0, 100), qt.Equals, 30)
	f.now = f.now.Add(time.Second)
	// The rate, and the tenth of it that the overage of the burst allows.
	c.Assert(f.take(0, 100), qt.Equals, 22)
	c.Assert(f.journal.events, qt.HasLen, 1)
	c.Assert(f.journal.events[0].Kind, qt.Equals, core.EventQuotaExceeded)
	c.Assert(f.journal.events[0].Subject, qt.Equals, "tenant0")
	status, ok := f.keepers[0].Status("tenant0")
	c.Assert(ok, qt.IsTrue)
	c.Assert(status.Taken, qt.Equals, int64(52))
	c.Assert(status.Refused, qt.Equals, int64(148))
	c.Assert(status.Granters, qt.HasLen, 2)
	c.Assert(f.keepers[0].Statuses(), qt.DeepEquals, []Status{status})
}

// TestReturn guards against a permit that is lost though its request did not run, and against one that is
// used after its lifetime.
func TestReturn(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	keeper := f.keepers[0]
	decision := keeper.Take(t.Context(), f.now, "tenant0")
	c.Assert(decision.IsWithin, qt.IsTrue)
	c.Assert(f.take(0, 100), qt.Equals, 29)
	keeper.Return(f.now, "tenant0", decision)
	c.Assert(f.take(0, 2), qt.Equals, 1)
	keeper.Return(decision.UsableUntil, "tenant0", decision)
	c.Assert(f.take(0, 2), qt.Equals, 0)
}

// TestAllDaemonsTogether sends requests to all daemons at once.
func TestAllDaemonsTogether(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	var wg sync.WaitGroup
	counts := make([]int, len(f.keepers))
	for i := range f.keepers {
		wg.Go(func() {
			counts[i] = f.take(i, 50)
		})
	}
	wg.Wait()
	total := 0
	for _, count := range counts {
		total += count
	}
	// Daemons may have asked for permits in advance.
	c.Assert(total <= 30, qt.IsTrue)
	c.Assert(total >= 20, qt.IsTrue)
}

// TestGranterDown takes the granter of a zone away: requests get the permits of the other one.
func TestGranterDown(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	status, _ := f.keepers[0].Status("tenant0")
	asking := 0
	for i, keeper := range f.keepers {
		if keeper.config.Self.Name == status.Granters[0] {
			f.servers[i].Close()
			asking = (i + 2) % len(f.keepers)
		}
	}
	c.Assert(f.take(asking, 100), qt.Equals, 15)
	c.Assert(f.keepers[asking].Counters.AskFailures.Load() > 0, qt.IsTrue)
}

// TestNoDaemonReachable leaves a daemon alone, which serves a few requests without permits.
func TestNoDaemonReachable(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	alone := -1
	for i, keeper := range f.keepers {
		status, _ := keeper.Status("tenant0")
		if !status.IsGranter {
			alone = i
		}
		f.servers[i].Close()
	}
	c.Assert(f.take(alone, 100), qt.Equals, 1)
	c.Assert(f.take(alone, 100), qt.Equals, 0)
	decision := f.keepers[alone].Take(t.Context(), f.now, "tenant0")
	c.Assert(decision.IsUnknown, qt.IsTrue)
	c.Assert(f.journal.events, qt.HasLen, 0)
}

// TestUnknownHosts refuses a request while no daemon is known, but not because of the quota.
func TestUnknownHosts(t *testing.T) {
	c := qt.New(t)
	keeper, journal := newKeeperWithHosts(t, func() []core.Host { return nil })
	decision := keeper.Take(t.Context(), time.Now(), "tenant0")
	c.Assert(decision.IsWithin, qt.IsFalse)
	c.Assert(decision.IsUnknown, qt.IsTrue)
	c.Assert(journal.events, qt.HasLen, 0)
}

// TestManyTenants guards against buckets that are full again because many tenants had a quota before.
func TestManyTenants(t *testing.T) {
	c := qt.New(t)
	keeper, _ := newKeeperWithHosts(t, func() []core.Host { return nil })
	kept := keeper.tenant("tenant0")
	for i := range maxTenants {
		keeper.tenant(core.TenantName(fmt.Sprintf("former%d", i)))
	}
	c.Assert(keeper.tenant("tenant0"), qt.Equals, kept)
	c.Assert(keeper.tenants, qt.HasLen, 2)
}

// slowPeers answers with a permit once it may.
type slowPeers struct {
	goOn chan struct{}
}

func (p slowPeers) Grant(context.Context, string, core.GrantRequest) (core.GrantAnswer, error) {
	<-p.goOn
	return core.GrantAnswer{
		Granted: 1,
	}, nil
}

// TestCallerLeaves guards against a request that waits longer than its caller, whether it asks itself or
// waits for the answer to another one, and against a permit that it takes.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := newTestFleet(t, 6, core.QuotaSpec{
		RequestsPerSecond: 20,
		Burst:             30,
	})
	peers := slowPeers{
		goOn: make(chan struct{}),
	}
	var keeper *Keeper
	for _, candidate := range f.keepers {
		if status, _ := candidate.Status("tenant0"); !status.IsGranter {
			keeper = candidate
		}
	}
	keeper.config.Peers = peers
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			c.Check(keeper.Take(ctx, f.now, "tenant0"), qt.Equals, core.QuotaDecision{
				IsUnknown: true,
			})
		})
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	// No granter answers before the callers have left.
	wg.Wait()
	close(peers.goOn)
	c.Assert(keeper.Take(ctx, f.now, "tenant0").IsWithin, qt.IsFalse)
	c.Assert(keeper.Take(t.Context(), f.now, "tenant0").IsWithin, qt.IsTrue)
}

// newKeeperWithHosts returns a keeper of a tenant with a quota, and its journal.
func newKeeperWithHosts(t *testing.T, hosts func() []core.Host) (*Keeper, *fakeJournal) {
	journal := &fakeJournal{}
	return New(Config{
		Self: core.Host{
			Name: "10.0.0.1:80",
		},
		Config: newFakeConfig(1, core.QuotaSpec{
			RequestsPerSecond: 20,
		}),
		Hosts:        hosts,
		ContactAge:   func() time.Duration { return 0 },
		ContactSince: func() time.Time { return time.Time{} },
		Peers:        unusedPeers{t: t},
		Clock:        kernel.SystemClock{},
		Journal:      journal,
		Bounds:       testBounds,
	}), journal
}

// TestRefreshKeepsOrder guards against a list of hosts that wins over one that was read later.
func TestRefreshKeepsOrder(t *testing.T) {
	c := qt.New(t)
	lists := [][]core.Host{{{Name: "10.0.0.1:80"}}, {{Name: "10.0.0.1:80"}, {Name: "10.0.0.2:80"}}}
	var reads atomic.Int64
	isRead, goOn := make(chan struct{}), make(chan struct{})
	keeper, _ := newKeeperWithHosts(t, func() []core.Host {
		number := reads.Add(1)
		if number == 1 {
			close(isRead)
			<-goOn
		}
		return lists[number-1]
	})
	var older, newer sync.WaitGroup
	older.Go(keeper.Refresh)
	<-isRead
	newer.Go(keeper.Refresh)
	// Without the order, the newer list is in force before the older one.
	time.AfterFunc(50*time.Millisecond, func() { close(goOn) })
	older.Wait()
	newer.Wait()
	c.Assert(keeper.currentRing().Size(), qt.Equals, 2)
}

// TestRingBeforeTenant guards against a ring that is made while the mutex of a tenant is held, which
// Statuses locks in the other order.
func TestRingBeforeTenant(t *testing.T) {
	c := qt.New(t)
	var keeper *Keeper
	isFree := true
	keeper, _ = newKeeperWithHosts(t, func() []core.Host {
		tenant := keeper.tenant("tenant0")
		if isFree = tenant.mu.TryLock(); isFree {
			tenant.mu.Unlock()
		}
		return nil
	})
	keeper.Take(context.Background(), time.Now(), "tenant0")
	c.Assert(isFree, qt.IsTrue)
}

// unusedPeers fails the test when a message is sent.
type unusedPeers struct {
	t *testing.T
}

func (p unusedPeers) Grant(context.Context, string, core.GrantRequest) (core.GrantAnswer, error) {
	p.t.Error("a message was sent")
	return core.GrantAnswer{}, nil
}

// TestNoQuota shows that nothing is refused and sent without a quota, or without its bounds.
func TestNoQuota(t *testing.T) {
	cases := []struct {
		name   string
		spec   core.QuotaSpec
		bounds quota.Bounds
		tenant core.TenantName
	}{
		{name: "no bounds", spec: core.QuotaSpec{RequestsPerSecond: 1}, tenant: "tenant0"},
		{name: "no quota", bounds: testBounds, tenant: "tenant0"},
		{name: "unknown tenant", spec: core.QuotaSpec{RequestsPerSecond: 1}, bounds: testBounds, tenant: "other"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			keeper := New(Config{
				Config:       newFakeConfig(1, tc.spec),
				Hosts:        func() []core.Host { return nil },
				ContactAge:   func() time.Duration { return 0 },
				ContactSince: func() time.Time { return time.Time{} },
				Peers:        unusedPeers{t: t},
				Clock:        kernel.SystemClock{},
				Journal:      &fakeJournal{},
				Bounds:       tc.bounds,
			})
			for range 100 {
				c.Assert(keeper.Take(context.Background(), time.Now(), tc.tenant).IsWithin, qt.IsTrue)
			}
			c.Assert(keeper.tenants, qt.HasLen, 0)
			answer, err := keeper.Grant(t.Context(), core.GrantRequest{
				Tenant: tc.tenant,
				Want:   1,
			})
			c.Assert(err, qt.IsNil)
			c.Assert(answer.IsInactive, qt.IsTrue)
		})
	}
}

// BenchmarkTake measures a request of one of 2,000 tenants that has a permit.
func BenchmarkTake(b *testing.B) {
	host := core.Host{
		Name:             "10.0.0.1:80",
		AvailabilityZone: "az0",
	}
	keeper := New(Config{
		Self: host,
		Config: newFakeConfig(2000, core.QuotaSpec{
			RequestsPerSecond: 1e9,
			Burst:             1e9,
		}),
		Hosts:        func() []core.Host { return []core.Host{host} },
		ContactAge:   func() time.Duration { return 0 },
		ContactSince: func() time.Time { return time.Time{} },
		ExpiryTime:   time.Second,
		Clock:        kernel.SystemClock{},
		Journal:      &fakeJournal{},
		Bounds:       testBounds,
	})
	keeper.Refresh()
	names := make([]core.TenantName, 0, 2000)
	now := time.Now()
	for name := range keeper.config.Config.(fakeConfig).snapshot.Tenants {
		names = append(names, name)
		keeper.tenant(name).account.Apply(now, now.Add(time.Hour), host.Name, quota.Grant{
			Granted: 1 << 40,
		}, true)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if !keeper.Take(b.Context(), now, names[i%len(names)]).IsWithin {
			b.Fatal("refused")
		}
		i++
	}
}
