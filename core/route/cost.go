package route

import (
	"math"
	"slices"
	"time"

	"verbenaway/core"
)

// The cost of an upstream for a request, in shares of the request's latency target. Time below
// the comfortable share of the target matters little, since the answer comes in time anyway;
// beyond it each share costs several times as much. The additions say how much worse a nearer
// or sounder upstream may be before it is left for another one.
const (
	timeCost    = 0.25
	comfortable = 0.55
	hurryCost   = 2.0
	// fullCost is the addition for an upstream whose slots are all in use, less for one in part
	// use: many upstreams slow down before they are full. surplusCost is the addition for each
	// time that the slots are filled once more by requests that wait.
	fullCost    = 0.3
	surplusCost = 1.5
	// otherZoneCost and otherRegionCost stand for the longer way and the paid link.
	otherZoneCost   = 0.1
	otherRegionCost = 0.3
	// otherZoneBytes and otherRegionBytes are the sizes whose transfer costs as much as a
	// whole latency target.
	otherZoneBytes   = 240 << 10
	otherRegionBytes = 120 << 10
	// failureCost is the addition for an upstream of which no answer is of use while the others
	// are sound. A share that is less than fewFailures above the mean of the service says
	// nothing: one failure among the latest requests already reaches half of it.
	failureCost = 3.0
	fewFailures = 0.2
	// regionRoundTrip is the time to another region and back, which the hold does not contain.
	regionRoundTrip = 25 * time.Millisecond
	// spreadCost is the range of a random addition: entries that know the same should not
	// all choose the same upstream.
	spreadCost = 0.04
	// knowledgeAge is the age at which what is known of an upstream no longer counts. Until
	// it is asked again, it is taken for an average one.
	knowledgeAge = 4 * time.Second
	// defaultTarget stands for the latency target of routes that have none.
	defaultTarget = time.Second
	// unknownHold is the time of a request of which no upstream has told anything, as a share
	// of the latency target.
	unknownHold = 0.3
)

// hold is how long an upstream takes for a request of a route, with the time at which it was
// reported on the steady scale.
type hold struct {
	time time.Duration
	at   int64
}

// Condition is what the gatekeeper of an upstream reports with each answer.
type Condition struct {
	InFlight int
	Limit    int
	// Wait is how long a new request of the route would wait for a slot, Hold how long it
	// would occupy one; 0 if unknown.
	Wait time.Duration
	Hold time.Duration
	// Failures is the share of requests that came to nothing lately, from 0 to 1.
	Failures float64
}

// ReportCondition notes what a gatekeeper reported about its upstream for a route.
func (b *Balancer) ReportCondition(now time.Time, choice Choice, route core.RouteName, condition Condition) {
	u := choice.upstream
	u.report(now, condition.InFlight, condition.Limit)
	u.failures.Store(math.Float64bits(condition.Failures))
	u.freeAt.Store(steady(now.Add(condition.Wait)))
	if condition.Hold <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.holds == nil {
		u.holds = map[core.RouteName]hold{}
	}
	u.holds[route] = hold{
		time: condition.Hold,
		at:   steady(now),
	}
}

// holdOf returns the time that a route takes, ok is false if it is not known.
func (u *upstream) holdOf(now time.Time, route core.RouteName) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known, ok := u.holds[route]
	if !ok || steady(now)-known.at > int64(knowledgeAge) {
		return 0, false
	}
	return known.time, true
}

// failureShare returns the share of requests that came to nothing lately.
func (u *upstream) failureShare(now time.Time) float64 {
	if steady(now)-u.loadAt.Load() > int64(knowledgeAge) {
		return 0
	}
	return math.Float64frombits(u.failures.Load())
}

// candidate is an upstream that may get the request.
type candidate struct {
	tier     *tier
	upstream *upstream
	hold     time.Duration
	isKnown  bool
}

// ChooseByCost returns the upstream with the least cost for one attempt; ok is false if there
// is none. Upstreams that were full just now come last; those that could serve nobody are left
// out for a while.
func (b *Balancer) ChooseByCost(now time.Time, query Query) (choice Choice, ok bool) {
	g := b.group(query)
	for _, includesPassed := range []bool{false, true} {
		candidates := b.candidates(now, query, g, includesPassed)
		if best := b.cheapest(now, query, candidates); best != nil {
			choice = begin(best.upstream, best.tier.distance == otherRegion)
			choice.HasRoom = !best.upstream.isFull(now, g.slots)
			choice.usual = max(best.hold, leastUsual)
			choice.expected = best.upstream.asked(now, choice.usual)
			return choice, true
		}
	}
	return Choice{}, false
}

// candidates returns the upstreams that may get the request.
func (b *Balancer) candidates(now time.Time, query Query, g *group, includesPassed bool) []candidate {
	var found []candidate
	for i := range g.alive {
		t := &g.alive[i]
		if !query.Homes.Allows(t.region) || t.distance == otherRegion && !b.budget.has(now, b.rate(query), query.Bytes+query.Announced) {
			continue
		}
		for _, u := range t.upstreams {
			if slices.Contains(query.Tried, u.host.Name) || !u.mayTry(now, includesPassed) {
				continue
			}
			c := candidate{
				tier:     t,
				upstream: u,
			}
			c.hold, c.isKnown = u.holdOf(now, query.Route)
			found = append(found, c)
		}
	}
	return found
}

// cheapest returns the candidate with the least cost, nil if there is none. Its bytes are
// charged if it is in another region.
func (b *Balancer) cheapest(now time.Time, query Query, candidates []candidate) *candidate {
	usual := usualHold(query, candidates)
	failures := meanFailures(now, candidates)
	var best *candidate
	var least float64
	for i := range candidates {
		c := &candidates[i]
		if !c.isKnown {
			c.hold = usual
		}
		cost := b.cost(now, query, c, failures)
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	if best != nil && best.tier.distance == otherRegion {
		b.budget.spend(now, query.Bytes)
	}
	return best
}

// usualHold returns the mean of what the candidates told.
func usualHold(query Query, candidates []candidate) time.Duration {
	var sum time.Duration
	known := 0
	for _, c := range candidates {
		if c.isKnown {
			sum += c.hold
			known++
		}
	}
	if known == 0 {
		return time.Duration(unknownHold * float64(query.target()))
	}
	return sum / time.Duration(known)
}

// meanFailures returns the mean share of failures. What fails everywhere, such as a service that
// all upstreams call, is no reason to leave the own availability zone or region.
func meanFailures(now time.Time, candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.upstream.failureShare(now)
	}
	return sum / float64(len(candidates))
}

func (q *Query) target() time.Duration {
	if q.Target <= 0 {
		return defaultTarget
	}
	return q.Target
}

// cost returns the cost of a candidate, given the mean share of failures.
func (b *Balancer) cost(now time.Time, query Query, c *candidate, failures float64) float64 {
	bytes := float64(query.Bytes + query.Announced)
	expected := c.hold
	inFlight, limit := c.upstream.use(now, 1)
	use := inFlight / limit
	share := failureCost * max(c.upstream.failureShare(now)-failures-fewFailures, 0) / (1 - fewFailures)
	if c.upstream.isSilent(now) {
		share += silentCost
	}
	switch c.tier.distance {
	case sameRegion:
		share += otherZoneCost + bytes/otherZoneBytes
	case otherRegion:
		share += otherRegionCost + bytes/otherRegionBytes
		expected += regionRoundTrip
	}
	share += fullCost * min(use, 1) * min(use, 1)
	if use > 1 {
		share += surplusCost * (use - 1)
	}
	wait := time.Duration(max(use-1, 0) * float64(c.hold))
	expected += max(wait, time.Duration(c.upstream.freeAt.Load()-steady(now)))
	used := expected.Seconds() / query.target().Seconds()
	share += timeCost*used + hurryCost*max(used-comfortable, 0)
	share += c.upstream.penalty(now)
	return share + spreadCost*float64(b.config.Random()>>11)/(1<<53)
}

// isFull tells whether one more request exceeds what the upstream is known to bear.
func (u *upstream) isFull(now time.Time, slots int) bool {
	inFlight, limit := u.use(now, slots)
	return inFlight > limit || u.freeAt.Load() > steady(now)
}
