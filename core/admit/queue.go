package admit

import (
	"cmp"
	"slices"
	"time"

	"verbenaway/core"
	"verbenaway/core/room"
)

// claimOf returns the claim of a request on a route.
func (c *Controller) claimOf(now time.Time, route *core.RouteSpec, request *Request) room.Claim {
	serviceTime := c.serviceTimes.of(request.Route)
	return room.Claim{
		Priority:    c.snapshot.RequestPriority(route, request.Tenant),
		IsLookup:    route.Class == core.ClassLookup,
		Target:      request.Target,
		Deadline:    request.Deadline,
		ServiceTime: serviceTime,
		Margin:      room.Margin(serviceTime, c.serviceTimes.deviationOf(request.Route), c.offered.Pressure(now, c.limit())),
	}
}

// canRun tells whether there is a free slot for a request, and room on the link for its body. Bulk
// requests leave the reserved slots free, but may always use one slot: an upstream that gets only bulk
// requests has to warm up too.
func (c *Controller) canRun(now time.Time, ticket *Ticket) bool {
	limit := c.limit()
	if c.inFlight >= limit || !c.allowsStart(now) || c.isHeldBack(now, ticket) {
		return false
	}
	return ticket.class != core.ClassBulk || c.bulkInFlight < max(1, limit-c.service.ReservedSlots)
}

// isHeldBack tells whether a request has to wait although a slot is free: for room on the link, or for
// the end of another suspect.
func (c *Controller) isHeldBack(now time.Time, ticket *Ticket) bool {
	return ticket.request.IsSuspect && c.suspectsInFlight > 0 || !c.link.HasRoom(now, ticket.request.BodyBytes)
}

// isAheadRunnable tells whether a waiting request that is ahead of a new one can run as soon as the new
// one can.
func (c *Controller) isAheadRunnable(now time.Time, ticket *Ticket) bool {
	for _, waiting := range c.queue {
		if waiting.request.IsSuspect && c.suspectsInFlight > 0 && !ticket.request.IsSuspect {
			continue
		}
		if (waiting.request.BodyBytes == 0 || ticket.request.BodyBytes > 0) && room.Compare(now, &waiting.claim, &ticket.claim) <= 0 {
			return true
		}
	}
	return false
}

// linkWait returns how long a request waits for room on the link for its body.
func (c *Controller) linkWait(now time.Time, ticket *Ticket) time.Duration {
	if ticket.request.BodyBytes == 0 {
		return 0
	}
	var ahead int64
	for _, waiting := range c.queue {
		if room.Compare(now, &waiting.claim, &ticket.claim) <= 0 {
			ahead += waiting.request.BodyBytes
		}
	}
	return c.link.Wait(now, ticket.request.BodyBytes, ahead)
}

// canWait tells whether a request that cannot run at once may wait. One whose answer would
// be too late is refused at once: the slot serves another one in time, and the caller can retry.
func (c *Controller) canWait(now time.Time, ticket *Ticket) bool {
	request := &ticket.request
	if ticket.class == core.ClassBulk {
		return false
	}
	if request.NoWait && (request.Target.IsZero() || c.expectedQueueTime(now, ticket) > time.Duration(shortWaitShare*float64(request.Target.Sub(now)))) {
		return false
	}
	if request.Target.IsZero() {
		length := c.config.QueueLength
		if length == 0 {
			length = c.service.Slots
		}
		return c.waiting() < length
	}
	if ticket.claim.IsLate(now) && c.lateCount(now) >= c.maxLate() {
		return c.isNextInTurn(now, ticket)
	}
	expected := c.expectedQueueTime(now, ticket) + ticket.claim.Margin
	return !now.Add(expected).After(c.latestAnswer(now, ticket)) || c.isNextInTurn(now, ticket)
}

// shortWaitShare is the share of the time to its target for which a request waits although another
// upstream seems to have a free slot: the way there takes as long.
const shortWaitShare = 0.1

// isNextInTurn tells whether a request may wait although more urgent ones keep every slot in use, since
// no other one waits for the turn of the less urgent requests.
func (c *Controller) isNextInTurn(now time.Time, ticket *Ticket) bool {
	if c.waiting() == 0 || !c.isLeastUrgent(ticket) {
		return false
	}
	turn := time.Duration(maxPassedOver) * c.serviceTimes.overall / time.Duration(max(c.limit(), 1))
	return !now.Add(turn + ticket.claim.ServiceTime).After(ticket.request.Deadline)
}

// isLeastUrgent tells whether all other waiting requests are more urgent than a given one.
func (c *Controller) isLeastUrgent(ticket *Ticket) bool {
	for _, waiting := range c.queue {
		if waiting != ticket && waiting.claim.Priority >= ticket.claim.Priority {
			return false
		}
	}
	return true
}

// urgentLookupShare is the share of the time to its deadline within which a lookup may be
// answered, even after its target, if other routes of the service rank behind it. Such lookups
// are short and wait at the head of the queue, and refusing one can waste the work of a caller
// that holds a slot elsewhere. Orders and uploads come from callers that can retry: if they
// waited as long, all of them would be late in an overload and no more would be served.
const urgentLookupShare = 0.7

// latestAnswer returns the time by which a request has to be answered to be worth queueing.
func (c *Controller) latestAnswer(now time.Time, ticket *Ticket) time.Time {
	target := ticket.request.Target
	if ticket.claim.IsLate(now) {
		// It can wait for a time without others, but for no longer than its answer is of use.
		return ticket.request.Deadline
	}
	if ticket.class != core.ClassLookup || !isMoreUrgent(&ticket.claim, &c.lastClaim) {
		return target
	}
	left := time.Duration(urgentLookupShare * float64(ticket.request.Deadline.Sub(now)))
	if extended := now.Add(left); extended.After(target) {
		return extended
	}
	return target
}

// lastClaimOf returns the claim of the least urgent of the routes that map to a service.
func lastClaimOf(snapshot *core.Snapshot, service core.ServiceName) room.Claim {
	last := room.Claim{
		IsLookup: true,
	}
	for _, route := range snapshot.Routes {
		claim := room.Claim{
			Priority: route.Priority,
			IsLookup: route.Class == core.ClassLookup,
		}
		if mapsTo(route, service) && isMoreUrgent(&last, &claim) {
			last = claim
		}
	}
	return last
}

// isMoreUrgent compares claims by what does not depend on the time.
func isMoreUrgent(a, b *room.Claim) bool {
	return a.Priority < b.Priority || a.Priority == b.Priority && a.IsLookup && !b.IsLookup
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
	return max(c.queueTime(now, &ticket.claim), c.linkWait(now, ticket))
}

// queueTime returns the queue time of a new request with a claim: until the slots have worked off the
// requests ahead of it and those that will come ahead of it meanwhile.
func (c *Controller) queueTime(now time.Time, claim *room.Claim) time.Duration {
	mean := c.serviceTimes.overall
	if mean == 0 && !claim.Target.IsZero() {
		mean = time.Duration(defaultServiceTimeShare * float64(claim.Target.Sub(now)))
	}
	ahead, work := 0, time.Duration(0)
	for _, waiting := range c.queue {
		if room.Compare(now, &waiting.claim, claim) <= 0 {
			ahead++
			work += cmp.Or(waiting.claim.ServiceTime, mean)
		}
	}
	var wait time.Duration
	if free := c.limit() - c.inFlight; free <= 0 {
		wait = (work + mean) / time.Duration(max(c.limit(), 1))
		wait = time.Duration(float64(wait) / (1 - c.granted.UrgentShare(now, claim.Priority, c.limit())))
	}
	if c.isCold(now) {
		perSecond := c.coldPerSecond()
		coldWait := time.Duration(ahead) * time.Second / time.Duration(perSecond)
		if c.starts.remaining(now, perSecond) == 0 {
			coldWait += max(c.starts.nextFree(perSecond).Sub(now), 0)
		}
		wait = max(wait, coldWait)
	}
	return max(wait, c.rateLimit.wait(now, ahead))
}

// remainingQueueTime returns the queue time that a waiting request has left.
func (c *Controller) remainingQueueTime(now time.Time, ticket *Ticket) time.Duration {
	// The claim itself is among those counted as ahead.
	return max(c.queueTime(now, &ticket.claim)-ticket.claim.ServiceTime/time.Duration(max(c.limit(), 1)), 0)
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
	c.granted.Add(now, ticket.claim.Priority, ticket.claim.ServiceTime)
	ticket.body = c.link.Begin(now, ticket.request.BodyBytes)
	ticket.answersPerSecond = c.expectedAnswers(ticket.request.Route)
	c.answersPerSecond += ticket.answersPerSecond
	if c.service.ColdRate > 0 {
		c.starts.record(now, c.coldPerSecond())
	}
	c.rateLimit.count(now)
	if ticket.class == core.ClassBulk {
		c.bulkInFlight++
	}
	if ticket.request.IsSuspect {
		c.suspectsInFlight++
	}
}

func (c *Controller) enqueue(now time.Time, ticket *Ticket) Decision {
	ticket.state = ticketWaiting
	ticket.waitDeadline = c.latestStart(now, ticket)
	if ticket.request.Deadline.Before(ticket.waitDeadline) {
		ticket.waitDeadline = ticket.request.Deadline
	}
	c.queue = append(c.queue, ticket)
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

// grant gives free slots to waiting requests, and refuses those whose wait has timed out. Requests
// whose bodies find no room on the link are passed over.
func (c *Controller) grant(now time.Time) {
	for c.inFlight < c.limit() && c.allowsStart(now) {
		ticket := c.next(now)
		if ticket == nil {
			break
		}
		c.remove(ticket)
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
			c.countPassedOver(ticket)
			c.start(now, ticket)
		}
		c.wakes = append(c.wakes, wake)
	}
	c.boundLate(now)
}

// maxPassedOver is the number of grants after which the least urgent waiting request gets the next
// slot. Its requests thus get a small share of the slots however many more urgent ones there are.
const maxPassedOver = 16

// next returns the waiting request that gets the next free slot, nil if none can run.
func (c *Controller) next(now time.Time) *Ticket {
	var next, last *Ticket
	for _, ticket := range c.queue {
		if c.isHeldBack(now, ticket) {
			continue
		}
		if next == nil || room.Compare(now, &ticket.claim, &next.claim) < 0 {
			next = ticket
		}
		if last == nil || ticket.claim.Priority > last.claim.Priority {
			last = ticket
		}
	}
	if c.passedOver >= maxPassedOver {
		return last
	}
	return next
}

// countPassedOver counts a grant for which a less urgent request has to wait on.
func (c *Controller) countPassedOver(granted *Ticket) {
	if c.passedOver >= maxPassedOver {
		// This grant was the turn of the less urgent requests.
		c.passedOver = 0
		return
	}
	for _, ticket := range c.queue {
		if ticket.claim.Priority > granted.claim.Priority {
			c.passedOver++
			return
		}
	}
	c.passedOver = 0
}

func (c *Controller) remove(ticket *Ticket) {
	if i := slices.Index(c.queue, ticket); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

// maxLate returns the number of requests that may wait although they will be answered late. They get
// slots that nobody else needs, so more of them than there are slots would wait in vain.
func (c *Controller) maxLate() int {
	return c.limit()
}

func (c *Controller) lateCount(now time.Time) int {
	count := 0
	for _, ticket := range c.queue {
		if ticket.claim.IsLate(now) {
			count++
		}
	}
	return count
}

// boundLate refuses late requests beyond the bound, the least urgent ones first and among them those
// with the least time left.
func (c *Controller) boundLate(now time.Time) {
	for excess := c.lateCount(now) - c.maxLate(); excess > 0; excess-- {
		var worst *Ticket
		for _, ticket := range c.queue {
			if ticket.claim.IsLate(now) && (worst == nil || costsLess(&ticket.claim, &worst.claim)) {
				worst = ticket
			}
		}
		c.refuseOne(now, worst, c.busyKind(now), "others will be answered in time")
	}
}

// costsLess reports whether the refusal of a late request costs callers less than that of another.
func costsLess(a, b *room.Claim) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// minMoveTime is the time that a displaced request has to have left until its latest start, so that
// another upstream can answer it in time.
const minMoveTime = 60 * time.Millisecond

// displace refuses a waiting request that a new one has made late: the one that is last in the order,
// if another upstream can still answer it in time. The one that waits for the turn of the less urgent
// requests stays.
func (c *Controller) displace(now time.Time) {
	var last *Ticket
	for _, ticket := range c.queue {
		if !ticket.claim.Target.IsZero() && !ticket.claim.IsLate(now) && (last == nil || room.Compare(now, &ticket.claim, &last.claim) > 0) {
			last = ticket
		}
	}
	if last == nil || c.isLeastUrgent(last) {
		return
	}
	latestStart := last.claim.LatestStart()
	expected := c.remainingQueueTime(now, last)
	if now.Add(expected).After(latestStart) && latestStart.Sub(now) >= minMoveTime {
		c.refuseOne(now, last, core.Displaced, "more urgent requests came first")
	}
}

// refuseOne refuses a waiting request because of those that wait before it.
func (c *Controller) refuseOne(now time.Time, ticket *Ticket, kind core.ErrorKind, detail string) {
	c.remove(ticket)
	c.releaseWaiting(ticket)
	c.wakes = append(c.wakes, Wake{
		Ticket:     ticket,
		Kind:       kind,
		Detail:     detail,
		RetryAfter: c.expectedQueueTime(now, ticket),
	})
}
