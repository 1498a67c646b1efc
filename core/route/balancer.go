package route

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

// BalancerConfig configures a Balancer.
type BalancerConfig struct {
	// Self is the own host; its availability zone and region come first.
	Self core.Host
	// Random returns uniform numbers. It is called from many goroutines.
	Random func() uint64
}

// Balancer chooses the upstream of each attempt. Its methods may be called from many
// goroutines; a choice takes no lock unless the request leaves the region.
type Balancer struct {
	config BalancerConfig
	budget regionBudget
	// mu guards changes of services and of the states in it.
	mu       sync.Mutex
	services atomic.Pointer[map[core.ServiceName]*serviceState]
}

// serviceState holds the upstreams of one service.
type serviceState struct {
	group atomic.Pointer[group]
	// upstreams keeps what is known about each host while groups come and go.
	upstreams map[core.HostName]*upstream
}

// group is the upstreams of one service in order of locality, for one list of members and
// one snapshot.
type group struct {
	members  []core.Member
	snapshot *core.Snapshot
	slots    int
	// alive and suspect hold tiers of the own availability zone, the own region and each
	// other region. Empty tiers are left out.
	alive   []tier
	suspect []tier
	// excluded holds leaving members and those of zones that are out. They get no new work,
	// but own idempotency keys.
	excluded []tier
}

// tier is a set of upstreams at the same distance.
type tier struct {
	region    core.Region
	distance  int
	upstreams []*upstream
}

// Query describes one attempt.
type Query struct {
	Service core.ServiceSpec
	// Route and Target are used by ChooseByCost; Target is the latency target.
	Route    core.RouteName
	Target   time.Duration
	Homes    *Homes
	Snapshot *core.Snapshot
	// Members of the service. The caller passes the same slice while they do not change.
	Members []core.Member
	// Tried lists hosts that this request does not go to again.
	Tried []core.HostName
	// Bytes of the request are charged at once if it leaves the region.
	Bytes int64
	// Announced bytes have to be within the budget too but are charged by Spend as they
	// move, since a refusal leaves them unsent.
	Announced int64
}

// Choice is a chosen upstream; it counts as outstanding until Release.
type Choice struct {
	Host core.Host
	// OtherRegion tells that the request leaves the region.
	OtherRegion bool
	// HasRoom tells that the upstream seemed to have a free slot.
	HasRoom bool
	// expected is the part of this choice in upstream.expected, usual the time in which its
	// answer is expected.
	expected int64
	usual    time.Duration
	upstream *upstream
}

// NewBalancer returns a balancer that knows no upstream yet.
func NewBalancer(config BalancerConfig) *Balancer {
	b := &Balancer{
		config: config,
	}
	b.services.Store(&map[core.ServiceName]*serviceState{})
	return b
}

// condition is what an upstream has to fulfil in one round of a choice.
type condition int

// The rounds of a choice: first upstreams with a free slot in order of locality, so that
// load spills to the next tier before it exceeds what the nearer one can bear; then those
// that only seem to be full; last those that just refused, since a certain refusal costs
// less than sending nothing.
const (
	withFreeSlot condition = iota
	notPassedOver
	anyUpstream
)

// Choose returns the upstream for one attempt; ok is false if there is none.
func (b *Balancer) Choose(now time.Time, query Query) (choice Choice, ok bool) {
	g := b.group(query)
	for _, tiers := range [][]tier{g.alive, g.suspect} {
		for round := withFreeSlot; round <= anyUpstream; round++ {
			if choice, ok = b.chooseIn(now, query, g, tiers, round); ok {
				choice.HasRoom = round == withFreeSlot
				return choice, true
			}
		}
	}
	return Choice{}, false
}

// chooseIn tries the tiers in order of locality.
func (b *Balancer) chooseIn(now time.Time, query Query, g *group, tiers []tier, round condition) (Choice, bool) {
	local := 0
	for local < len(tiers) && tiers[local].distance != otherRegion {
		local++
	}
	if u := b.bestOf(now, query, g, tiers[:local], round); u != nil {
		return begin(u, false), true
	}
	remote := tiers[local:]
	if len(remote) == 0 {
		return Choice{}, false
	}
	// Other regions are equally far, so that the first of them is drawn.
	first := int(b.config.Random() % uint64(len(remote)))
	for i := range remote {
		t := remote[(first+i)%len(remote)]
		if !query.Homes.Allows(t.region) {
			continue
		}
		u := b.pick(now, query, g, t, round)
		if u != nil && b.budget.take(now, b.rate(query), query.Bytes, query.Announced) {
			return begin(u, true), true
		}
	}
	return Choice{}, false
}

// bestOf picks within the own region: the nearest tier while there are free slots, the
// least loaded one otherwise, since a full near tier must not take what a farther one can.
func (b *Balancer) bestOf(now time.Time, query Query, g *group, tiers []tier, round condition) *upstream {
	if len(tiers) == 0 || !query.Homes.Allows(tiers[0].region) {
		return nil
	}
	var best *upstream
	var bestScore float64
	for _, t := range tiers {
		u := b.pick(now, query, g, t, round)
		if u == nil {
			continue
		}
		if round == withFreeSlot {
			return u
		}
		if score, _ := u.score(now, g.slots); best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// pick draws two upstreams of a tier and returns the less loaded one.
func (b *Balancer) pick(now time.Time, query Query, g *group, t tier, round condition) *upstream {
	a := b.draw(now, query, g, t, round, nil)
	if a == nil || len(t.upstreams) == 1 {
		return a
	}
	other := b.draw(now, query, g, t, round, a)
	if other == nil {
		return a
	}
	scoreA, _ := a.score(now, g.slots)
	scoreB, _ := other.score(now, g.slots)
	if scoreB < scoreA {
		return other
	}
	return a
}

// draw returns an upstream that fulfils the condition, nil if none does. A few random
// draws nearly always suffice; then it looks through all of them.
func (b *Balancer) draw(now time.Time, query Query, g *group, t tier, round condition, except *upstream) *upstream {
	n := uint64(len(t.upstreams))
	index := uint64(0)
	for range 4 {
		index = b.config.Random() % n
		if u := t.upstreams[index]; u != except && fulfils(u, now, query, g, round) {
			return u
		}
	}
	for range n {
		index = (index + 1) % n
		if u := t.upstreams[index]; u != except && fulfils(u, now, query, g, round) {
			return u
		}
	}
	return nil
}

func fulfils(u *upstream, now time.Time, query Query, g *group, round condition) bool {
	if slices.Contains(query.Tried, u.host.Name) {
		return false
	}
	switch round {
	case withFreeSlot:
		if u.passed(now) {
			return false
		}
		_, full := u.score(now, g.slots)
		return !full
	case notPassedOver:
		return !u.passed(now)
	default:
		return true
	}
}

func begin(u *upstream, otherRegion bool) Choice {
	u.outstanding.Add(1)
	return Choice{
		Host:        u.host,
		OtherRegion: otherRegion,
		upstream:    u,
	}
}

// rate returns the budget of the own region in bytes per second.
func (b *Balancer) rate(query Query) int64 {
	return query.Snapshot.Regions[b.config.Self.Region].CrossRegionBytesPerSecond
}

// BeginOwner counts an attempt at the owner of an idempotency key, which is not chosen by
// Choose. The owner may be leaving or in a zone that is out, since it lets another upstream
// run the request then. It is not ok if the host is dead, or is outside the home regions or
// the budget.
func (b *Balancer) BeginOwner(now time.Time, query Query, host core.HostName) (choice Choice, ok bool) {
	g := b.group(query)
	for _, tiers := range [][]tier{g.alive, g.suspect, g.excluded} {
		for _, t := range tiers {
			for _, u := range t.upstreams {
				if u.host.Name != host {
					continue
				}
				other := t.distance == otherRegion
				if !query.Homes.Allows(t.region) || other && !b.budget.take(now, b.rate(query), query.Bytes, query.Announced) {
					return Choice{}, false
				}
				return begin(u, other), true
			}
		}
	}
	return Choice{}, false
}

// Answered notes an answer that is no refusal.
func (b *Balancer) Answered(choice Choice) {
	choice.upstream.answered()
}

// Report notes the load that an upstream reported.
func (b *Balancer) Report(now time.Time, choice Choice, inFlight, limit int) {
	choice.upstream.report(now, inFlight, limit)
}

// Refused notes a refusal, or NoUpstream for a connection that failed.
func (b *Balancer) Refused(now time.Time, choice Choice, kind core.Kind) {
	if pass, ok := passOvers[kind]; ok {
		choice.upstream.refused(now, pass, b.config.Random())
	}
}

// Spend charges bytes that went to another region beyond those in the query.
func (b *Balancer) Spend(now time.Time, bytes int64) {
	b.budget.spend(now, bytes)
}

// Release ends an attempt.
func (b *Balancer) Release(choice Choice) {
	choice.upstream.outstanding.Add(-1)
	choice.upstream.expected.Add(-choice.expected)
}
