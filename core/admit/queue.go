package admit

import (
	"slices"
	"time"

	"verbenaway/core"
)

// rankOf returns the rank of a route's requests of a priority in the queue, lower first: by priority,
// and lookups first within a priority.
func rankOf(route core.RouteSpec, priority int) int {
	rank := 2 * priority
	if route.Class != core.ClassLookup {
		rank++
	}
	return rank
}

// canRun tells whether there is a free slot for a request, and room on the link for its body. Bulk
// requests leave the reserved slots free, but may always use one slot: an upstream that gets only bulk
// requests has to warm up too.
func (c *Controller) canRun(now time.Time, ticket *Ticket) bool {
	limit := c.limit()
	if c.inFlight >= limit || !c.allowsStart(now) || !c.link.HasRoom(ticket.request.BodyBytes) {
		return false
	}
	return ticket.class != core.ClassBulk || c.bulkInFlight < max(1, limit-c.service.ReservedSlots)
}

// queuePosition returns how many waiting requests are ahead of a new one of a rank.
func (c *Controller) queuePosition(rank int) int {
	i, _ := slices.BinarySearchFunc(c.queue, rank, func(ticket *Ticket, rank int) int {
		if ticket.rank <= rank {
			return -1
		}
		return 1
	})
	return i
}

// isAheadRunnable tells whether a waiting request that is ahead of a new one can run as soon as the new
// one can.
func (c *Controller) isAheadRunnable(ticket *Ticket) bool {
	for _, waiting := range c.queue[:c.queuePosition(ticket.rank)] {
		if waiting.request.BodyBytes == 0 || ticket.request.BodyBytes > 0 {
			return true
		}
	}
	return false
}

// linkWait returns how long a request waits for room on the link for its body.
func (c *Controller) linkWait(ticket *Ticket) time.Duration {
	if ticket.request.BodyBytes == 0 {
		return 0
	}
	var ahead int64
	for _, waiting := range c.queue[:c.queuePosition(ticket.rank)] {
		ahead += waiting.request.BodyBytes
	}
	return c.link.Wait(ticket.request.BodyBytes, ahead)
}

// canWait tells whether a request that cannot run at once may wait. One whose answer would
// be too late is refused at once: the slot serves another one in time, and the caller can retry.
func (c *Controller) canWait(now time.Time, ticket *Ticket) bool {
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
	serviceTime := time.Duration(serviceTimeMargin * float64(c.serviceTimes.of(request.Route)))
	expected := c.expectedQueueTime(now, ticket) + serviceTime
	return !now.Add(expected).After(c.latestAnswer(now, ticket))
}

// serviceTimeMargin is the multiple of the average service time that has to fit between the
// wait of a request and its target. A smaller value allows a longer queue, which makes most
// answers late in an overload.
const serviceTimeMargin = 1.5

// urgentLookupShare is the share of the time to its deadline within which a lookup may be
// answered, even after its target, if other routes of the service rank behind it. Such lookups
// are short and wait at the head of the queue, and refusing one can waste the work of a caller
// that holds a slot elsewhere. Orders and uploads come from callers that can retry: if they
// waited as long, all of them would be late in an overload and no more would be served.
const urgentLookupShare = 0.7

// latestAnswer returns the time by which a request has to be answered to be worth queueing.
func (c *Controller) latestAnswer(now time.Time, ticket *Ticket) time.Time {
	target := ticket.request.Target
	if ticket.rank >= c.maxRank || ticket.class != core.ClassLookup {
		return target
	}
	left := time.Duration(urgentLookupShare * float64(ticket.request.Deadline.Sub(now)))
	if extended := now.Add(left); extended.After(target) {
		return extended
	}
	return target
}

// maxRankOf returns the highest rank of the routes that map to a service.
func maxRankOf(snapshot *core.Snapshot, service core.ServiceName) int {
	highest := 0
	for _, route := range snapshot.Routes {
		if mapsTo(route, service) {
			highest = max(highest, rankOf(route, route.Priority))
		}
	}
	return highest
}

func mapsTo(route core.RouteSpec, service core.ServiceName) bool {
	return route.Service == service || slices.ContainsFunc(route.Split, func(part core.SplitSpec) bool {
		return part.Service == service
	})
}

// defaultServiceTimeShare is the service time until a first request has finished, as a share of the
// latency target.
const defaultServiceTimeShare = 0.3

// expectedQueueTime estimates the queue time of a new request.
func (c *Controller) expectedQueueTime(now time.Time, ticket *Ticket) time.Duration {
	serviceTime := c.serviceTimes.overall
	if serviceTime == 0 && !ticket.request.Target.IsZero() {
		serviceTime = time.Duration(defaultServiceTimeShare * float64(ticket.request.Target.Sub(now)))
	}
	return max(c.queueTimeForRank(now, ticket.rank, serviceTime), c.linkWait(ticket))
}

// queueTimeForRank returns the queue time of a new request of a rank if each request has the given
// service time.
func (c *Controller) queueTimeForRank(now time.Time, rank int, serviceTime time.Duration) time.Duration {
	ahead := time.Duration(c.queuePosition(rank))
	var wait time.Duration
	if free := c.limit() - c.inFlight; free <= 0 {
		wait = (ahead + 1) * serviceTime / time.Duration(max(c.limit(), 1))
	}
	if c.isCold(now) {
		perSecond := c.coldPerSecond()
		coldWait := ahead * time.Second / time.Duration(perSecond)
		if c.starts.remaining(now, perSecond) == 0 {
			coldWait += max(c.starts.nextFree(perSecond).Sub(now), 0)
		}
		wait = max(wait, coldWait)
	}
	return wait
}

// busyKind returns the kind of refusal for a request that found no slot.
func (c *Controller) busyKind(now time.Time) core.ErrorKind {
	if c.isCold(now) || !c.config.IsRegistered && c.ramp.limit() < c.service.Slots {
		return core.Cold
	}
	return core.Overloaded
}

func (c *Controller) start(now time.Time, ticket *Ticket) {
	ticket.state = ticketRunning
	ticket.epoch = c.ramp.epoch
	ticket.suspicion = c.ramp.suspicion
	ticket.startedAt = now
	if c.inFlight == 0 {
		c.recordAnswerAt(now)
	}
	c.inFlight++
	ticket.arrivingBytes = ticket.request.BodyBytes
	c.link.Begin(ticket.arrivingBytes)
	ticket.answersPerSecond = c.expectedAnswers(ticket.request.Route)
	c.answersPerSecond += ticket.answersPerSecond
	if c.service.ColdRate > 0 {
		c.starts.record(now, c.coldPerSecond())
	}
	if ticket.class == core.ClassBulk {
		c.bulkInFlight++
	}
}

func (c *Controller) enqueue(now time.Time, ticket *Ticket) Decision {
	ticket.state = ticketWaiting
	ticket.waitDeadline = c.latestStart(now, ticket)
	if ticket.request.Deadline.Before(ticket.waitDeadline) {
		ticket.waitDeadline = ticket.request.Deadline
	}
	c.queue = slices.Insert(c.queue, c.queuePosition(ticket.rank), ticket)
	return Decision{
		Wait:         true,
		WaitDeadline: ticket.waitDeadline,
	}
}

// latestStart returns the time until which a request may wait for a slot. With a target, that is
// the last time from which it can be answered by its deadline: after the wait, a late answer is
// better than a late refusal.
func (c *Controller) latestStart(now time.Time, ticket *Ticket) time.Time {
	if ticket.request.Target.IsZero() {
		return now.Add(c.config.MaxWait)
	}
	return ticket.request.Deadline.Add(-c.serviceTimes.of(ticket.request.Route))
}

func (c *Controller) waiting() int {
	return len(c.queue)
}

// releaseWaiting ends the wait of a request that leaves the queue without a slot.
func (c *Controller) releaseWaiting(ticket *Ticket) {
	ticket.state = ticketDone
	release(ticket.routeLimits)
	release(ticket.tenantLimits)
}

// refuseWaiting removes the waiting requests for which the rule returns a kind.
func (c *Controller) refuseWaiting(rule func(*Ticket) (core.ErrorKind, string)) {
	c.queue = slices.DeleteFunc(c.queue, func(ticket *Ticket) bool {
		kind, detail := rule(ticket)
		if kind == "" {
			return false
		}
		c.releaseWaiting(ticket)
		c.wakes = append(c.wakes, Wake{
			Ticket: ticket,
			Kind:   kind,
			Detail: detail,
		})
		return true
	})
}

// grant gives free slots to waiting requests in the order of the queue, and refuses those
// whose wait has timed out. Requests whose bodies find no room on the link are passed over.
func (c *Controller) grant(now time.Time) {
	for i := 0; i < c.waiting() && c.inFlight < c.limit() && c.allowsStart(now); {
		ticket := c.queue[i]
		if !c.link.HasRoom(ticket.request.BodyBytes) {
			i++
			continue
		}
		c.queue = slices.Delete(c.queue, i, i+1)
		wake := Wake{
			Ticket: ticket,
		}
		switch {
		case !now.Before(ticket.request.Deadline):
			wake.Kind, wake.Detail = core.DeadlineBeforeRun, "the deadline passed in the queue"
			c.releaseWaiting(ticket)
		case !now.Before(ticket.waitDeadline):
			wake.Kind, wake.Detail = c.busyKind(now), "no slot became free in time"
			c.releaseWaiting(ticket)
		default:
			c.start(now, ticket)
		}
		c.wakes = append(c.wakes, wake)
	}
}
