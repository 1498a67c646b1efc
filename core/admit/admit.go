package admit

import (
	"time"

	"verbenaway/core"
	"verbenaway/core/room"
)

// DefaultMaxWait bounds the time in the queue of a request without a target. An upstream that frees
// no slot in this time is overloaded, and the request is better sent to another one.
const DefaultMaxWait = 100 * time.Millisecond

// Config holds the fixed parameters of a Controller.
type Config struct {
	// Self is the host of the gatekeeper; its service, region and availability zone are checked.
	Self core.Host
	// QueueLength bounds the queue for requests without a Target; 0 means as many as the service
	// has slots, so that the last of them waits for about the service time of one request.
	QueueLength int
	// MaxWait bounds the wait of a request without a Target; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// WatchLatency turns on the detection of an unannounced cold start by its latency. It is
	// off by default: a stall of the daemon's own host looks the same, and after the drop of
	// the limit to coldSlots nearly all of 11,000 requests/s stayed refused.
	WatchLatency bool
	// IsRegistered says that the upstream registers itself on the platform. Its slots and its
	// cold starts then come from SetUpstream instead of the ramp.
	IsRegistered bool
	// LinkRate is the speed of the host's link in bytes per second, 0 if unknown.
	LinkRate int64
	// StartedAt is the time at which this process started. An earlier one may have let requests to a cold
	// upstream through until then. Zero if there was none.
	StartedAt time.Time
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Route  core.RouteName
	Tenant core.TenantName
	// HomeRegions is the list that came with the request; empty means any region.
	HomeRegions []core.Region
	// SenderVersion is the version in force at the sender, 0 if unknown.
	SenderVersion core.Version
	// Deadline is never zero.
	Deadline time.Time
	// Service is the service chosen from the split of the route; empty means that of the route.
	Service core.ServiceName
	// Target is the time after which an answer counts as late, zero if there is none.
	Target time.Time
	// NoWait refuses the request instead of queueing it for more than a moment, because another
	// upstream seems to have a free slot.
	NoWait bool
	// Sender is the host of the entry that sent the request, "" if unknown.
	Sender core.HostName
	// SenderClosesAt is the time at which the sender closes the connections of its callers, so that an
	// answer is of no use afterwards; zero if it is not leaving.
	SenderClosesAt time.Time
	// BodyBytes is the size of a body that the sender holds back until the request gets its slot, 0
	// if there is none.
	BodyBytes int64
	// IsSuspect says that upstreams have ended while they ran such a request. One of them runs at a time, so
	// that the next crash tells which of them is the cause.
	IsSuspect bool
}

// Ticket is the state of one request under admission control. The caller allocates it and
// keeps it from Offer to Finish; only Owner belongs to the caller.
type Ticket struct {
	// Owner is not used by the package; the caller finds its waiting request by it.
	Owner any

	request  Request
	class    core.RequestClass
	claim    room.Claim
	isFailed bool
	state    ticketState
	// epoch and suspicion are those of the ramp when the request got its slot.
	epoch     uint64
	suspicion uint64
	startedAt time.Time
	// answersPerSecond is the part of this request in Controller.answersPerSecond.
	answersPerSecond float64
	waitDeadline     time.Time
	// body is that of this request in Controller.link, nil if it has none or has arrived.
	body         *room.Body
	routeLimits  []*requestLimit
	tenantLimits []*requestLimit
}

type ticketState int

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketDone
)

// Decision is the result of Offer: the request runs if Kind is empty and Wait is false, waits
// for a Wake if Wait is true, and is refused with Kind otherwise.
type Decision struct {
	Wait bool
	// WaitDeadline is the time at which the caller has to withdraw a waiting request with Abandon.
	WaitDeadline time.Time
	Kind         core.ErrorKind
	Detail       string
	// RetryAfter is the time after which a refused request may get a slot, 0 if unknown.
	RetryAfter time.Duration
}

// Wake ends the wait of a request: it runs if Kind is empty and is refused otherwise.
type Wake struct {
	Ticket *Ticket
	Kind   core.ErrorKind
	Detail string
	// RetryAfter is the time after which a refused request may get a slot, 0 if unknown.
	RetryAfter time.Duration
}

// Controller is the admission control of one upstream. It is not safe for concurrent use.
type Controller struct {
	config   Config
	snapshot *core.Snapshot
	service  core.ServiceSpec
	ramp     ramp
	limits   limitSet
	// inFlight counts the requests that hold a slot, and bulkInFlight those of class bulk.
	inFlight     int
	bulkInFlight int
	// suspectsInFlight is 0 or 1.
	suspectsInFlight int
	// queue holds the waiting requests in the order of their arrival.
	queue []*Ticket
	// passedOver counts the latest grants for which a less urgent request had to wait on.
	passedOver int
	// offered averages the work of all requests, and granted that of those that got a slot.
	offered  room.Demand
	granted  room.Demand
	draining bool
	// upstream is the record given to SetUpstream, nil if there is none.
	upstream *Upstream
	// leavingInstance is the process that has said in an answer that it leaves, "" if none.
	leavingInstance  string
	assumedColdUntil time.Time
	starts           startWindow
	rateLimit        rateLimit
	link             room.Link
	serviceTimes     serviceTimes
	slowness         slowness
	// answeredAt is the time of the latest answer, or of the first start after it if no request
	// was running.
	answeredAt time.Time
	// answersPerSecond is how many answers a second to expect from the running requests.
	answersPerSecond float64
	// lastClaim is that of the least urgent requests that the upstream may get.
	lastClaim room.Claim
	wakes     []Wake
}

// New returns a controller that assumes a cold upstream.
func New(config Config) *Controller {
	if config.MaxWait <= 0 {
		config.MaxWait = DefaultMaxWait
	}
	c := &Controller{
		config: config,
		limits: newLimitSet(),
		link: room.Link{
			BytesPerSecond: float64(config.LinkRate),
		},
	}
	return c
}

// Configure applies a snapshot unless it is older than the current one: concurrent requests may
// have read different ones. Requests in flight keep running; waiting requests that the snapshot
// no longer allows are refused. The result is valid until the next call.
func (c *Controller) Configure(now time.Time, snapshot *core.Snapshot) []Wake {
	c.wakes = c.wakes[:0]
	if snapshot == c.snapshot || c.snapshot != nil && snapshot.IsBefore(c.snapshot) {
		return nil
	}
	c.snapshot = snapshot
	c.service = snapshot.Services[c.serviceName()]
	c.ramp.configure(c.service)
	c.lastClaim = lastClaimOf(snapshot, c.serviceName())
	c.serviceTimes.prune(snapshot.Routes)
	c.limits.configure(now, snapshot)
	c.refuseWaiting(func(ticket *Ticket) (core.ErrorKind, string) {
		_, kind, detail := c.check(&ticket.request)
		return kind, detail
	})
	c.grant(now)
	return c.wakes
}

// Drain refuses all waiting and all further requests. The result is valid until the next call.
func (c *Controller) Drain() []Wake {
	c.wakes = c.wakes[:0]
	c.draining = true
	c.refuseWaiting(func(*Ticket) (core.ErrorKind, string) {
		return core.Leaving, "the daemon is leaving"
	})
	return c.wakes
}

// Offer decides on a new request; Configure must have been called before. A request that has to wait
// may displace another one, or itself: see Displaced.
func (c *Controller) Offer(now time.Time, request Request, ticket *Ticket) Decision {
	c.wakes = c.wakes[:0]
	decision := c.decide(now, request, ticket)
	if decision.Wait {
		c.displace(now)
	}
	return decision
}

// Displaced returns the wakes of the requests that the latest Offer displaced. The result is valid until
// the next call.
func (c *Controller) Displaced() []Wake {
	return c.wakes
}

func (c *Controller) decide(now time.Time, request Request, ticket *Ticket) Decision {
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
	ticket.request.boundByClosing()
	ticket.class = route.Class
	ticket.claim = c.claimOf(now, &route, &ticket.request)
	if !ticket.isAnsweredBeforeClosing(now) {
		return refuse(c.busyKind(now), senderCloses)
	}
	c.offered.Add(now, ticket.claim.Priority, ticket.claim.ServiceTime)
	ticket.routeLimits = c.limits.routes[request.Route]
	ticket.tenantLimits = c.limits.tenants[request.Tenant]
	if !hasCapacity(ticket.routeLimits) || !hasCapacity(ticket.tenantLimits) {
		return refuse(core.Limited, "too many requests at once")
	}
	wait := !c.canRun(now, ticket) || c.isAheadRunnable(now, ticket)
	if wait && !c.canWait(now, ticket) {
		decision := refuse(c.busyKind(now), "every slot is in use")
		decision.RetryAfter = c.expectedQueueTime(now, ticket)
		return decision
	}
	if !hasToken(now, ticket.routeLimits) || !hasToken(now, ticket.tenantLimits) {
		return refuse(core.Limited, "the rate is used up")
	}
	acquire(now, ticket.routeLimits)
	acquire(now, ticket.tenantLimits)
	if wait {
		return c.enqueue(now, ticket)
	}
	c.start(now, ticket)
	return Decision{}
}

// Abandon withdraws a waiting request whose caller left or whose wait timed out. It returns false
// if the request has already been granted or refused; then the Wake applies.
func (c *Controller) Abandon(ticket *Ticket) bool {
	if ticket.state != ticketWaiting {
		return false
	}
	c.remove(ticket)
	c.releaseWaiting(ticket)
	return true
}

// RecordSignal records an observation of the upstream. The boot id is empty if it sent none.
func (c *Controller) RecordSignal(now time.Time, ticket *Ticket, signal Signal, bootID string) {
	c.ramp.observeBoot(bootID)
	if signal == SignalAnswered || signal == SignalFailed {
		c.ramp.confirmBoot(bootID, ticket.suspicion)
	}
	if signal != SignalNone {
		c.recordAnswerAt(now)
		ticket.isFailed = signal != SignalAnswered
		c.serviceTimes.recordOutcome(ticket.isFailed)
	}
	switch signal {
	case SignalShed:
		c.ramp.dropToCold("the upstream shed a request")
	case SignalRefused:
		c.ramp.dropToCold("the upstream refused a connection")
	case SignalReset:
		c.ramp.dropToCold("the upstream reset a connection")
	case SignalAnswered:
		if c.config.WatchLatency && ticket.class != core.ClassBulk && ticket.epoch == c.ramp.epoch {
			c.ramp.observeLatency(now, ticket.startedAt, ticket.request.Route)
		}
	}
}

// SuspectRestart reports that the upstream may have restarted unnoticed: it closed an idle
// connection, or no connection to it is open any more. Until an answer confirms its boot id, the
// limit is that of a cold start.
func (c *Controller) SuspectRestart() {
	c.ramp.suspectRestart()
}

// BodyArrived reports that the whole body of a running request has arrived, or that its sender sends no
// more of it. The result is valid until the next call.
func (c *Controller) BodyArrived(now time.Time, ticket *Ticket) []Wake {
	c.wakes = c.wakes[:0]
	if ticket.body == nil {
		return nil
	}
	c.link.End(ticket.body)
	ticket.body = nil
	c.grant(now)
	return c.wakes
}

// Finish frees the slot of a request; success means that it got a complete answer. The result
// is valid until the next call.
func (c *Controller) Finish(now time.Time, ticket *Ticket, success bool) []Wake {
	c.wakes = c.wakes[:0]
	if ticket.state != ticketRunning {
		return nil
	}
	ticket.state = ticketDone
	c.inFlight--
	if ticket.body != nil {
		c.link.Abort(now, ticket.body)
		ticket.body = nil
	}
	c.answersPerSecond -= ticket.answersPerSecond
	if success && !ticket.isFailed {
		c.serviceTimes.recordDuration(ticket.request.Route, now.Sub(ticket.startedAt))
	}
	if ticket.class == core.ClassBulk {
		c.bulkInFlight--
	}
	if ticket.request.IsSuspect {
		c.suspectsInFlight--
	}
	release(ticket.routeLimits)
	release(ticket.tenantLimits)
	if success && ticket.epoch == c.ramp.epoch {
		c.ramp.observeSuccess(now)
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

// Limit returns the number of slots that may be in use now.
func (c *Controller) Limit() int {
	return c.limit()
}

// TakeRampChange returns the latest change of the ramp since the last call, if any.
func (c *Controller) TakeRampChange() (RampChange, bool) {
	if !c.ramp.isChanged {
		return RampChange{}, false
	}
	c.ramp.isChanged = false
	return c.ramp.change, true
}

func refuse(kind core.ErrorKind, detail string) Decision {
	return Decision{
		Kind:   kind,
		Detail: detail,
	}
}
