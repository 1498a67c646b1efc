package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/quota"
)

const (
	// askTimeout bounds a request to a granter. It is small against the time for which a caller waits,
	// and long enough for a host in another region that is busy.
	askTimeout = 150 * time.Millisecond
	// takeTimeout bounds how long a request waits for a permit.
	takeTimeout = quota.PermitLifetime
	// heardTime is how long a daemon of the zone counts as in touch after its last message.
	heardTime = 2 * time.Second
	// maxTenants bounds the tenants that are remembered; those without a quota are not.
	maxTenants = 20000
)

// Config configures a Keeper.
type Config struct {
	Self core.Host
	// Config has the quotas.
	Config core.ConfigView
	// Hosts returns the known daemons, this one included.
	Hosts func() []core.Host
	// ContactAge returns the time since the last contact with the store.
	ContactAge func() time.Duration
	// ExpiryTime is the time after which other daemons do not count on a host any more that has lost
	// contact with the store.
	ExpiryTime time.Duration
	Peers      core.GrantClient
	Clock      core.Clock
	Journal    core.Journal
	Bounds     quota.Bounds
}

// Keeper enforces quotas. It implements core.Quotas and core.GrantServer. It has no goroutines and
// sends nothing unless requests of tenants with a quota arrive.
type Keeper struct {
	Counters Counters

	config    Config
	startedAt time.Time
	ring      atomic.Pointer[quota.Ring]

	mu      sync.RWMutex
	tenants map[core.TenantName]*tenant
	// heard holds the times of the last messages of daemons of this zone.
	heard   map[core.HostName]time.Time
	reports reports
}

// Counters count the messages of a Keeper since its start.
type Counters struct {
	// Asked are requests for permits to other daemons, AskFailures those without an answer.
	Asked       atomic.Int64
	AskFailures atomic.Int64
	// Answered are requests for permits of other daemons.
	Answered atomic.Int64
}

// tenant is what the daemon knows of one tenant.
type tenant struct {
	mu      sync.Mutex
	account quota.Account
	bucket  quota.Bucket
	// waiting is the number of requests that wait for a permit. Each of them asks one granter or waits
	// for an answer to another one: answered is closed at the next answer, nil if none waits for it.
	waiting  int
	answered chan struct{}
	counts   counts
}

// New returns a keeper.
func New(config Config) *Keeper {
	return &Keeper{
		config:    config,
		startedAt: config.Clock.Now(),
		tenants:   map[core.TenantName]*tenant{},
		heard:     map[core.HostName]time.Time{},
	}
}

// Refresh applies a change of the known daemons.
func (k *Keeper) Refresh() {
	if !k.config.Bounds.IsSet() {
		return
	}
	hosts := k.config.Hosts()
	if len(hosts) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	last := k.ring.Load()
	if last != nil && last.HasSameHosts(hosts) {
		return
	}
	k.ring.Store(quota.NewRing(k.config.Clock.Now(), k.config.Self, hosts, last))
}

// currentRing returns nil as long as no daemon is known.
func (k *Keeper) currentRing() *quota.Ring {
	if ring := k.ring.Load(); ring != nil {
		return ring
	}
	k.Refresh()
	return k.ring.Load()
}

// Take implements core.Quotas. It waits for an answer of other daemons if this one has no permit.
func (k *Keeper) Take(now time.Time, name core.TenantName) core.QuotaDecision {
	spec, ok := k.spec(name)
	if !ok {
		return core.QuotaDecision{
			IsWithin: true,
		}
	}
	t := k.tenant(name)
	t.mu.Lock()
	t.account.Observe(now)
	if t.account.Spend(now) {
		t.counts.taken++
		t.mu.Unlock()
		return core.QuotaDecision{
			IsWithin: true,
		}
	}
	decision := k.await(now, name, spec, t)
	if decision.IsWithin {
		t.counts.taken++
	} else {
		t.counts.refused++
	}
	t.mu.Unlock()
	if !decision.IsWithin {
		k.reportRefusal(name, spec, decision)
	}
	return decision
}

// Return implements core.Quotas. A permit is not used again: after its lifetime that would pass the
// bounds of the quota.
func (k *Keeper) Return(_ time.Time, name core.TenantName) {
	if _, ok := k.spec(name); !ok {
		return
	}
	t := k.tenant(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.returned++
}

// spec returns the quota of a tenant, false if it has none.
func (k *Keeper) spec(name core.TenantName) (core.QuotaSpec, bool) {
	if !k.config.Bounds.IsSet() {
		return core.QuotaSpec{}, false
	}
	snapshot, _ := k.config.Config.Snapshot()
	if snapshot == nil {
		return core.QuotaSpec{}, false
	}
	spec := snapshot.Tenants[name].Quota
	return spec, !spec.IsUnlimited()
}

func (k *Keeper) tenant(name core.TenantName) *tenant {
	k.mu.RLock()
	t := k.tenants[name]
	k.mu.RUnlock()
	if t != nil {
		return t
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t = k.tenants[name]; t == nil {
		if len(k.tenants) >= maxTenants {
			clear(k.tenants)
		}
		t = new(tenant)
		k.tenants[name] = t
	}
	return t
}

// await gets a permit from the granters. The caller holds the mutex of the tenant, which is released
// while it waits.
func (k *Keeper) await(now time.Time, name core.TenantName, spec core.QuotaSpec, t *tenant) core.QuotaDecision {
	ring := k.currentRing()
	if ring == nil {
		return core.QuotaDecision{}
	}
	deadline := now.Add(takeTimeout)
	granters := ring.Granters(name)
	t.waiting++
	defer func() { t.waiting-- }()
	for {
		if t.account.Spend(now) {
			return core.QuotaDecision{
				IsWithin: true,
			}
		}
		if !now.Before(deadline) {
			break
		}
		step, host, want := t.account.Next(now, granters, t.waiting)
		if step == quota.StepRefuse {
			break
		}
		if step == quota.StepAsk {
			k.ask(now, name, t, host, want)
		} else {
			k.awaitAnswer(t)
		}
		now = k.config.Clock.Now()
	}
	retryAfter, isUnknown := t.account.Refusal(now, granters)
	if isUnknown && k.reserve(now, name, spec, ring, t) {
		return core.QuotaDecision{
			IsWithin: true,
		}
	}
	return core.QuotaDecision{
		RetryAfter: retryAfter,
	}
}

// awaitAnswer waits for the next answer of a granter. The caller holds the mutex of the tenant, which is
// released meanwhile.
func (k *Keeper) awaitAnswer(t *tenant) {
	if t.answered == nil {
		t.answered = make(chan struct{})
	}
	answered := t.answered
	t.mu.Unlock()
	<-answered
	t.mu.Lock()
}

// ask asks a granter for permits. The caller holds the mutex of the tenant, which is released
// meanwhile.
func (k *Keeper) ask(now time.Time, name core.TenantName, t *tenant, host core.Host, want int) {
	t.mu.Unlock()
	answer, err := k.askHost(host, core.GrantRequest{
		Sender: k.config.Self.Name,
		Tenant: name,
		Want:   want,
	})
	t.mu.Lock()
	if t.answered != nil {
		close(t.answered)
		t.answered = nil
	}
	answeredAt := k.config.Clock.Now()
	if err != nil {
		t.account.Fail(answeredAt, host.Name)
		return
	}
	t.account.Apply(answeredAt, now, host.Name, quota.Grant{
		Granted:    answer.Granted,
		RetryAfter: answer.RetryAfter,
		IsInactive: answer.IsInactive,
	}, host.AvailabilityZone == k.config.Self.AvailabilityZone)
}

func (k *Keeper) askHost(host core.Host, request core.GrantRequest) (core.GrantAnswer, error) {
	if host.Name == k.config.Self.Name {
		return k.grant(request)
	}
	k.Counters.Asked.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answer, err := k.config.Peers.Grant(ctx, host.PeerAddress, request)
	if err != nil {
		k.Counters.AskFailures.Add(1)
		return core.GrantAnswer{}, err
	}
	k.hear(host)
	return answer, nil
}

// reserve serves a request without a permit if no granter can be asked.
func (k *Keeper) reserve(now time.Time, name core.TenantName, spec core.QuotaSpec, ring *quota.Ring, t *tenant) bool {
	rank, ok := ring.Rank(name)
	if !ok {
		return false
	}
	units := quota.ReserveUnits(k.config.Bounds, spec, ring.ZoneCount(now), ring.Size(), rank)
	return t.account.Reserve(now, k.startedAt, k.config.Bounds.Window, units)
}

// Grant implements core.GrantServer.
func (k *Keeper) Grant(_ context.Context, request core.GrantRequest) (core.GrantAnswer, error) {
	k.Counters.Answered.Add(1)
	if ring := k.currentRing(); ring != nil {
		if host, ok := ring.ZoneMember(request.Sender); ok {
			k.hear(host)
		}
	}
	return k.grant(request)
}

func (k *Keeper) grant(request core.GrantRequest) (core.GrantAnswer, error) {
	spec, ok := k.spec(request.Tenant)
	ring := k.currentRing()
	if !ok || ring == nil || request.Want <= 0 {
		return core.GrantAnswer{
			IsInactive: true,
		}, nil
	}
	now := k.config.Clock.Now()
	fill := k.fill(now, request.Tenant, spec, ring)
	t := k.tenant(request.Tenant)
	t.mu.Lock()
	defer t.mu.Unlock()
	granted, retryAfter := t.bucket.Grant(now, fill, request.Want)
	t.counts.granted += int64(granted)
	t.counts.isGranter = fill.Standing.IsGranter
	return core.GrantAnswer{
		Granted:    granted,
		RetryAfter: retryAfter,
		IsInactive: !fill.Standing.IsGranter || granted == 0 && now.Before(fill.Standing.From),
	}, nil
}

func (k *Keeper) fill(now time.Time, name core.TenantName, spec core.QuotaSpec, ring *quota.Ring) quota.Fill {
	return quota.Fill{
		Standing: ring.Standing(name),
		Spec:     spec,
		Bounds:   k.config.Bounds,
		Zones:    ring.ZoneCount(now),
		Share:    k.share(now, ring),
	}
}

// share returns the part of its permits that this daemon hands out as a granter. One that has lost
// contact with the store may have been replaced, and then serves only those daemons that are cut
// off with it.
func (k *Keeper) share(now time.Time, ring *quota.Ring) float64 {
	if k.config.ContactAge() < k.config.ExpiryTime {
		return 1
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	inTouch := 1
	for _, at := range k.heard {
		if now.Sub(at) < heardTime {
			inTouch++
		}
	}
	return min(float64(inTouch)/float64(max(ring.ZoneSize(), 1)), 1)
}

// hear records a message of another daemon of the zone. Only a granter without contact to the store
// needs to know, so that the times are not exact.
func (k *Keeper) hear(host core.Host) {
	if host.AvailabilityZone != k.config.Self.AvailabilityZone {
		return
	}
	now := k.config.Clock.Now()
	k.mu.RLock()
	at := k.heard[host.Name]
	k.mu.RUnlock()
	if now.Sub(at) < heardTime/4 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, at := range k.heard {
		if now.Sub(at) >= heardTime {
			delete(k.heard, name)
		}
	}
	k.heard[host.Name] = now
}
