package route

import (
	"maps"
	"math"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

// Weights of the cost of an upstream for a request, in shares of the request's latency target.
// Expected latency up to lateThreshold costs little, since the answer arrives in time anyway;
// above it each share costs several times as much. The other terms are how much worse a nearer
// or healthier upstream may be before another one is preferred.
const (
	latencyCost   = 0.25
	lateThreshold = 0.55
	lateCost      = 2.0
	// utilizationCost is added for an upstream whose slots are all in use, and less if only some
	// are: many upstreams slow down before they are full. queueCost is multiplied by the ratio of
	// waiting requests to slots.
	utilizationCost = 0.3
	queueCost       = 0.75
	// otherZoneCost and otherRegionCost stand for the longer network path and the paid link.
	otherZoneCost   = 0.1
	otherRegionCost = 0.5
	// otherZoneBytes and otherRegionBytes are the sizes of request and expected answer together whose
	// transfer costs as much as a whole latency target.
	otherZoneBytes   = 240 << 10
	otherRegionBytes = 120 << 10
	// failureCost is added for an upstream that fails all requests while the others are healthy.
	// An excess over the mean failure ratio of less than failureTolerance is ignored: a single
	// failure among the latest requests already reaches half of it.
	failureCost      = 3.0
	failureTolerance = 0.2
	// regionRoundTrip is the round-trip time to another region, which the reported service time
	// does not include.
	regionRoundTrip = 25 * time.Millisecond
	// costJitter is the range of a random term, so that entries with equal information do not
	// all choose the same upstream.
	costJitter = 0.04
	// maxReportAge is the age at which a reported service time or failure ratio no longer counts.
	// Until the next report the upstream is treated as an average one.
	maxReportAge = 4 * time.Second
	// defaultLatencyTarget applies to routes without a latency target.
	defaultLatencyTarget = time.Second
	// defaultServiceTimeShare is the service time of a route that no upstream has reported, as
	// a share of the latency target.
	defaultServiceTimeShare = 0.3
)

// serviceTime is how long a request of a route occupies a slot of an upstream, with the time of
// the report on the monotonic scale.
type serviceTime struct {
	duration   atomic.Int64
	reportedAt atomic.Int64
}

// LoadReport is what the gatekeeper of an upstream reports with each answer.
type LoadReport struct {
	InFlight int
	Limit    int
	// QueueTime is the time that a new request of the route would wait for a slot, ServiceTime the
	// time that it would occupy one; 0 if unknown.
	QueueTime   time.Duration
	ServiceTime time.Duration
	// FailureRatio is the share of recent requests that failed, from 0 to 1.
	FailureRatio float64
	// Slowness is the factor by which work takes longer at this moment than ServiceTime, 0 if unknown.
	Slowness float64
	// LinkRate is the speed of the host's link in bytes per second, 0 if unknown. LinkWait is the time
	// that an answer would wait for the link.
	LinkRate int64
	LinkWait time.Duration
}

// RecordLoadReport records the load report of a gatekeeper for a route.
func (b *Balancer) RecordLoadReport(now time.Time, choice Choice, route core.RouteName, report LoadReport) {
	u, at := choice.upstream, momentOf(now)
	u.report(at, report.InFlight, report.Limit)
	u.failureRatioBits.Store(math.Float64bits(report.FailureRatio))
	u.slotFreeAt.Store(int64(at.add(report.QueueTime)))
	u.slownessBits.Store(math.Float64bits(report.Slowness))
	u.linkRate.Store(report.LinkRate)
	u.linkFreeAt.Store(int64(at.add(report.LinkWait)))
	if report.ServiceTime <= 0 {
		return
	}
	u.recordUsualSlowness(at, b.serviceTimes.add(route, report.ServiceTime))
	known := u.serviceTimeFor(route)
	known.duration.Store(int64(report.ServiceTime))
	known.reportedAt.Store(int64(at))
}

// serviceTimeFor returns the service time of a route, which it adds if there is none. The map is copied
// on write, so that it can be read without a lock.
func (u *upstream) serviceTimeFor(route core.RouteName) *serviceTime {
	if times := u.serviceTimes.Load(); times != nil && (*times)[route] != nil {
		return (*times)[route]
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	next := map[core.RouteName]*serviceTime{}
	if times := u.serviceTimes.Load(); times != nil {
		if known := (*times)[route]; known != nil {
			return known
		}
		maps.Copy(next, *times)
	}
	next[route] = &serviceTime{}
	u.serviceTimes.Store(&next)
	return next[route]
}

// serviceTimeOf returns the service time of a route; ok is false without a recent report.
func (u *upstream) serviceTimeOf(now moment, route core.RouteName) (time.Duration, bool) {
	times := u.serviceTimes.Load()
	if times == nil {
		return 0, false
	}
	known := (*times)[route]
	if known == nil || int64(now)-known.reportedAt.Load() > int64(maxReportAge) {
		return 0, false
	}
	return time.Duration(known.duration.Load()), true
}

// failureRatio returns the share of recent requests that failed, 0 without a recent report.
func (u *upstream) failureRatio(now moment) float64 {
	if int64(now)-u.loadAt.Load() > int64(maxReportAge) {
		return 0
	}
	return math.Float64frombits(u.failureRatioBits.Load())
}

// candidate is an upstream that is eligible for the request.
type candidate struct {
	tier     *tier
	upstream *upstream
	// reportedTime is the service time that was reported, if isReported is true.
	reportedTime time.Duration
	isReported   bool
	// failureRatio is the share of recent requests that failed, 0 if unknown.
	failureRatio float64

	// Set by cheapest: serviceTime is the expected one, transfer the time that request and answer take on
	// the links, latency the time to the whole answer.
	serviceTime time.Duration
	transfer    time.Duration
	latency     time.Duration
	cost        float64
}

// ChooseByCost returns the upstream with the lowest cost for one attempt; ok is false if there
// is none. Upstreams in backoff come last; those in backoff because they were unavailable are left
// out.
func (b *Balancer) ChooseByCost(now time.Time, query Query) (choice Choice, ok bool) {
	g := b.group(&query)
	at := momentOf(now)
	var space [maxCandidates]candidate
	for _, includeBackoff := range [...]bool{false, true} {
		candidates := b.candidates(at, &query, g.near(), includeBackoff, space[:0])
		best, local := b.cheapest(at, &query, candidates)
		if (best == nil || best.cost >= otherRegionCost) && b.mayLeaveRegion(now, &query, g) {
			// No upstream of another region costs less than otherRegionCost.
			candidates = b.candidates(at, &query, g.far(), includeBackoff, candidates)
			best, local = b.cheapest(at, &query, candidates)
		}
		if best == nil {
			continue
		}
		if best.tier.distance == otherRegion {
			b.budget.charge(now, query.Bytes)
		}
		choice = newChoice(best.upstream, best.tier.distance == otherRegion)
		choice.HasFreeSlot = !best.upstream.isFull(at, g.slots)
		choice.expectedLatency = max(best.serviceTime+best.transfer, minExpectedLatency)
		choice.latency, choice.isAway = best.latency, best.tier.distance != sameZone
		if choice.isAway && local != nil {
			choice.localLatency = local.latency
		}
		choice.answerRate = best.upstream.sent(at, choice.expectedLatency)
		return choice, true
	}
	return Choice{}, false
}

// near returns the tiers of the local region, far those of other regions.
func (g *group) near() []tier {
	return g.alive[:g.nearTiers]
}

func (g *group) far() []tier {
	return g.alive[g.nearTiers:]
}

// mayLeaveRegion reports whether there are upstreams in other regions and the budget for a request to one.
func (b *Balancer) mayLeaveRegion(now time.Time, query *Query, g *group) bool {
	return g.nearTiers < len(g.alive) && b.budget.canTake(now, b.crossRegionRate(query), query.Bytes+query.DeclaredBytes)
}

// candidates appends upstreams of the tiers to compare for the request: for each tier some of the subset;
// if these are all full, also those by which the subset then grows; and all if none of the tier is
// eligible otherwise.
func (b *Balancer) candidates(now moment, query *Query, tiers []tier, includeBackoff bool, found []candidate) []candidate {
	for i := range tiers {
		t := &tiers[i]
		if !query.HomeRegions.Allows(t.region) {
			continue
		}
		draws := remoteDraws
		if t.distance == sameZone {
			draws = localDraws
		}
		first := len(found)
		found = b.sample(now, query, t, t.subset(now), draws, includeBackoff, found)
		if !hasFree(now, query, found[first:]) {
			found = b.scan(now, query, t, t.grow(now), includeBackoff, found)
		}
		if len(found) == first {
			found = b.scan(now, query, t, t.upstreams, includeBackoff, found)
		}
	}
	return found
}

// hasFree reports whether a candidate seems to have a free slot.
func hasFree(now moment, query *Query, candidates []candidate) bool {
	for i := range candidates {
		if inFlight, limit := candidates[i].upstream.expectedLoad(now, query.Service.Slots); inFlight <= limit {
			return true
		}
	}
	return false
}

// cheapest returns the candidate with the lowest cost, and the one in the local availability zone; nil
// if there is none.
func (b *Balancer) cheapest(now moment, query *Query, candidates []candidate) (best, local *candidate) {
	meanTime := meanServiceTime(query, candidates)
	meanFailures := meanFailureRatio(candidates)
	bytes := query.Bytes + query.DeclaredBytes + b.answers.of(query.Route)
	for i := range candidates {
		c := &candidates[i]
		c.serviceTime = c.reportedTime
		if !c.isReported {
			c.serviceTime = time.Duration(float64(meanTime) * c.upstream.usualSlowness(now))
		}
		c.serviceTime = time.Duration(float64(c.serviceTime) * c.upstream.slowness(now))
		if c.upstream.host.Name != b.config.Self.Name {
			c.transfer = c.upstream.transferTime(now, bytes, b.config.LinkRate)
		}
		c.cost = b.cost(now, query, c, bytes, meanFailures)
		if best == nil || c.cost < best.cost {
			best = c
		}
		if c.tier.distance == sameZone && (local == nil || c.cost < local.cost) {
			local = c
		}
	}
	return best, local
}

// meanServiceTime returns the mean of the service times that the candidates reported.
func meanServiceTime(query *Query, candidates []candidate) time.Duration {
	var sum time.Duration
	reported := 0
	for i := range candidates {
		if c := &candidates[i]; c.isReported {
			sum += c.reportedTime
			reported++
		}
	}
	if reported == 0 {
		return time.Duration(defaultServiceTimeShare * float64(query.target()))
	}
	return sum / time.Duration(reported)
}

// meanFailureRatio returns the mean failure ratio. Failures that all upstreams share, such as
// those of a service that each of them calls, are no reason to leave the local availability zone
// or region.
func meanFailureRatio(candidates []candidate) float64 {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].failureRatio
	}
	return sum / float64(len(candidates))
}

func (q *Query) target() time.Duration {
	if q.Target <= 0 {
		return defaultLatencyTarget
	}
	return q.Target
}

// cost returns the cost of a candidate, given the expected size of request and answer and the mean
// failure ratio.
func (b *Balancer) cost(now moment, query *Query, c *candidate, bytes int64, meanFailures float64) float64 {
	latency := c.serviceTime + c.transfer
	inFlight, limit := c.upstream.expectedLoad(now, 1)
	utilization := inFlight / limit
	cost := failureCost * max(c.failureRatio-meanFailures-failureTolerance, 0) / (1 - failureTolerance)
	if c.upstream.isUnresponsive(now) {
		cost += unresponsiveCost
	}
	switch c.tier.distance {
	case sameRegion:
		cost += otherZoneCost + float64(bytes)/otherZoneBytes
	case otherRegion:
		cost += otherRegionCost + float64(bytes)/otherRegionBytes
		latency += regionRoundTrip
	}
	cost += utilizationCost * min(utilization, 1) * min(utilization, 1)
	if utilization > 1 {
		cost += queueCost * (utilization - 1)
	}
	wait := time.Duration(max(utilization-1, 0) * float64(c.serviceTime))
	latency += max(wait, time.Duration(c.upstream.slotFreeAt.Load()-int64(now)))
	c.latency = latency
	targetShare := latency.Seconds() / query.target().Seconds()
	cost += latencyCost*targetShare + lateCost*max(targetShare-lateThreshold, 0)
	cost += c.upstream.penalty(now)
	return cost + costJitter*float64(b.config.Random()>>11)/(1<<53)
}

// isFull reports whether one more request exceeds the known limit of the upstream or would have to
// wait for a slot.
func (u *upstream) isFull(now moment, slots int) bool {
	inFlight, limit := u.projectedLoad(now, slots)
	return inFlight > limit || u.slotFreeAt.Load() > int64(now)
}
