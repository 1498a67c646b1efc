package route

import (
	"math"
	"slices"
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
	duration   time.Duration
	reportedAt int64
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
}

// RecordLoadReport records the load report of a gatekeeper for a route.
func (b *Balancer) RecordLoadReport(now time.Time, choice Choice, route core.RouteName, report LoadReport) {
	u := choice.upstream
	u.report(now, report.InFlight, report.Limit)
	u.failureRatioBits.Store(math.Float64bits(report.FailureRatio))
	u.slotFreeAt.Store(monotonicNanos(now.Add(report.QueueTime)))
	if report.ServiceTime <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.serviceTimes == nil {
		u.serviceTimes = map[core.RouteName]serviceTime{}
	}
	u.serviceTimes[route] = serviceTime{
		duration:   report.ServiceTime,
		reportedAt: monotonicNanos(now),
	}
}

// serviceTimeOf returns the service time of a route; ok is false without a recent report.
func (u *upstream) serviceTimeOf(now time.Time, route core.RouteName) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known, ok := u.serviceTimes[route]
	if !ok || monotonicNanos(now)-known.reportedAt > int64(maxReportAge) {
		return 0, false
	}
	return known.duration, true
}

// failureRatio returns the share of recent requests that failed, 0 without a recent report.
func (u *upstream) failureRatio(now time.Time) float64 {
	if monotonicNanos(now)-u.loadAt.Load() > int64(maxReportAge) {
		return 0
	}
	return math.Float64frombits(u.failureRatioBits.Load())
}

// candidate is an upstream that is eligible for the request.
type candidate struct {
	tier        *tier
	upstream    *upstream
	serviceTime time.Duration
	// isReported is false if serviceTime is an estimate.
	isReported bool
}

// ChooseByCost returns the upstream with the lowest cost for one attempt; ok is false if there
// is none. Upstreams in backoff come last; those in backoff because they were unavailable are left
// out.
func (b *Balancer) ChooseByCost(now time.Time, query Query) (choice Choice, ok bool) {
	g := b.group(query)
	for _, includeBackoff := range []bool{false, true} {
		candidates := b.candidates(now, query, g, includeBackoff)
		if best := b.cheapest(now, query, candidates); best != nil {
			choice = newChoice(best.upstream, best.tier.distance == otherRegion)
			choice.HasFreeSlot = !best.upstream.isFull(now, g.slots)
			choice.expectedLatency = max(best.serviceTime, minExpectedLatency)
			choice.answerRate = best.upstream.sent(now, choice.expectedLatency)
			return choice, true
		}
	}
	return Choice{}, false
}

// candidates returns the upstreams that are eligible for the request.
func (b *Balancer) candidates(now time.Time, query Query, g *group, includeBackoff bool) []candidate {
	var found []candidate
	for i := range g.alive {
		t := &g.alive[i]
		if !query.HomeRegions.Allows(t.region) || t.distance == otherRegion && !b.budget.canTake(now, b.crossRegionRate(query), query.Bytes+query.DeclaredBytes) {
			continue
		}
		for _, u := range t.upstreams {
			if slices.Contains(query.Tried, u.host.Name) || !u.mayTry(now, includeBackoff) {
				continue
			}
			c := candidate{
				tier:     t,
				upstream: u,
			}
			c.serviceTime, c.isReported = u.serviceTimeOf(now, query.Route)
			found = append(found, c)
		}
	}
	return found
}

// cheapest returns the candidate with the lowest cost, nil if there is none. The bytes of the
// request are charged if it is in another region.
func (b *Balancer) cheapest(now time.Time, query Query, candidates []candidate) *candidate {
	meanTime := meanServiceTime(query, candidates)
	meanFailures := meanFailureRatio(now, candidates)
	answerBytes := b.answers.of(query.Route)
	var best *candidate
	var least float64
	for i := range candidates {
		c := &candidates[i]
		if !c.isReported {
			c.serviceTime = meanTime
		}
		cost := b.cost(now, query, c, answerBytes, meanFailures)
		if best == nil || cost < least {
			best, least = c, cost
		}
	}
	if best != nil && best.tier.distance == otherRegion {
		b.budget.charge(now, query.Bytes)
	}
	return best
}

// meanServiceTime returns the mean of the service times that the candidates reported.
func meanServiceTime(query Query, candidates []candidate) time.Duration {
	var sum time.Duration
	reported := 0
	for _, c := range candidates {
		if c.isReported {
			sum += c.serviceTime
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
func meanFailureRatio(now time.Time, candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.upstream.failureRatio(now)
	}
	return sum / float64(len(candidates))
}

func (q *Query) target() time.Duration {
	if q.Target <= 0 {
		return defaultLatencyTarget
	}
	return q.Target
}

// cost returns the cost of a candidate, given the expected size of the answer and the mean failure ratio.
func (b *Balancer) cost(now time.Time, query Query, c *candidate, answerBytes int64, meanFailures float64) float64 {
	bytes := float64(query.Bytes + query.DeclaredBytes + answerBytes)
	latency := c.serviceTime
	inFlight, limit := c.upstream.projectedLoad(now, 1)
	utilization := inFlight / limit
	cost := failureCost * max(c.upstream.failureRatio(now)-meanFailures-failureTolerance, 0) / (1 - failureTolerance)
	if c.upstream.isUnresponsive(now) {
		cost += unresponsiveCost
	}
	switch c.tier.distance {
	case sameRegion:
		cost += otherZoneCost + bytes/otherZoneBytes
	case otherRegion:
		cost += otherRegionCost + bytes/otherRegionBytes
		latency += regionRoundTrip
	}
	cost += utilizationCost * min(utilization, 1) * min(utilization, 1)
	if utilization > 1 {
		cost += queueCost * (utilization - 1)
	}
	wait := time.Duration(max(utilization-1, 0) * float64(c.serviceTime))
	latency += max(wait, time.Duration(c.upstream.slotFreeAt.Load()-monotonicNanos(now)))
	targetShare := latency.Seconds() / query.target().Seconds()
	cost += latencyCost*targetShare + lateCost*max(targetShare-lateThreshold, 0)
	cost += c.upstream.penalty(now)
	return cost + costJitter*float64(b.config.Random()>>11)/(1<<53)
}

// isFull reports whether one more request exceeds the known limit of the upstream or would have to
// wait for a slot.
func (u *upstream) isFull(now time.Time, slots int) bool {
	inFlight, limit := u.projectedLoad(now, slots)
	return inFlight > limit || u.slotFreeAt.Load() > monotonicNanos(now)
}
