package admit

import (
	"slices"
	"time"

	"verbenaway/core"
)

// DefaultMaxWait bounds the time in the queue. An upstream that frees no slot for so long is
// overloaded, and another upstream is the better choice.
const DefaultMaxWait = 100 * time.Millisecond

// Config holds what a Controller needs for its whole life.
type Config struct {
	// Self is the own host; its service, region and availability zone are compared.
	Self core.Host
	// QueueLength bounds the waiting requests; 0 means as many as the service has slots,
	// so that the last of them waits for about the time of one request.
	QueueLength int
	// MaxWait bounds the time in the queue; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// WatchLatency turns on the detection of an unannounced cold start by its latency. It is
	// off by default: a stall of the daemon's own host looks the same, and the fall of the
	// limit to coldSlots then refused nearly all of 11,000 requests/s for good.
	WatchLatency bool
	// IsRegistered says that the upstream registers itself on the platform: Adopt tells its
	// slots and its cold starts, which the ramp is not used for then.
	IsRegistered bool
}

// Request is what admission needs to know of a request.
type Request struct {
	Route  core.RouteName
	Tenant core.TenantName
	// HomeRegions is the list that came with the request; empty means everywhere.
	HomeRegions []core.Region
	// SenderVersion is the version in force at the sender, 0 if unknown.
	SenderVersion core.Version
	// Deadline is never zero.
	Deadline time.Time
	// Service is the part of a divided route that was chosen; empty means that of the route.
	Service core.ServiceName
	// Target is the time until which an answer is of full use, zero if that is Deadline.
	Target time.Time
	// NoWait refuses the request rather than letting it wait, because another upstream seems
	// to have room.
	NoWait bool
}

// Ticket is one request under admission control. The caller allocates it and keeps it from
// Offer to Finish; its fields belong to the controller, but for Owner.
type Ticket struct {
	// Owner is not used by the package; the driver finds its waiting request by it.
	Owner any

	request      Request
	class        core.RequestClass
	rank         int
	isFailed     bool
	state        ticketState
	epoch        uint64
	doubts       uint64
	begun        time.Time
	giveUp       time.Time
	routeLimits  []*limit
	tenantLimits []*limit
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketDone
)

// Decision tells what happens with an offered request: it runs if Kind is empty and Wait is
// false, waits for a Wake if Wait is true, and is refused with Kind otherwise.
type Decision struct {
	Wait bool
	// GiveUp is the time at which a waiting request has to be withdrawn with Abandon.
	GiveUp time.Time
	Kind   core.Kind
	Detail string
	// RetryAfter is the time after which a refused request may find room, 0 if unknown.
	RetryAfter time.Duration
}

// Wake ends the wait of a request: it runs if Kind is empty and is refused otherwise.
type Wake struct {
	Ticket *Ticket
	Kind   core.Kind
	Detail string
}

// Controller decides for one upstream. It is not safe for concurrent use.
type Controller struct {
	config   Config
	snapshot *core.Snapshot
	service  core.ServiceSpec
	ramp     ramp
	limits   limitSet
	inFlight int
	bulk     int
	// queue holds the waiting requests by rank and then by arrival.
	queue    []*Ticket
	draining bool
	// upstream is the record that Adopt took over, nil if there is none.
	upstream   *Upstream
	doubtUntil time.Time
	pace       pace
	holds      holds
	// lastRank is the highest rank of the requests that the upstream may get.
	lastRank int
	wakes    []Wake
}

// New returns a controller that assumes a cold upstream.
func New(config Config) *Controller {
	if config.MaxWait <= 0 {
		config.MaxWait = DefaultMaxWait
	}
	return &Controller{
		config: config,
		limits: newLimitSet(),
	}
}

// Configure puts a snapshot in force, unless it is older than the one in force: requests that
// arrive together may have looked at different ones. What is in flight keeps running; waiting
// requests that the snapshot no longer allows are refused. The result is valid until the next
// call.
func (c *Controller) Configure(now time.Time, snapshot *core.Snapshot) []Wake {
	c.wakes = c.wakes[:0]
	if snapshot == c.snapshot || c.snapshot != nil && snapshot.IsBefore(c.snapshot) {
		return nil
	}
	c.snapshot = snapshot
	c.service = snapshot.Services[c.serviceName()]
	c.ramp.configure(c.service)
	c.lastRank = lastRankOf(snapshot, c.serviceName())
	c.holds.keep(snapshot.Routes)
	c.limits.configure(now, snapshot)
	c.refuseWaiting(func(ticket *Ticket) (core.Kind, string) {
		_, kind, detail := c.check(&ticket.request)
		return kind, detail
	})
	c.grant(now)
	return c.wakes
}

// Drain refuses new and waiting work from now on. The result is valid until the next call.
func (c *Controller) Drain() []Wake {
	c.wakes = c.wakes[:0]
	c.draining = true
	c.refuseWaiting(func(*Ticket) (core.Kind, string) {
		return core.Leaving, "the daemon is leaving"
	})
	return c.wakes
}

// Offer decides on a new request; Configure must have been called before.
func (c *Controller) Offer(now time.Time, request Request, ticket *Ticket) Decision {
	if c.draining {
		return refuse(core.Leaving, "the daemon is leaving")
	}
	route, kind, detail := c.check(&request)
	if kind != "" {
		return refuse(kind, detail)
	}
	if !now.Before(request.Deadline) {
		return refuse(core.DeadlineBeforeRun, "the deadline has passed")
	}
	ticket.request = request
	ticket.class = route.Class
	ticket.rank = rankOf(route)
	ticket.routeLimits = c.limits.routes[request.Route]
	ticket.tenantLimits = c.limits.tenants[request.Tenant]
	if !fits(ticket.routeLimits) || !fits(ticket.tenantLimits) {
		return refuse(core.Limited, "too many requests at once")
	}
	wait := !c.mayRun(now, ticket.class) || c.ahead(ticket.rank) > 0
	if wait && !c.mayWait(now, ticket) {
		decision := refuse(c.busyKind(now), "every slot is in use")
		decision.RetryAfter = c.expectedWait(now, ticket)
		return decision
	}
	if !hasToken(now, ticket.routeLimits) || !hasToken(now, ticket.tenantLimits) {
		return refuse(core.Limited, "the rate is used up")
	}
	take(now, ticket.routeLimits)
	take(now, ticket.tenantLimits)
	if wait {
		return c.enqueue(now, ticket)
	}
	c.start(now, ticket)
	return Decision{}
}

// Abandon withdraws a waiting request whose caller left or whose time is over. It returns
// false if the request was granted or refused meanwhile; then the Wake counts.
func (c *Controller) Abandon(ticket *Ticket) bool {
	if ticket.state != ticketWaiting {
		return false
	}
	if i := slices.Index(c.queue, ticket); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
	c.leaveQueue(ticket)
	return true
}

// Report tells what the upstream showed while it ran a request; see Signal. The boot id is
// empty if the upstream sent none.
func (c *Controller) Report(now time.Time, ticket *Ticket, signal Signal, bootID string) {
	c.ramp.observeBoot(bootID)
	if signal == SignalAnswered || signal == SignalFailed {
		c.ramp.confirm(bootID, ticket.doubts)
	}
	if signal != SignalNone {
		ticket.isFailed = signal != SignalAnswered
		c.holds.count(ticket.isFailed)
	}
	switch signal {
	case SignalShed:
		c.ramp.fall("the upstream shed a request")
	case SignalRefused:
		c.ramp.fall("the upstream refused a connection")
	case SignalReset:
		c.ramp.fall("the upstream reset a connection")
	case SignalAnswered:
		if c.config.WatchLatency && ticket.class != core.ClassBulk && ticket.epoch == c.ramp.epoch {
			c.ramp.observeLatency(now, ticket.begun, ticket.request.Route)
		}
	}
}

// Doubt tells that the upstream may have restarted unseen: it closed an idle connection, or
// none is open any more. Until an answer confirms its boot id, it gets what it could bear in a
// cold start.
func (c *Controller) Doubt() {
	c.ramp.doubt()
}

// Finish frees the slot of a request; success says that it got a complete answer. The result
// is valid until the next call.
func (c *Controller) Finish(now time.Time, ticket *Ticket, success bool) []Wake {
	c.wakes = c.wakes[:0]
	if ticket.state != ticketRunning {
		return nil
	}
	ticket.state = ticketDone
	c.inFlight--
	if success && !ticket.isFailed {
		c.holds.observe(ticket.request.Route, now.Sub(ticket.begun))
	}
	if ticket.class == core.ClassBulk {
		c.bulk--
	}
	release(ticket.routeLimits)
	release(ticket.tenantLimits)
	if success && ticket.epoch == c.ramp.epoch {
		c.ramp.succeed(now)
	}
	c.grant(now)
	return c.wakes
}

// InFlight returns the number of requests that hold a slot.
func (c *Controller) InFlight() int {
	return c.inFlight
}

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int {
	return c.waiting()
}

// Limit returns the number of slots that may be used now.
func (c *Controller) Limit() int {
	return c.limit()
}

// RampChange returns a change of the ramp worth an event since the last call.
func (c *Controller) RampChange() (RampChange, bool) {
	if !c.ramp.isChanged {
		return RampChange{}, false
	}
	c.ramp.isChanged = false
	return c.ramp.change, true
}

func refuse(kind core.Kind, detail string) Decision {
	return Decision{
		Kind:   kind,
		Detail: detail,
	}
}

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

// urgentPatience is the share of the time left that requests may take behind which others of
// the service rank. They wait at the head of the queue, and refusing one rather than answering
// it late may make the work of a caller in vain that itself holds a slot elsewhere.
const urgentPatience = 0.7

// latest returns when a request has to be answered for its wait to make sense.
func (c *Controller) latest(now time.Time, ticket *Ticket) time.Time {
	target := ticket.request.Target
	if ticket.rank >= c.lastRank {
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

// BusyKind returns the kind of refusal for a request that found no slot.
func (c *Controller) BusyKind(now time.Time) core.Kind {
	return c.busyKind(now)
}

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
