package admit

import (
	"time"

	"verbenaway/core"
)

// Upstream is the record of the upstream on the own host, for platforms on which upstreams
// register themselves.
type Upstream struct {
	// Instance changes when another process takes the address.
	Instance string
	Service  core.ServiceName
	// Slots is at least 1.
	Slots int
	// ColdUntil is the end of the cold start, zero or past if there is none.
	ColdUntil time.Time
	IsLeaving bool
}

// UpstreamOf returns the record of a member.
func UpstreamOf(member core.Member) Upstream {
	return Upstream{
		Instance:  member.Host.Instance,
		Service:   member.Host.Service,
		Slots:     max(member.Slots, 1),
		ColdUntil: member.ColdUntil,
		IsLeaving: member.State == core.MemberLeaving,
	}
}

// Adopt takes over the record of the upstream, nil if there is none. Waiting requests that it
// no longer allows are refused. The result is valid until the next call.
func (c *Controller) Adopt(now time.Time, upstream *Upstream) []Wake {
	c.wakes = c.wakes[:0]
	before := c.upstream
	if before != nil && upstream != nil && *before == *upstream {
		return nil
	}
	c.upstream = nil
	if upstream != nil {
		record := *upstream
		c.upstream = &record
	}
	if before == nil || upstream == nil || before.Instance != upstream.Instance {
		c.holds.reset()
		c.doubtUntil = time.Time{}
	}
	if c.snapshot == nil {
		return nil
	}
	c.service = c.snapshot.Services[c.serviceName()]
	c.lastRank = lastRankOf(c.snapshot, c.serviceName())
	c.refuseWaiting(func(ticket *Ticket) (core.Kind, string) {
		_, kind, detail := c.check(&ticket.request)
		return kind, detail
	})
	c.grant(now)
	return c.wakes
}

// DoubtUntil treats the upstream as cold until a time: it may have restarted unseen. A zero
// time ends the doubt.
func (c *Controller) DoubtUntil(until time.Time) {
	c.doubtUntil = until
}

// serviceName returns the service that the upstream carries.
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

// isCold tells whether the rate of a cold start holds.
func (c *Controller) isCold(now time.Time) bool {
	if c.upstream == nil || c.service.ColdRate <= 0 {
		return false
	}
	return now.Before(c.upstream.ColdUntil) || now.Before(c.doubtUntil)
}

// coldPerSecond returns how many requests may begin within a second of a cold start.
func (c *Controller) coldPerSecond() int {
	return max(int(c.service.ColdRate), 1)
}

// mayBegin tells whether the rate of a cold start, if there is one, allows a request now.
func (c *Controller) mayBegin(now time.Time) bool {
	return !c.isCold(now) || c.pace.allows(now, c.coldPerSecond())
}

// NextGrant returns when a waiting request may begin without another one finishing, zero if
// that does not depend on the time. Grant is to be called then.
func (c *Controller) NextGrant(now time.Time) time.Time {
	if c.waiting() == 0 || c.inFlight >= c.limit() || !c.isCold(now) {
		return time.Time{}
	}
	return c.pace.next(c.coldPerSecond())
}

// Grant lets waiting requests begin if they may. The result is valid until the next call.
func (c *Controller) Grant(now time.Time) []Wake {
	c.wakes = c.wakes[:0]
	c.grant(now)
	return c.wakes
}

// Load returns the requests at the upstream and before it, and how many of them it bears at
// present, as other daemons are to see it.
func (c *Controller) Load(now time.Time) (inFlight, limit int) {
	inFlight = c.inFlight + c.waiting()
	limit = c.limit()
	if c.isCold(now) {
		limit = min(limit, inFlight+c.pace.left(now, c.coldPerSecond()))
	}
	return inFlight, limit
}

// Outlook is what a new request of a route can expect.
type Outlook struct {
	// Wait is the time until it begins, Hold the time for which it holds a slot.
	Wait time.Duration
	Hold time.Duration
	// Failures is the share of the latest requests that came to nothing.
	Failures float64
}

// Outlook returns what a new request of a route can expect.
func (c *Controller) Outlook(now time.Time, route core.RouteName) Outlook {
	spec := c.snapshot.Routes[route]
	hold := c.holds.of(route)
	usual := c.holds.all
	if usual == 0 {
		usual = time.Duration(unknownHold * float64(spec.LatencyTarget))
	}
	return Outlook{
		Wait:     c.waitFor(now, rankOf(spec), usual),
		Hold:     hold,
		Failures: c.holds.failures,
	}
}
