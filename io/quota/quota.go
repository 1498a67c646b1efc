package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/quota"
)

const (
	// DefaultAskTimeout bounds a request to a granter. It is small against the time for which a caller waits,
	// and long enough for a host in another region that is busy.
	DefaultAskTimeout = 150 * time.Millisecond
	// takeTimeout bounds how long a request waits for a permit.
	takeTimeout = quota.PermitLifetime
	// maxContactAge is the time since the last contact with the store up to which a daemon says that it
	// has contact.
	maxContactAge = 2 * time.Second
	// maxTenants is the number of remembered tenants from which those that no longer have a quota are
	// forgotten.
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
	// ContactSince returns the time since which there has been contact without a gap of ExpiryTime.
	ContactSince func() time.Time
	// ExpiryTime is the time after which other daemons do not count on a host any more that has lost
	// contact with the store.
	ExpiryTime time.Duration
	Peers      core.GrantClient
	Clock      core.Clock
	Journal    core.Journal
	Bounds     quota.Bounds
	// AskTimeout bounds a request to a granter; 0 means DefaultAskTimeout.
	AskTimeout time.Duration
}

// Keeper enforces quotas. It implements core.Quotas and core.GrantServer. It sends
// nothing unless requests of tenants with a quota arrive.
type Keeper struct {
	Counters Counters

	config    Config
	startedAt time.Time
	ring      atomic.Pointer[quota.Ring]
	// refreshMu is held from reading the hosts to storing their ring, so that no older list of hosts
	// wins. It is locked before mu.
	refreshMu sync.Mutex

	// mu is locked before the mutex of a tenant, never while one is held.
	mu      sync.RWMutex
	tenants map[core.TenantName]*tenant
	outage  quota.Outage
	// contactSince is the last known result of ContactSince.
	contactSince time.Time
	reports      reports
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
	if config.AskTimeout <= 0 {
		config.AskTimeout = DefaultAskTimeout
	}
	return &Keeper{
		config:    config,
		startedAt: config.Clock.Now(),
		tenants:   map[core.TenantName]*tenant{},
	}
}

// Refresh applies a change of the known daemons.
func (k *Keeper) Refresh() {
	if !k.config.Bounds.IsSet() {
		return
	}
	k.refreshMu.Lock()
	defer k.refreshMu.Unlock()
	hosts := k.config.Hosts()
	if len(hosts) == 0 {
		return
	}
	last := k.ring.Load()
	if last != nil && last.HasSameHosts(hosts) {
		return
	}
	if last == nil {
		k.mu.Lock()
		k.contactSince = k.config.ContactSince()
		k.mu.Unlock()
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
func (k *Keeper) Take(ctx context.Context, now time.Time, name core.TenantName) core.QuotaDecision {
	spec, ok := k.spec(name)
	if !ok {
		return core.QuotaDecision{
			IsWithin: true,
		}
	}
	t := k.tenant(name)
	// The mutex of the tenant must not be held while a first ring is made.
	ring := k.currentRing()
	t.mu.Lock()
	t.account.Observe(now)
	if ctx.Err() == nil {
		if usableUntil, isSpent := t.account.Spend(now); isSpent {
			t.counts.taken++
			t.mu.Unlock()
			return core.QuotaDecision{
				IsWithin:    true,
				UsableUntil: usableUntil,
			}
		}
	}
	decision := k.await(ctx, now, name, spec, ring, t)
	isBeyond := !decision.IsWithin && !decision.IsUnknown
	switch {
	case decision.IsWithin:
		t.counts.taken++
	case isBeyond:
		t.counts.refused++
	}
	t.mu.Unlock()
	if isBeyond {
		k.reportRefusal(name, spec, decision)
	}
	return decision
}

// Return implements core.Quotas. A permit is not used again after its lifetime: that would pass the
// bounds of the quota.
func (k *Keeper) Return(now time.Time, name core.TenantName, decision core.QuotaDecision) {
	if _, ok := k.spec(name); !ok {
		return
	}
	t := k.tenant(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.returned++
	t.account.GiveBack(now, decision.UsableUntil)
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
			// Those with a quota keep their buckets: a new one would be fuller than the quota allows.
			maps.DeleteFunc(k.tenants, func(name core.TenantName, _ *tenant) bool {
				_, ok := k.spec(name)
				return !ok
			})
		}
		t = new(tenant)
		k.tenants[name] = t
	}
	return t
}

// await gets a permit from the granters. The caller holds the mutex of the tenant, which is released
// while it waits.
func (k *Keeper) await(ctx context.Context, now time.Time, name core.TenantName, spec core.QuotaSpec, ring *quota.Ring, t *tenant) core.QuotaDecision {
	if ring == nil {
		return core.QuotaDecision{
			IsUnknown: true,
		}
	}
	deadline := now.Add(takeTimeout)
	granters := ring.Granters(name)
	t.waiting++
	defer func() { t.waiting-- }()
	for {
		if ctx.Err() != nil {
			return core.QuotaDecision{
				IsUnknown: true,
			}
		}
		if usableUntil, ok := t.account.Spend(now); ok {
			return core.QuotaDecision{
				IsWithin:    true,
				UsableUntil: usableUntil,
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
			k.ask(ctx, now, name, t, host, want)
		} else {
			k.awaitAnswer(ctx, t)
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
		IsUnknown:  isUnknown,
		RetryAfter: retryAfter,
	}
}

// awaitAnswer waits for the next answer of a granter or the end of ctx. The caller holds the mutex of the tenant, which is
// released meanwhile.
func (k *Keeper) awaitAnswer(ctx context.Context, t *tenant) {
	if t.answered == nil {
		t.answered = make(chan struct{})
	}
	answered := t.answered
	t.mu.Unlock()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	t.mu.Lock()
}

// ask asks a granter for permits and waits for the answer or the end of ctx. An answer that comes later
// counts for other requests. The caller holds the mutex of the tenant, which is released meanwhile.
func (k *Keeper) ask(ctx context.Context, now time.Time, name core.TenantName, t *tenant, host core.Host, want int) {
	t.mu.Unlock()
	defer t.mu.Lock()
	if host.Name == k.config.Self.Name {
		k.askAndApply(now, name, t, host, want)
		return
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		k.askAndApply(now, name, t, host, want)
	}()
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

func (k *Keeper) askAndApply(now time.Time, name core.TenantName, t *tenant, host core.Host, want int) {
	answer, err := k.askHost(host, core.GrantRequest{
		Sender: k.config.Self.Name,
		Tenant: name,
		Want:   want,
	})
	t.mu.Lock()
	defer t.mu.Unlock()
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
		return k.grant(request), nil
	}
	k.Counters.Asked.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), k.config.AskTimeout)
	defer cancel()
	answer, err := k.config.Peers.Grant(ctx, host.PeerAddress, request)
	if err != nil {
		k.Counters.AskFailures.Add(1)
		return core.GrantAnswer{}, err
	}
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
	answer := k.grant(request)
	if ring := k.currentRing(); request.Want == 0 && ring != nil {
		answer.HasContact, answer.MembersHash = k.config.ContactAge() <= maxContactAge, ring.Hash()
	}
	return answer, nil
}

func (k *Keeper) grant(request core.GrantRequest) core.GrantAnswer {
	spec, ok := k.spec(request.Tenant)
	ring := k.rejoin()
	if !ok || ring == nil || request.Want <= 0 {
		return core.GrantAnswer{
			IsInactive: true,
		}
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
	}
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

// rejoin returns the current ring. After a gap in the contact with the store, this daemon counts as new in
// it, since another one may have replaced it meanwhile.
func (k *Keeper) rejoin() *quota.Ring {
	ring := k.currentRing()
	since := k.config.ContactSince()
	k.mu.Lock()
	isCurrent := !since.After(k.contactSince)
	k.mu.Unlock()
	if ring == nil || isCurrent {
		return ring
	}
	k.refreshMu.Lock()
	defer k.refreshMu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !since.After(k.contactSince) {
		return k.ring.Load()
	}
	k.contactSince = since
	if !k.outage.IsConfirmedAt(since) {
		k.ring.Store(k.ring.Load().Rejoined(k.config.Clock.Now()))
	}
	return k.ring.Load()
}

// share returns the part of its permits that this daemon hands out as a granter. One that has lost
// contact with the store may have been replaced, unless others have lost it too.
func (k *Keeper) share(now time.Time, ring *quota.Ring) float64 {
	contactAge := k.config.ContactAge()
	if contactAge < k.config.ExpiryTime/2 {
		return 1
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	share, isProbeDue := k.outage.Share(now, contactAge, k.config.ExpiryTime)
	if isProbeDue {
		go k.probe(ring)
	}
	return share
}

// probe asks daemons whether they have contact with the store.
func (k *Keeper) probe(ring *quota.Ring) {
	hosts := ring.Probes(rand.Uint64())
	answers := make([]*core.GrantAnswer, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() {
			answer, err := k.askHost(host, core.GrantRequest{
				Sender: k.config.Self.Name,
			})
			if err == nil {
				answers[i] = &answer
			}
		})
	}
	wg.Wait()
	result := quota.ProbeResult{
		Asked: len(hosts),
	}
	for _, answer := range answers {
		if answer == nil {
			continue
		}
		result.Answered++
		if answer.HasContact {
			result.InContact++
		}
		if answer.MembersHash == ring.Hash() {
			result.Agreeing++
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outage.Conclude(k.config.Clock.Now(), result)
}
