package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/core/dedup"
	"verbenaway/core/room"
	"verbenaway/core/route"
)

// gateOutcome is what is known about the execution of a call by the upstream.
type gateOutcome int

const (
	// gateNotRun means that no byte of the request reached the upstream, or that the upstream
	// refused it without running it.
	gateNotRun gateOutcome = iota
	// gateUnknown means that the upstream may have run the request.
	gateUnknown
	// gateDone means that the upstream has answered.
	gateDone
)

// gateCall is the state of one request in the gatekeeper.
type gateCall struct {
	gate         *Gate
	writer       http.ResponseWriter
	request      *http.Request
	snapshot     *core.Snapshot
	route        core.RouteSpec
	admitRequest admit.Request
	ticket       admit.Ticket
	wake         chan admit.Wake
	// body is nil if the request has none.
	body *gateBody
	// inFlight and limit are the load that the answer reports.
	inFlight int
	limit    int
	started  time.Time
	// sentAt is the time at which the request was passed on to the upstream.
	sentAt time.Time
	// instance is the process that the request is sent to; empty if the platform has no instance
	// names.
	instance string
	// suspect is the fingerprint of the request if admitRequest.IsSuspect is set.
	suspect core.Fingerprint
	// hasCrashed means that the upstream ended while it ran the request.
	hasCrashed bool
	// hasNotice means that the upstream said something of itself in its answer.
	hasNotice bool
	// reachedUpstream means that the upstream may have received the request.
	reachedUpstream bool
	retryAfter      time.Duration
	// key has an empty Text if the request has no idempotency key.
	key         dedup.Key
	firstResult chan dedup.Decision
	// recorder is nil unless this is the first request with the key.
	recorder       *gateRecorder
	isKeyCompleted bool
	outcome        gateOutcome
	// isFinished means that the slot was freed.
	isFinished bool
	// wroteHeader means that the header of the answer was sent, so that a refusal is no longer
	// possible.
	wroteHeader bool
}

// newCall parses and checks the headers. The call is never nil, so that it can be refused.
func (g *Gate) newCall(w http.ResponseWriter, r *http.Request) (*gateCall, core.ErrorKind, string) {
	g.counters.Requests.Add(1)
	call := &gateCall{
		gate:    g,
		writer:  w,
		request: r,
		started: g.config.Clock.Now(),
	}
	version, err := headerNumber(r.Header, keyVersion, 0)
	if err != nil {
		return call, core.BadRequest, HeaderVersion + " is not a number"
	}
	if version > 0 {
		g.config.Config.ObserveVersion(core.HostName(firstValue(r.Header, keySender)), core.Version(version))
	}
	snapshot, kind := g.config.Config.Snapshot()
	if snapshot == nil {
		return call, kind, "the daemon does not serve yet"
	}
	call.snapshot = snapshot
	depth, err := headerNumber(r.Header, keyDepth, 1)
	if err != nil {
		return call, core.BadRequest, HeaderDepth + " is not a number"
	}
	if depth > MaxDepth {
		return call, core.DepthExceeded, "the call is too deep"
	}
	call.admitRequest.SenderVersion = core.Version(version)
	call.admitRequest.Tenant = core.TenantName(firstValue(r.Header, keyTenant))
	call.admitRequest.Route = g.routeName(snapshot, r)
	call.key = dedup.Key{
		Tenant: call.admitRequest.Tenant,
		Route:  call.admitRequest.Route,
		Text:   firstValue(r.Header, keyIdempotency),
	}
	call.admitRequest.HomeRegions = parseRegions(firstValue(r.Header, keyHomeRegions))
	// Without a route the timeout is zero, and admission refuses the call.
	call.route = snapshot.Routes[call.admitRequest.Route]
	timeout := time.Duration(call.route.Timeout)
	left, err := headerNumber(r.Header, keyTimeout, uint64(timeout.Milliseconds()))
	if err != nil {
		return call, core.BadRequest, HeaderTimeout + " is not a number"
	}
	if left < uint64(timeout.Milliseconds()) {
		timeout = time.Duration(left) * time.Millisecond
	}
	call.admitRequest.Deadline = call.started.Add(timeout)
	call.admitRequest.Service = core.ServiceName(firstValue(r.Header, keyService))
	call.suspect, call.admitRequest.IsSuspect = core.ParseFingerprint(firstValue(r.Header, keySuspect))
	call.admitRequest.NoWait = firstValue(r.Header, keyNoWait) != ""
	if firstValue(r.Header, keyTarget) != "" {
		target, targetErr := headerNumber(r.Header, keyTarget, 0)
		if targetErr != nil {
			return call, core.BadRequest, HeaderTarget + " is not a number"
		}
		call.admitRequest.Target = call.started.Add(time.Duration(target) * time.Millisecond)
	}
	call.admitRequest.BodyBytes = heldBackBytes(r)
	call.admitRequest.Sender = core.HostName(firstValue(r.Header, keySender))
	if call.admitRequest.SenderClosesAt, err = closingTime(r.Header, call.started); err != nil {
		return call, core.BadRequest, err.Error()
	}
	return call, "", ""
}

// heldBackBytes returns the size of a body that is sent only once the request is admitted. Such a
// request announces it; an entry in the same process sends its body over no link.
func heldBackBytes(r *http.Request) int64 {
	if firstValue(r.Header, "Expect") == "" {
		return 0
	}
	if r.ContentLength < 0 {
		return room.UnknownBodyBytes
	}
	return r.ContentLength
}

// routeName returns the name of the request's route in a snapshot, "" if it has none. Names that operators
// give need not stay the same in the next version, which the sender may have already or not yet; so
// with a Dialect, whose paths are passed on literally, host and path identify the route.
func (g *Gate) routeName(snapshot *core.Snapshot, r *http.Request) core.RouteName {
	if g.config.Dialect == nil {
		return core.RouteName(firstValue(r.Header, keyRoute))
	}
	table := g.table.Load()
	if table == nil || table.Snapshot() != snapshot {
		table = route.NewTable(snapshot)
		g.table.Store(table)
	}
	match, _ := table.Match(route.Request{
		Host:   r.Host,
		Path:   literalPath(r),
		Method: r.Method,
		Tenant: core.TenantName(firstValue(r.Header, keyTenant)),
	})
	if match.Route == nil {
		return ""
	}
	return match.Route.Spec.Name
}

// run admits the call and forwards it to the upstream. It returns the kind of the refusal, empty
// if the whole answer was sent.
func (c *gateCall) run() (core.ErrorKind, string) {
	kind, detail := c.admit()
	if kind != "" {
		return kind, detail
	}
	success := false
	defer func() {
		c.finish(success)
	}()
	kind, detail = c.forward()
	success = kind == ""
	return kind, detail
}

// admit requests a slot and waits for it if necessary.
func (c *gateCall) admit() (core.ErrorKind, string) {
	decision := c.offer()
	if decision.Wait {
		return c.awaitSlot(decision.WaitDeadline)
	}
	if decision.Kind == "" {
		c.gate.counters.Admitted.Add(1)
	}
	return decision.Kind, decision.Detail
}

// offer asks admission control for a slot. The mutex is released even by a panic, since other
// requests go on after it.
func (c *gateCall) offer() admit.Decision {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	g.configure(now, c.snapshot)
	c.adoptRate(now)
	if now.Before(g.connectBackoffUntil) {
		return admit.Decision{
			Kind:   core.NoUpstream,
			Detail: "the upstream did not take a connection just now",
		}
	}
	decision := g.admission.Offer(now, c.admitRequest, &c.ticket)
	if decision.Wait {
		c.ticket.Owner = c
		c.wake = make(chan admit.Wake, 1)
	}
	g.deliverWakes(g.admission.Displaced())
	c.inFlight, c.limit = g.load(now)
	c.retryAfter = decision.RetryAfter
	g.scheduleGrant(now)
	return decision
}

func (c *gateCall) awaitSlot(waitDeadline time.Time) (core.ErrorKind, string) {
	g := c.gate
	timer := time.NewTimer(waitDeadline.Sub(g.config.Clock.Now()))
	defer timer.Stop()
	var kind core.ErrorKind
	var detail string
	select {
	case wake := <-c.wake:
		return c.handleWake(wake)
	case <-timer.C:
		kind, detail = core.Overloaded, "no slot became free in time"
		if !waitDeadline.Before(c.admitRequest.Deadline) {
			kind, detail = core.DeadlineBeforeRun, "the deadline passed in the queue"
		}
	case <-c.request.Context().Done():
		kind, detail = core.CanceledBeforeRun, "the caller went away in the queue"
	}
	g.mu.Lock()
	isWithdrawn := g.admission.Abandon(&c.ticket)
	g.mu.Unlock()
	if isWithdrawn {
		return kind, detail
	}
	return c.handleWake(<-c.wake)
}

// handleWake takes the slot that a wake grants, unless the view of the daemon became suspect in
// the meantime.
func (c *gateCall) handleWake(wake admit.Wake) (core.ErrorKind, string) {
	if wake.Kind != "" {
		c.retryAfter = wake.RetryAfter
		return wake.Kind, wake.Detail
	}
	c.gate.counters.Admitted.Add(1)
	c.countWait()
	if snapshot, kind := c.gate.config.Config.Snapshot(); snapshot == nil {
		c.gate.finish(&c.ticket, false)
		return kind, "the daemon confirms its view"
	}
	return "", ""
}

// countWait counts the wait of a request that got a slot.
func (c *gateCall) countWait() {
	priority := strconv.Itoa(c.snapshot.RequestPriority(&c.route, c.admitRequest.Tenant))
	counters := &c.gate.counters
	counters.Waits.Add(priority, 1)
	counters.WaitedMs.Add(priority, c.gate.config.Clock.Now().Sub(c.started).Milliseconds())
}

// configure applies the configuration and the registration of the upstream. The caller holds mu.
func (g *Gate) configure(now time.Time, snapshot *core.Snapshot) {
	if snapshot != nil {
		g.deliverWakes(g.admission.Configure(now, snapshot))
	}
	if g.config.Upstream == nil {
		return
	}
	member, ok := g.config.Upstream()
	if !ok {
		g.deliverWakes(g.admission.SetUpstream(now, nil))
		return
	}
	upstream := admit.UpstreamOf(member)
	g.deliverWakes(g.admission.SetUpstream(now, &upstream))
}

// scheduleGrant starts the timer for a queued request that the rate limit of a cold start holds
// back. The caller holds mu.
func (g *Gate) scheduleGrant(now time.Time) {
	at := g.admission.NextGrant(now)
	if at.IsZero() {
		return
	}
	if g.grantTimer != nil {
		if !at.Before(g.grantAt) {
			return
		}
		// The room comes earlier than it seemed, as after an upload that broke off.
		g.grantTimer.Stop()
	}
	g.grantAt = at
	var timer *time.Timer
	timer = time.AfterFunc(at.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.grantTimer != timer {
			// A timer that was set for an earlier time has replaced this one.
			return
		}
		g.grantTimer = nil
		later := g.config.Clock.Now()
		g.deliverWakes(g.admission.Grant(later))
		g.scheduleGrant(later)
	})
	g.grantTimer = timer
}

// Refresh applies a change of the configuration or of the upstream to the queued requests.
func (g *Gate) Refresh() {
	snapshot, _ := g.config.Config.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	g.configure(now, snapshot)
	g.scheduleGrant(now)
}

// deliverWakes sends decisions to the queued calls. The caller holds mu.
func (g *Gate) deliverWakes(wakes []admit.Wake) {
	for _, wake := range wakes {
		wake.Ticket.Owner.(*gateCall).wake <- wake
	}
}

// finish frees the slot of the call unless that has been done.
func (c *gateCall) finish(success bool) {
	if !c.isFinished {
		c.isFinished = true
		c.gate.finish(&c.ticket, success)
	}
}

// finish frees the slot of a call.
func (g *Gate) finish(ticket *admit.Ticket, success bool) {
	snapshot, _ := g.config.Config.Snapshot()
	g.mu.Lock()
	now := g.config.Clock.Now()
	g.configure(now, snapshot)
	g.deliverWakes(g.admission.Finish(now, ticket, success))
	g.scheduleGrant(now)
	change, isChanged := g.admission.TakeRampChange()
	g.mu.Unlock()
	if isChanged {
		g.recordRamp(change)
	}
}

// bodyArrived tells admission control that the whole body of a call has arrived.
func (g *Gate) bodyArrived(ticket *admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverWakes(g.admission.BodyArrived(g.config.Clock.Now(), ticket))
}

// report tells admission control what was observed of the upstream, and updates the load. A
// failed connection to an upstream that registers itself starts the connect backoff.
func (c *gateCall) report(signal admit.Signal, bootID string) {
	g := c.gate
	g.mu.Lock()
	now := g.config.Clock.Now()
	g.admission.RecordSignal(now, &c.ticket, signal, bootID)
	if signal == admit.SignalRefused && g.config.Upstream != nil {
		g.connectBackoffUntil = now.Add(connectBackoff)
		g.admission.AssumeColdUntil(now.Add(time.Duration(c.snapshot.Services[c.admitRequest.Service].WarmUp)))
	}
	c.inFlight, c.limit = g.load(now)
	change, isChanged := g.admission.TakeRampChange()
	g.mu.Unlock()
	if isChanged {
		g.recordRamp(change)
	}
}

// connectBackoff is the time without connection attempts after a failed one. It is short
// compared with the seconds in which an upstream starts.
const connectBackoff = 100 * time.Millisecond

// refuse answers with an error kind, or aborts an answer whose header was sent.
func (c *gateCall) refuse(kind core.ErrorKind, detail string) {
	g := c.gate
	if c.outcome != gateNotRun && kind.Info().NotRun {
		kind = core.OutcomeUnknown
	}
	g.counters.Refused.Add(string(kind), 1)
	g.refusals.add(kind)
	if c.wroteHeader {
		c.logDecision(core.DecisionCut, kind, detail)
		panic(http.ErrAbortHandler)
	}
	c.setOwnHeaders(c.writer.Header())
	if isCanceled(kind) {
		// Later requests on the connection would be canceled too.
		c.writer.Header()["Connection"] = []string{"close"}
	}
	if c.reachedUpstream {
		c.writer.Header()[keyArrived] = arrivedValue
	}
	if c.hasCrashed {
		c.writer.Header()[keyCrashed] = []string{c.instance}
	}
	if c.retryAfter > 0 {
		c.writer.Header()[keyRetryAfter] = []string{strconv.FormatInt(c.retryAfter.Milliseconds()+1, 10)}
	}
	c.logDecision(core.DecisionDeclined, kind, detail)
	if kind == core.Displaced {
		// Entries of earlier releases do not know this kind and would take it for a lost answer.
		kind = core.Overloaded
	}
	Refuse(c.writer, kind, detail)
}

// linger reads the rest of a body that the upstream did not read. An entry in the same process has
// no connection that could be reset.
func (c *gateCall) linger() {
	if _, isLocal := c.writer.(*localWriter); !isLocal && c.body != nil && !c.body.isAtEnd() {
		linger(c.writer, c.request.Body)
	}
}

var arrivedValue = []string{"true"}

// context returns the context of the request to the upstream. It ends at the deadline and when
// the caller disconnects. A request with an idempotency key continues without its caller: if an
// entry dies, the caller retries with the same key and gets the answer, which would be lost
// otherwise.
func (c *gateCall) context() (context.Context, context.CancelFunc) {
	parent := c.request.Context()
	if c.recorder != nil {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, c.admitRequest.Deadline.Sub(c.gate.config.Clock.Now()))
}

// isAbandoned reports whether the caller disconnected and no duplicate can use the answer.
func (c *gateCall) isAbandoned() bool {
	return c.recorder == nil && c.request.Context().Err() != nil
}

// headerNumber parses a header as a number; it returns absent if there is none.
func headerNumber(header http.Header, key string, absent uint64) (uint64, error) {
	text := firstValue(header, key)
	if text == "" {
		return absent, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func parseRegions(text string) []core.Region {
	if text == "" {
		return nil
	}
	var regions []core.Region
	for name := range strings.SplitSeq(text, ",") {
		regions = append(regions, core.Region(strings.TrimSpace(name)))
	}
	return regions
}
