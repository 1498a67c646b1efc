package admit

import (
	"slices"
	"time"

	"verbenaway/core"
)

// rankOf returns the place of a route's requests in the queue, lower first.
func rankOf(route core.RouteSpec) int {
	rank := 2 * route.Priority
	if route.Class != core.ClassLookup {
		rank++
	}
	return rank
}

// mayRun tells whether a slot is free for the class. Bulk leaves the reserved slots free,
// but may always use one: an upstream with bulk requests only has to get warm too.
func (c *Controller) mayRun(now time.Time, class core.RequestClass) bool {
	limit := c.limit()
	if c.inFlight >= limit || !c.mayBegin(now) {
		return false
	}
	return class != core.ClassBulk || c.bulk < max(1, limit-c.service.ReservedSlots)
}

// ahead returns the number of waiting requests that go before a new one of a rank.
func (c *Controller) ahead(rank int) int {
	i, _ := slices.BinarySearchFunc(c.queue, rank, func(ticket *Ticket, rank int) int {
		if ticket.rank <= rank {
			return -1
		}
		return 1
	})
	return i
}

// mayWait tells whether a request that cannot run at once may wait. Where the time of full
// use is known, a request that would miss it is refused at once: the slot serves another one
// in time, and the caller can come back.
func (c *Controller) mayWait(now time.Time, ticket *Ticket) bool {
	request := &ticket.request
	if request.NoWait || ticket.class == core.ClassBulk {
		return false
	}
	if request.Target.IsZero() {
		length := c.config.QueueLength
		if length == 0 {
			length = c.service.Slots
		}
		return c.waiting() < length
	}
	hold := time.Duration(holdMargin * float64(c.holds.of(request.Route)))
	expected := c.expectedWait(now, ticket) + hold
	return !now.Add(expected).After(c.latest(now, ticket))
}

// holdMargin is how much longer than usual a request may take and still be answered in time
// after its wait; in an overload a longer queue would make most answers late.
const holdMargin = 1.5

// urgentPatience is the share of the time left that short look-ups may take behind which others
// of the service rank. They wait at the head of the queue, and refusing one rather than answering
// it late may make the work of a caller in vain that itself holds a slot elsewhere. Orders and
// uploads come from callers that can return: if they waited as long, all of them would be late in
// an overload, and no more would be served.
const urgentPatience = 0.7

// latest returns when a request has to be answered for its wait to make sense.
func (c *Controller) latest(now time.Time, ticket *Ticket) time.Time {
	target := ticket.request.Target
	if ticket.rank >= c.lastRank || ticket.class != core.ClassLookup {
		return target
	}
	left := time.Duration(urgentPatience * float64(ticket.request.Deadline.Sub(now)))
	if patient := now.Add(left); patient.After(target) {
		return patient
	}
	return target
}

// lastRankOf returns the highest rank of the routes that lead to a service.
func lastRankOf(snapshot *core.Snapshot, service core.ServiceName) int {
	last := 0
	for _, route := range snapshot.Routes {
		if leadsTo(route, service) {
			last = max(last, rankOf(route))
		}
	}
	return last
}

func leadsTo(route core.RouteSpec, service core.ServiceName) bool {
	return route.Service == service || slices.ContainsFunc(route.Split, func(part core.SplitSpec) bool {
		return part.Service == service
	})
}

// unknownHold is the share of its latency target for which a request is expected to hold a
// slot before any request has ended.
const unknownHold = 0.3

// expectedWait estimates how long a new request will wait.
func (c *Controller) expectedWait(now time.Time, ticket *Ticket) time.Duration {
	hold := c.holds.all
	if hold == 0 && !ticket.request.Target.IsZero() {
		hold = time.Duration(unknownHold * float64(ticket.request.Target.Sub(now)))
	}
	return c.waitFor(now, ticket.rank, hold)
}

// waitFor returns how long a new request of a rank will wait if each holds a slot for a time.
func (c *Controller) waitFor(now time.Time, rank int, hold time.Duration) time.Duration {
	ahead := time.Duration(c.ahead(rank))
	var wait time.Duration
	if free := c.limit() - c.inFlight; free <= 0 {
		wait = (ahead + 1) * hold / time.Duration(max(c.limit(), 1))
	}
	if c.isCold(now) {
		perSecond := c.coldPerSecond()
		begin := ahead * time.Second / time.Duration(perSecond)
		if c.pace.left(now, perSecond) == 0 {
			begin += max(c.pace.next(perSecond).Sub(now), 0)
		}
		wait = max(wait, begin)
	}
	return wait
}

// busyKind returns the kind of refusal for a request that found no slot.
func (c *Controller) busyKind(now time.Time) core.Kind {
	if c.isCold(now) || !c.config.IsRegistered && c.ramp.limit() < c.service.Slots {
		return core.Cold
	}
	return core.Overloaded
}

func (c *Controller) start(now time.Time, ticket *Ticket) {
	ticket.state = ticketRunning
	ticket.epoch = c.ramp.epoch
	ticket.doubts = c.ramp.doubts
	ticket.begun = now
	c.inFlight++
	if c.service.ColdRate > 0 {
		c.pace.take(now, c.coldPerSecond())
	}
	if ticket.class == core.ClassBulk {
		c.bulk++
	}
}

func (c *Controller) enqueue(now time.Time, ticket *Ticket) Decision {
	ticket.state = ticketWaiting
	ticket.giveUp = c.giveUpAt(now, ticket)
	if ticket.request.Deadline.Before(ticket.giveUp) {
		ticket.giveUp = ticket.request.Deadline
	}
	c.queue = slices.Insert(c.queue, c.ahead(ticket.rank), ticket)
	return Decision{
		Wait:   true,
		GiveUp: ticket.giveUp,
	}
}

// giveUpAt returns the time at which waiting stops to make sense. A request that was accepted
// because it would be answered in time is rather answered late than refused late.
func (c *Controller) giveUpAt(now time.Time, ticket *Ticket) time.Time {
	if ticket.request.Target.IsZero() {
		return now.Add(c.config.MaxWait)
	}
	return ticket.request.Deadline.Add(-c.holds.of(ticket.request.Route))
}

func (c *Controller) waiting() int {
	return len(c.queue)
}

func (c *Controller) leaveQueue(ticket *Ticket) {
	ticket.state = ticketDone
	release(ticket.routeLimits)
	release(ticket.tenantLimits)
}

// refuseWaiting removes the waiting requests for which the rule returns a kind.
func (c *Controller) refuseWaiting(rule func(*Ticket) (core.Kind, string)) {
	c.queue = slices.DeleteFunc(c.queue, func(ticket *Ticket) bool {
		kind, detail := rule(ticket)
		if kind == "" {
			return false
		}
		c.leaveQueue(ticket)
		c.wakes = append(c.wakes, Wake{
			Ticket: ticket,
			Kind:   kind,
			Detail: detail,
		})
		return true
	})
}

// grant gives free slots to waiting requests in the order of the queue, and refuses those
// whose time in the queue is over.
func (c *Controller) grant(now time.Time) {
	for c.waiting() > 0 && c.inFlight < c.limit() && c.mayBegin(now) {
		ticket := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		wake := Wake{
			Ticket: ticket,
		}
		switch {
		case !now.Before(ticket.request.Deadline):
			wake.Kind, wake.Detail = core.DeadlineBeforeRun, "the deadline passed in the queue"
			c.leaveQueue(ticket)
		case !now.Before(ticket.giveUp):
			wake.Kind, wake.Detail = c.busyKind(now), "no slot became free in time"
			c.leaveQueue(ticket)
		default:
			c.start(now, ticket)
		}
		c.wakes = append(c.wakes, wake)
	}
}
