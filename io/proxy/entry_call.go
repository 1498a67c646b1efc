package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"verbenaway/core"
	"verbenaway/core/poison"
	"verbenaway/core/retry"
	"verbenaway/core/room"
	"verbenaway/core/route"
	"verbenaway/io/limit"
)

// call is the state of one request in the entry.
type call struct {
	entry   *Entry
	request *http.Request
	reply   reply
	// conn is nil if the connection of the caller does not come from a PipelineListener.
	conn *callerConn
	// isEarly means that the request runs in an earlyCall.
	isEarly bool

	// isClaimed is true if the gatekeeper on the local host owns the idempotency key of the
	// request and has claimed it.
	isClaimed bool
	started   time.Time
	// first is the caller's first attempt, as far as it is known; its deadline is zero if the caller gave
	// none. returnKey is the key of its failures.
	first     room.FirstAttempt
	returnKey room.ReturnKey
	// callerDeadline is the deadline of the caller, zero if it is unknown. That of the route may come
	// sooner.
	callerDeadline time.Time

	// Set by prepare.
	view        *entryView
	header      http.Header
	headerBytes int64
	// tenant is empty for requests without a tenant.
	tenant      core.TenantName
	route       *route.Route
	homeRegions *route.RegionSet
	idempotent  bool
	// key is the idempotency key whose owner has to run the request, "" if any upstream may.
	key string
	// service is the service of the route, or the one chosen by its traffic split.
	service  core.ServiceSpec
	deadline time.Time
	// target is the time of the latency target, zero if the route has none.
	target time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// attemptCtx is the context of the current attempt, and watch the one that may cancel it; both
	// are set by send.
	attemptCtx context.Context
	watch      *unresponsiveWatch
	// A request body is either buffered in body, a part of buffer, or read from stream.
	body   []byte
	buffer *[]byte
	pool   *bufferPool
	stream *streamBody
	// streamHash is that of the body as far as it was read from stream.
	streamHash *poison.Hash
	// countedTenant is the tenant towards whose quota the request was counted, "" if it was not.
	countedTenant core.TenantName
	// quotaDecision is the one for countedTenant.
	quotaDecision core.QuotaDecision

	// Changed by the attempts.
	choice   route.Choice
	attempts int
	// tried lists the hosts not to choose again; triedBuffer saves its allocation.
	tried       []core.HostName
	triedBuffer [4]core.HostName
	// mayHaveRun is set once an attempt ended without certainty that the request did not run.
	// From then on, no refusal says that it did not.
	mayHaveRun bool
	// receivedAttempts counts the attempts that an upstream may have received, capacityRefusals
	// those that a gatekeeper refused for lack of capacity.
	receivedAttempts int
	capacityRefusals int
	// retryAfter is the shortest time after which a gatekeeper expects a free slot, 0 if unknown.
	retryAfter time.Duration
}

// result is the result of one attempt.
type result struct {
	// answered is true if the answer was passed on to the caller.
	answered bool
	// final is true if another attempt would have the same result.
	final bool
	// retryAfter is the time after which the gatekeeper expects a free slot, 0 if unknown.
	retryAfter time.Duration
	failure    retry.Failure
	detail     string
	// crashed is the process that ended while it ran the request, "" if none did.
	crashed string
}

// failedAttempt returns the result of an attempt without an answer.
func failedAttempt(kind core.ErrorKind, notRun bool, detail string) result {
	return result{
		failure: retry.Failure{
			Kind:            kind,
			NotRun:          notRun,
			ReachedUpstream: !notRun,
		},
		detail: detail,
	}
}

// run makes attempts until one is answered or no further one is allowed.
func (c *call) run() {
	budget := c.budget()
	budget.CountRequest(c.started)
	c.identify()
	c.tried = c.triedBuffer[:0]
	r := c.attempt()
	for !r.answered {
		if !r.failure.NotRun {
			c.mayHaveRun = true
		}
		c.recordFailure(r)
		wait, ok := c.nextRetry(r, budget)
		if !ok || c.entry.config.Sleep(c.ctx, wait) != nil {
			c.giveUp(r)
			return
		}
		if kind, detail := c.refresh(); kind != "" {
			c.giveUp(failedAttempt(kind, true, detail))
			return
		}
		r = c.attempt()
	}
}

// refresh applies the newest configuration before another attempt, which may come seconds after
// the first one. An availability zone may have been taken out or the home regions changed since.
func (c *call) refresh() (core.ErrorKind, string) {
	// The transport may still be reading the headers of the previous attempt.
	c.header = maps.Clone(c.header)
	snapshot, kind := c.entry.config.Config.Snapshot()
	if snapshot == nil {
		return kind, "the daemon does not serve for now"
	}
	view := c.entry.viewFor(snapshot)
	if view == c.view {
		return "", ""
	}
	c.view = view
	if refusal, detail := c.matchRoute(); refusal != "" {
		return refusal, detail
	}
	if c.mayHaveRun && !c.idempotent {
		return core.OutcomeUnknown, "the route is no longer idempotent"
	}
	return "", ""
}

// attempt chooses an upstream and sends the request to its gatekeeper.
func (c *call) attempt() result {
	c.attempts++
	left := c.timeLeft()
	if left < time.Millisecond {
		return failedAttempt(core.DeadlineBeforeRun, true, "no time is left")
	}
	if c.ctx.Err() != nil {
		return c.interrupted(false)
	}
	if limit.HasPeerClosed(c.request.Context()) {
		r := failedAttempt(core.CanceledBeforeRun, true, "the caller has closed its connection")
		r.final = true
		return r
	}
	verdict, fingerprint := c.verdict()
	if verdict == core.VerdictQuarantined {
		r := failedAttempt(core.Quarantined, true, isQuarantined)
		r.final = true
		return r
	}
	if r, ok := c.choose(); !ok {
		return r
	}
	balancer := c.entry.balancer
	defer balancer.Release(c.choice)
	closesAt := c.entry.closing.begin(c.choice.Host.GateAddress)
	defer c.entry.closing.end(c.choice.Host.GateAddress)
	if r, ok := c.setClosing(closesAt); !ok {
		return r
	}
	c.tried = append(c.tried, c.choice.Host.Name)
	c.setAttemptHeaders(verdict, fingerprint)
	c.logDecision(core.DecisionSent, result{
		detail: c.choice.AwayReason(),
	})
	c.header[keyTimeout] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	c.entry.Counters.Attempts.Add(1)
	r := c.send()
	if r.answered && c.entry.config.Dialect != nil {
		c.entry.full.forget(c.fullKey(), c.choice.Host.Name)
	}
	c.recordOutcome(r)
	if !r.answered {
		now := c.entry.config.Clock.Now()
		balancer.RecordRefusal(now, c.choice, r.failure.Kind)
		if r.isCapacityRefusal() && r.retryAfter > 0 {
			c.entry.full.record(now, c.fullKey(), c.choice.Host.Name, r.retryAfter)
		}
		if c.choice.HasFreeSlot && r.isCapacityRefusal() && c.entry.config.Dialect != nil {
			// The upstream had no free slot after all. The request may still queue there if no
			// other upstream has one.
			c.tried = c.tried[:len(c.tried)-1]
		}
	}
	return r
}

// setClosing tells the gatekeeper when the connections of callers are closed. If that has come, ok is
// false, and the attempt is not made.
func (c *call) setClosing(closesAt time.Time) (_ result, ok bool) {
	delete(c.header, keyCloses)
	if closesAt.IsZero() {
		return result{}, true
	}
	left := closesAt.Sub(c.entry.config.Clock.Now())
	if left <= 0 {
		r := failedAttempt(core.Leaving, true, "the daemon is leaving")
		r.final = true
		return r, false
	}
	c.header[keyCloses] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	return result{}, true
}

// fullKey returns what the room for the request depends on.
func (c *call) fullKey() room.FullKey {
	return room.FullKey{
		Route:    c.route.Spec.Name,
		Priority: c.view.table.Snapshot().RequestPriority(&c.route.Spec, c.tenant),
		HasBody:  c.stream != nil || len(c.body) >= minExpectContinueBytes,
	}
}

func (c *call) send() result {
	c.attemptCtx, c.watch = c.watchUnresponsive()
	defer c.watch.stop()
	var r result
	if c.entry.config.LocalGate != nil && c.choice.Host.Name == c.entry.config.Self.Name {
		r = c.sendLocal()
	} else {
		r = c.sendRemote()
	}
	if !r.answered && !r.failure.NotRun && c.watch.hasCanceled() && c.ctx.Err() == nil {
		return c.lostAnswer(string(c.choice.Host.Name) + " gives no sign of life")
	}
	return r
}

// isCapacityRefusal reports whether a gatekeeper refused the attempt for lack of capacity.
func (r result) isCapacityRefusal() bool {
	if r.failure.ReachedUpstream {
		return false
	}
	switch r.failure.Kind {
	case core.Overloaded, core.Cold, core.Displaced:
		return true
	}
	return false
}

// setAttemptHeaders sets the headers for the gatekeeper that may differ between attempts.
func (c *call) setAttemptHeaders(verdict core.Verdict, fingerprint core.Fingerprint) {
	if c.entry.config.Dialect == nil {
		return
	}
	c.header[keyService] = []string{string(c.service.Name)}
	c.setNoticeHeaders()
	delete(c.header, keySuspect)
	if verdict == core.VerdictSuspect {
		c.header[keySuspect] = []string{fingerprint.String()}
	}
	delete(c.header, keyNoWait)
	if c.choice.HasFreeSlot && c.attempts < firstQueuedAttempt {
		c.header[keyNoWait] = noWaitValue
	}
	delete(c.header, keyTarget)
	if !c.target.IsZero() {
		left := c.target.Sub(c.entry.config.Clock.Now())
		c.header[keyTarget] = []string{strconv.FormatInt(max(left.Milliseconds(), 0), 10)}
	}
}

// firstQueuedAttempt is the first attempt that a gatekeeper may queue although its upstream seemed
// to have a free slot. From then on, the request waits rather than moves on to other upstreams.
const firstQueuedAttempt = 4

var noWaitValue = []string{"true"}

func (c *call) countOtherRegionBytes(query route.Query) {
	if c.choice.OtherRegion {
		c.entry.Counters.OtherRegionBytes.Add(query.Bytes)
	}
	c.countTraffic(query.Bytes + query.DeclaredBytes)
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration {
	return c.deadline.Sub(c.entry.config.Clock.Now())
}

// interrupted returns the result of an attempt that was ended by the deadline or with the caller's
// connection. The caller may still wait for the answer: the server also ends the context after a
// failed read.
func (c *call) interrupted(sent bool) result {
	// The server also cancels the caller's context when the read of a body exceeds the deadline.
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) || c.timeLeft() <= 0 {
		if sent {
			return failedAttempt(core.DeadlineInRun, false, "the deadline passed after the request was sent")
		}
		return failedAttempt(core.DeadlineBeforeRun, true, "the deadline passed before the request was sent")
	}
	if sent {
		return failedAttempt(core.Canceled, false, "the caller's connection ended after the request was sent")
	}
	return failedAttempt(core.CanceledBeforeRun, true, "the caller's connection ended before the request was sent")
}

// lostAnswer returns the result of an attempt that was sent but got no valid answer.
func (c *call) lostAnswer(detail string) result {
	if c.idempotent {
		return failedAttempt(core.UpstreamFailed, false, detail)
	}
	return failedAttempt(core.OutcomeUnknown, false, detail)
}

// giveUp refuses the request after its last attempt. A kind that says that the request did not
// run is kept only if this holds for all attempts.
func (c *call) giveUp(r result) {
	kind := r.failure.Kind
	if err := c.ctx.Err(); err != nil && r.failure.NotRun {
		kind = c.interrupted(c.mayHaveRun).failure.Kind
	}
	if c.mayHaveRun && kind.Info().NotRun {
		kind = c.lostAnswer("").failure.Kind
	}
	c.refuse(kind, r.detail)
}

func (c *call) refuse(kind core.ErrorKind, detail string) {
	c.returnQuota()
	c.entry.refusals.add(kind, detail)
	if c.stream != nil {
		c.stream.stopAndWait(c.reply.control)
	}
	// The context of a canceled request is that of its connection, so that later requests on it
	// would be canceled too.
	if c.closesConnection() || isCanceled(kind) {
		c.reply.closeConnection()
	}
	if c.stream == nil && c.buffer == nil && c.request.ContentLength != 0 {
		// The server reads the rest of a small body, which a slow caller could delay.
		_ = c.reply.control.SetReadDeadline(time.Now().Add(headerTimeout))
	}
	status := kind.Info().Status
	// A dialect may give the refusal of a request that can be repeated any status.
	c.reply.status = status
	if dialect := c.entry.config.Dialect; dialect != nil {
		status = dialect.SetRefusalHeaders(c.reply.w.Header(), core.Refusal{
			Kind:       kind,
			RequestID:  dialect.RequestID(c.request.Header),
			RetryAfter: c.returnAfter(kind),
		})
	}
	c.logAnswer(kind, status, detail)
	refuseWithStatus(c.reply.w, kind, status, detail)
	if c.stream != nil && !c.stream.isComplete() && !c.isClaimed {
		linger(c.reply.w, c.stream.body)
	}
}

// returnAfter returns when the caller of a request that found no room should come back, 0 if unknown.
func (c *call) returnAfter(kind core.ErrorKind) time.Duration {
	switch kind {
	case core.Overloaded, core.Displaced, core.Cold:
	default:
		return c.retryAfter
	}
	if c.target.IsZero() || c.callerDeadline.IsZero() {
		return c.retryAfter
	}
	config := &c.entry.config
	now := config.Clock.Now()
	random := float64(config.Random()>>11) / (1 << 53)
	return room.ReturnAfter(c.retryAfter, c.choice.ExpectedLatency(), c.target.Sub(now), c.callerDeadline.Sub(now), random)
}

func isCanceled(kind core.ErrorKind) bool {
	return kind == core.Canceled || kind == core.CanceledBeforeRun
}

// closesConnection reports whether the caller's connection is closed after this answer. For an early
// call, earlyCall decides whether the connection of a leaving entry is closed.
func (c *call) closesConnection() bool {
	if c.stream != nil && !c.stream.isComplete() {
		return true
	}
	return !c.isEarly && c.entry.closesAfterAnswer(c.conn)
}

// end releases the resources of the request. It also runs if the answer is aborted.
func (c *call) end() {
	c.recordFailed()
	if c.stream != nil {
		c.stream.stopAndWait(c.reply.control)
	}
	c.reply.end()
	if c.cancel != nil {
		c.cancel()
	}
	if c.buffer != nil {
		c.pool.put(c.buffer)
	}
}
