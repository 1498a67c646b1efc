package admit

import (
	"time"

	"verbenaway/core"
)

// Upstream is the registration record of the gatekeeper's upstream, on platforms where upstreams
// register themselves.
type Upstream struct {
	// Instance identifies the process; it changes when another process takes the address.
	Instance string
	Service  core.ServiceName
	// Slots is at least 1.
	Slots int
	// StartedAt is the time of day of its start, zero if unknown.
	StartedAt time.Time
	// ColdUntil is the end of the cold start; zero or a past time means warm.
	ColdUntil time.Time
	IsLeaving bool
}

// RecordLeaving records that a process has said in an answer that it leaves. All waiting and further
// requests to it are refused. The wakes are valid until the next call.
func (c *Controller) RecordLeaving(instance string) (isNew bool, wakes []Wake) {
	c.wakes = c.wakes[:0]
	if c.upstream == nil || c.upstream.Instance != instance || c.leavingInstance == instance {
		return false, nil
	}
	c.leavingInstance = instance
	c.refuseWaiting(func(ticket *Ticket) (core.ErrorKind, string) {
		_, kind, detail := c.check(&ticket.request)
		return kind, detail
	})
	return true, c.wakes
}

// UpstreamOf returns the record of a member.
func UpstreamOf(member core.Member) Upstream {
	return Upstream{
		Instance:  member.Host.Instance,
		Service:   member.Host.Service,
		Slots:     max(member.Slots, 1),
		StartedAt: member.StartedAt,
		ColdUntil: member.ColdUntil,
		IsLeaving: member.State == core.MemberLeaving,
	}
}

// SetUpstream sets the record of the upstream, nil if there is none. Waiting requests that it no
// longer allows are refused. The result is valid until the next call.
func (c *Controller) SetUpstream(now time.Time, upstream *Upstream) []Wake {
	c.wakes = c.wakes[:0]
	before := c.upstream
	if before != nil && upstream != nil && *before == *upstream {
		return nil
	}
	c.upstream = nil
	if upstream != nil {
		record := *upstream
		c.upstream = &record
		c.rateLimit.setInstance(upstream.Instance)
		c.starts.unknownUntil = c.unknownStartsUntil(upstream)
	}
	if before == nil || upstream == nil || before.Instance != upstream.Instance {
		c.serviceTimes.reset()
		c.slowness = slowness{}
		c.assumedColdUntil = time.Time{}
	}
	if c.snapshot == nil {
		return nil
	}
	c.service = c.snapshot.Services[c.serviceName()]
	c.lastClaim = lastClaimOf(c.snapshot, c.serviceName())
	c.refuseWaiting(func(ticket *Ticket) (core.ErrorKind, string) {
		_, kind, detail := c.check(&ticket.request)
		return kind, detail
	})
	c.grant(now)
	return c.wakes
}

// restartTime is less than a daemon takes to end and be started again, together with the time from the
// start of an upstream to the first request for it.
const restartTime = 500 * time.Millisecond

// unknownStartsUntil returns the end of the time in which an earlier process of this daemon may have used
// the rate of a cold start, zero if it cannot have known the upstream.
func (c *Controller) unknownStartsUntil(upstream *Upstream) time.Time {
	if c.config.StartedAt.IsZero() || upstream.StartedAt.After(c.config.StartedAt.Add(-restartTime)) {
		return time.Time{}
	}
	return c.config.StartedAt.Add(coldRateWindow)
}

// AssumeColdUntil treats the upstream as cold until a time, since it may have restarted
// unnoticed. A zero time ends this.
func (c *Controller) AssumeColdUntil(until time.Time) {
	c.assumedColdUntil = until
}

// RecordCold records that an instance said that it stays cold until a time. Its registration may say so
// only later.
func (c *Controller) RecordCold(instance string, until time.Time) {
	if c.upstream != nil && c.upstream.Instance == instance && until.After(c.assumedColdUntil) {
		c.assumedColdUntil = until
	}
}

// MayCheck tells whether a health check may reach the upstream now, and counts it towards the limit that
// the upstream names.
func (c *Controller) MayCheck(now time.Time) bool {
	if !c.rateLimit.allows(now) {
		return false
	}
	c.rateLimit.count(now)
	return true
}

// serviceName returns the service that the upstream provides.
func (c *Controller) serviceName() core.ServiceName {
	if !c.config.IsRegistered {
		return c.config.Self.Service
	}
	if c.upstream == nil {
		return ""
	}
	return c.upstream.Service
}

// limit returns the number of requests that may run at once.
func (c *Controller) limit() int {
	if !c.config.IsRegistered {
		return c.ramp.limit()
	}
	if c.upstream == nil {
		return 0
	}
	return c.upstream.Slots
}

// isCold tells whether the rate limit of a cold start applies.
func (c *Controller) isCold(now time.Time) bool {
	if c.upstream == nil || c.service.ColdRate <= 0 {
		return false
	}
	return now.Before(c.upstream.ColdUntil) || now.Before(c.assumedColdUntil)
}

// coldPerSecond returns how many requests may start within a second of a cold start.
func (c *Controller) coldPerSecond() int {
	return max(int(c.service.ColdRate), 1)
}

// allowsStart tells whether the rate limits of a cold start and of the upstream itself, as far as they
// apply, allow a request now.
func (c *Controller) allowsStart(now time.Time) bool {
	return (!c.isCold(now) || c.starts.allows(now, c.coldPerSecond())) && c.rateLimit.allows(now)
}

// NextGrant returns the time at which the caller has to call Grant, because the rate limits of a
// cold start and of the upstream itself then let a waiting request start, or the link has room for its
// body; zero if no request waits for any of them.
func (c *Controller) NextGrant(now time.Time) time.Time {
	if c.waiting() == 0 || c.inFlight >= c.limit() {
		return time.Time{}
	}
	var next time.Time
	if wait := c.rateLimit.wait(now, 0); wait > 0 {
		next = now.Add(max(wait, minGrantWait))
	}
	if c.isCold(now) {
		if free := c.starts.nextFree(c.coldPerSecond()); free.After(now) && free.After(next) {
			next = free
		}
	}
	if !next.IsZero() {
		return next
	}
	if c.rateLimit.limiter != nil && c.next(now) != nil {
		// The time of the grant has come.
		return now
	}
	return c.link.NextRoom()
}

// Grant starts the waiting requests that now may run. The result is valid until the next call.
func (c *Controller) Grant(now time.Time) []Wake {
	c.wakes = c.wakes[:0]
	c.grant(now)
	return c.wakes
}

// Load returns the load to report to other daemons: the number of requests in flight and in the
// queue, and how many the upstream can take at present.
func (c *Controller) Load(now time.Time) (inFlight, limit int) {
	inFlight = c.inFlight + c.waiting()
	limit = c.limit()
	if c.isCold(now) {
		limit = min(limit, inFlight+c.starts.remaining(now, c.coldPerSecond()))
	}
	if c.rateLimit.limiter != nil {
		limit = min(limit, inFlight+c.rateLimit.remaining(now))
	}
	return inFlight, limit
}

// Estimate holds the expected times of a new request and how likely it is to fail.
type Estimate struct {
	// QueueTime is the time in the queue, ServiceTime the time for which it holds a slot.
	QueueTime   time.Duration
	ServiceTime time.Duration
	// FailureRatio is the share of the latest requests that failed, from 0 to 1.
	FailureRatio float64
	// Slowness is the factor by which work takes longer now than ServiceTime says, 0 if unknown.
	Slowness float64
}

// Estimate returns the estimate for a new request of a route, based on the requests so far.
func (c *Controller) Estimate(now time.Time, route core.RouteName) Estimate {
	spec := c.snapshot.Routes[route]
	serviceTime := c.serviceTimes.of(route)
	claim := c.claimOf(now, &spec, &Request{
		Route:  route,
		Target: now.Add(time.Duration(spec.LatencyTarget)),
	})
	return Estimate{
		QueueTime:    c.queueTime(now, &claim),
		ServiceTime:  serviceTime,
		FailureRatio: c.serviceTimes.failureRatio,
		Slowness:     c.slowness.relative(now),
	}
}
