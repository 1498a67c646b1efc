package route

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	// Self is the local host. Upstreams in its availability zone and region are preferred.
	Self core.Host
	// Random returns uniformly distributed numbers. It must be safe for concurrent use.
	Random func() uint64
	// LinkRate is the speed of the local host's link in bytes per second, 0 if unknown.
	LinkRate int64
}

// Balancer chooses the upstream of each attempt. It is safe for concurrent use. Choose takes
// no lock unless members or snapshot changed or the request goes to another region.
type Balancer struct {
	config  BalancerConfig
	budget  regionBudget
	answers answerSizes
	notices notices
	// serviceTimes holds the mean service time of each route over all upstreams.
	serviceTimes routeTimes
	// mu guards writes to services and to the states in it.
	mu       sync.Mutex
	services atomic.Pointer[map[core.ServiceName]*serviceState]
}

// serviceState holds the upstreams of one service.
type serviceState struct {
	group atomic.Pointer[group]
	// upstreams holds the state of each host. It is kept when the group is rebuilt.
	upstreams map[core.HostName]*upstream
	// zones holds the load of each availability zone that has an upstream.
	zones map[core.AvailabilityZone]*zoneLoad
}

// group holds the upstreams of one service by locality, for one member list and one snapshot.
type group struct {
	members  []core.Member
	snapshot *core.Snapshot
	// leavingCount is that of the notices when the group was built.
	leavingCount int64
	// slots is the limit of upstreams that report none.
	slots int
	// alive and suspect hold a tier for the local availability zone, one for the rest of the
	// local region and one for each other region. Empty tiers are left out.
	alive   []tier
	suspect []tier
	// nearTiers is the number of tiers of alive in the local region, which are the first.
	nearTiers int
	// excluded holds members that are leaving or in an availability zone taken out. They get
	// no new requests but still own idempotency keys.
	excluded []tier
}

// tier holds the upstreams of one region at the same distance.
type tier struct {
	region    core.Region
	distance  int
	upstreams []*upstream
	// growth is kept while the group is in use.
	growth *growth
}

// Query describes one attempt.
type Query struct {
	Service core.ServiceSpec
	// Route and Target are used by ChooseByCost; Target is the latency target.
	Route       core.RouteName
	Target      time.Duration
	HomeRegions *RegionSet
	Snapshot    *core.Snapshot
	// Members lists the members of the service. Groups are cached by the identity of this
	// slice, so the caller passes the same one while the members do not change.
	Members []core.Member
	// Tried lists hosts that are not chosen again for this request.
	Tried []core.HostName
	// Bytes are charged at once if the chosen upstream is in another region.
	Bytes int64
	// DeclaredBytes have to be within the budget too but are charged by ChargeBytes as they are
	// sent, since a refused request sends none of them.
	DeclaredBytes int64
}

// Choice is the upstream chosen for an attempt, which is outstanding until Release.
type Choice struct {
	Host core.Host
	// OtherRegion is true if the upstream is in another region.
	OtherRegion bool
	// HasFreeSlot is true if the upstream has a free slot as far as is known.
	HasFreeSlot bool
	// answerRate is the part of this attempt in upstream.answerRate, expectedLatency the time
	// within which its answer is expected.
	answerRate      int64
	expectedLatency time.Duration
	// latency is the expected time to the whole answer, queue time included.
	latency time.Duration
	// localLatency is the expected latency of the best upstream of the local availability zone if
	// ChooseByCost has chosen one of another zone, 0 if there was none.
	localLatency time.Duration
	isAway       bool
	upstream     *upstream
}

// AwayReason says why an upstream of another availability zone was chosen, "" if none was or if Choose
// has chosen it.
func (c Choice) AwayReason() string {
	switch {
	case !c.isAway:
		return ""
	case c.localLatency == 0:
		return "no upstream of the own zone is eligible"
	}
	return fmt.Sprintf("expected in %s, in the own zone in %s", c.latency.Round(time.Millisecond), c.localLatency.Round(time.Millisecond))
}

// ExpectedLatency returns the time within which an answer is expected, 0 without an upstream.
func (c *Choice) ExpectedLatency() time.Duration {
	return c.expectedLatency
}

// NewBalancer returns a balancer without state; upstreams are added by the first queries.
func NewBalancer(config BalancerConfig) *Balancer {
	b := &Balancer{
		config: config,
	}
	b.services.Store(&map[core.ServiceName]*serviceState{})
	return b
}

// selectionRound is the condition that upstreams have to meet in one round of a choice.
type selectionRound int

// The rounds of a choice. Upstreams with a free slot come first, by locality, so that load
// spills to the next tier before it exceeds the capacity of the nearer one. Then come those
// that appear to be full, and last those in backoff after a refusal, since even a certain
// refusal costs less than not sending the request.
const (
	withFreeSlot selectionRound = iota
	notInBackoff
	anyUpstream
)

// Choose returns the upstream for one attempt; ok is false if there is none.
func (b *Balancer) Choose(now time.Time, query Query) (choice Choice, ok bool) {
	g := b.group(&query)
	for _, tiers := range [][]tier{g.alive, g.suspect} {
		for round := withFreeSlot; round <= anyUpstream; round++ {
			if choice, ok = b.chooseFromTiers(now, query, g, tiers, round); ok {
				choice.HasFreeSlot = round == withFreeSlot
				return choice, true
			}
		}
	}
	return Choice{}, false
}

// chooseFromTiers tries the tiers in order of locality.
func (b *Balancer) chooseFromTiers(now time.Time, query Query, g *group, tiers []tier, round selectionRound) (Choice, bool) {
	local := 0
	for local < len(tiers) && tiers[local].distance != otherRegion {
		local++
	}
	if u := b.chooseLocal(now, query, g, tiers[:local], round); u != nil {
		return newChoice(u, false), true
	}
	remote := tiers[local:]
	if len(remote) == 0 {
		return Choice{}, false
	}
	// All other regions have the same distance, so the search starts at a random one.
	first := int(b.config.Random() % uint64(len(remote)))
	for i := range remote {
		t := remote[(first+i)%len(remote)]
		if !query.HomeRegions.Allows(t.region) {
			continue
		}
		u := b.pickOfTwo(now, query, g, t, round)
		if u != nil && b.budget.take(now, b.crossRegionRate(&query), query.Bytes, query.DeclaredBytes) {
			return newChoice(u, true), true
		}
	}
	return Choice{}, false
}

// chooseLocal chooses within the local region: from the nearest tier with a free slot, in later
// rounds the least loaded upstream of all tiers, so that a full near tier does not get requests
// that a farther one has capacity for.
func (b *Balancer) chooseLocal(now time.Time, query Query, g *group, tiers []tier, round selectionRound) *upstream {
	if len(tiers) == 0 || !query.HomeRegions.Allows(tiers[0].region) {
		return nil
	}
	var best *upstream
	var bestScore float64
	for _, t := range tiers {
		u := b.pickOfTwo(now, query, g, t, round)
		if u == nil {
			continue
		}
		if round == withFreeSlot {
			return u
		}
		if score, _ := u.score(momentOf(now), g.slots); best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// pickOfTwo draws two random upstreams of a tier and returns the less loaded one.
func (b *Balancer) pickOfTwo(now time.Time, query Query, g *group, t tier, round selectionRound) *upstream {
	a := b.drawEligible(now, query, g, t, round, nil)
	if a == nil || len(t.upstreams) == 1 {
		return a
	}
	other := b.drawEligible(now, query, g, t, round, a)
	if other == nil {
		return a
	}
	scoreA, _ := a.score(momentOf(now), g.slots)
	scoreB, _ := other.score(momentOf(now), g.slots)
	if scoreB < scoreA {
		return other
	}
	return a
}

// drawEligible returns a random eligible upstream other than except, nil if there is none. A
// few random draws nearly always suffice; after them it scans the tier.
func (b *Balancer) drawEligible(now time.Time, query Query, g *group, t tier, round selectionRound, except *upstream) *upstream {
	n := uint64(len(t.upstreams))
	index := uint64(0)
	for range 4 {
		index = b.config.Random() % n
		if u := t.upstreams[index]; u != except && isEligible(u, now, query, g, round) {
			return u
		}
	}
	for range n {
		index = (index + 1) % n
		if u := t.upstreams[index]; u != except && isEligible(u, now, query, g, round) {
			return u
		}
	}
	return nil
}

// isEligible reports whether an upstream was not tried yet and meets the condition of the round.
func isEligible(u *upstream, now time.Time, query Query, g *group, round selectionRound) bool {
	if slices.Contains(query.Tried, u.host.Name) {
		return false
	}
	switch round {
	case withFreeSlot:
		if u.inBackoff(momentOf(now)) {
			return false
		}
		_, full := u.score(momentOf(now), g.slots)
		return !full
	case notInBackoff:
		return !u.inBackoff(momentOf(now))
	default:
		return true
	}
}

func newChoice(u *upstream, otherRegion bool) Choice {
	u.outstanding.Add(1)
	return Choice{
		Host:        u.host,
		OtherRegion: otherRegion,
		upstream:    u,
	}
}

// crossRegionRate returns the cross-region budget of the local region in bytes per second.
func (b *Balancer) crossRegionRate(query *Query) int64 {
	return query.Snapshot.Regions[b.config.Self.Region].CrossRegionBytesPerSecond
}

// ChooseOwner chooses the given host, the owner of an idempotency key. The owner may be leaving or
// in an availability zone taken out, since it then has another upstream run the request. ok is
// false if the host is dead or no member, outside the home regions or over the cross-region budget.
func (b *Balancer) ChooseOwner(now time.Time, query Query, host core.HostName) (choice Choice, ok bool) {
	g := b.group(&query)
	for _, tiers := range [][]tier{g.alive, g.suspect, g.excluded} {
		for _, t := range tiers {
			for _, u := range t.upstreams {
				if u.host.Name != host {
					continue
				}
				other := t.distance == otherRegion
				if !query.HomeRegions.Allows(t.region) || other && !b.budget.take(now, b.crossRegionRate(&query), query.Bytes, query.DeclaredBytes) {
					return Choice{}, false
				}
				return newChoice(u, other), true
			}
		}
	}
	return Choice{}, false
}

// RecordAnswer records an answer that is not a refusal.
func (b *Balancer) RecordAnswer(choice Choice) {
	choice.upstream.answered()
}

// RecordLoad records the load that an upstream reported.
func (b *Balancer) RecordLoad(now time.Time, choice Choice, inFlight, limit int) {
	choice.upstream.report(momentOf(now), inFlight, limit)
}

// RecordRefusal records a refusal of the given kind, which is NoUpstream for a failed connection.
func (b *Balancer) RecordRefusal(now time.Time, choice Choice, kind core.ErrorKind) {
	if policy, ok := backoffs[kind]; ok {
		choice.upstream.refused(momentOf(now), policy, b.config.Random())
	}
}

// ChargeBytes charges bytes sent to another region in addition to those of the query.
func (b *Balancer) ChargeBytes(now time.Time, bytes int64) {
	b.budget.charge(now, bytes)
}

// Release ends an attempt, which is then no longer outstanding.
func (b *Balancer) Release(choice Choice) {
	choice.upstream.released(choice.answerRate)
}
