package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"verbenaway/core"
	"verbenaway/core/retry"
	"verbenaway/core/route"
)

// call is one request on its way through the entry.
type call struct {
	entry   *Entry
	request *http.Request
	reply   reply

	// isClaimed says that the gatekeeper of the own host owns the key of the request and has
	// claimed it.
	isClaimed bool
	began     time.Time

	// Set by prepare.
	view        *entryView
	header      http.Header
	headerBytes int64
	route       *route.Route
	homes       *route.RegionSet
	idempotent  bool
	// key is the idempotency key of a non-idempotent request, "" if it has none.
	key string
	// service is the one that the route, or the chosen part of it, leads to.
	service  core.ServiceSpec
	deadline time.Time
	// target is the time until which an answer is of full use to the caller.
	target time.Time
	ctx    context.Context
	cancel context.CancelFunc
	// tryCtx is that of the current attempt.
	tryCtx context.Context
	// A body is either kept or streamed, or there is none.
	body   []byte
	buffer *[]byte
	pool   *bufferPool
	stream *streamBody

	// Changed by the attempts.
	choice   route.Choice
	attempts int
	tried    []core.HostName
	triedOn  [4]core.HostName
	// mayHaveRun is set once an attempt ended without certainty. From then on no answer of
	// the entry claims that the request did not run.
	mayHaveRun bool
	// arrivals counts the attempts that an upstream may have got, fullOnes those that a
	// gatekeeper without room declined.
	arrivals int
	fullOnes int
	// retryAfter is the shortest time after which a gatekeeper expects room.
	retryAfter time.Duration
}

// result is what one attempt came to.
type result struct {
	// answered is true if the answer went to the caller.
	answered bool
	// final is true if another attempt cannot come to anything else.
	final bool
	// retryAfter is when the gatekeeper expects room, 0 if it does not say.
	retryAfter time.Duration
	failure    retry.Failure
	detail     string
}

// failed returns the result of an attempt without answer.
func failed(kind core.Kind, notRun bool, detail string) result {
	return result{
		failure: retry.Failure{
			Kind:            kind,
			NotRun:          notRun,
			ReachedUpstream: !notRun,
		},
		detail: detail,
	}
}

// run makes attempts until one is answered or no other one makes sense.
func (c *call) run() {
	budget := c.budget()
	budget.Request(c.began)
	c.tried = c.triedOn[:0]
	r := c.attempt()
	for !r.answered {
		if !r.failure.NotRun {
			c.mayHaveRun = true
		}
		c.note(r)
		wait, ok := c.next(r, budget)
		if !ok || c.entry.config.Sleep(c.ctx, wait) != nil {
			c.giveUp(r)
			return
		}
		if kind, detail := c.refresh(); kind != "" {
			c.giveUp(failed(kind, true, detail))
			return
		}
		r = c.attempt()
	}
}

// next tells whether and when to try again.
func (c *call) next(r result, budget core.RetryBudget) (time.Duration, bool) {
	isWhole := c.stream == nil || c.stream.endAttempt()
	if r.final || !isWhole || c.ctx.Err() != nil || !retry.Allowed(c.idempotent, r.failure) {
		return 0, false
	}
	config := &c.entry.config
	if config.Dialect != nil {
		return c.nextUpstream(r, budget)
	}
	pace := retry.OtherUpstreamBackoff
	if c.key != "" {
		pace = retry.OwnerBackoff
	}
	return pace.Next(config.Clock.Now(), c.deadline, c.attempts, budget, config.Random())
}

// budget returns the retry budget that the request belongs to.
func (c *call) budget() core.RetryBudget {
	if c.entry.config.NewBudget != nil {
		return c.view.services[c.service.Name]
	}
	return c.view.budgets[c.route.Spec.Name]
}

// note keeps what an attempt without answer tells about the next one.
func (c *call) note(r result) {
	if r.failure.ReachedUpstream {
		c.arrivals++
	}
	if r.isFull() {
		c.fullOnes++
	}
	if r.retryAfter > 0 && (c.retryAfter == 0 || r.retryAfter < c.retryAfter) {
		c.retryAfter = r.retryAfter
	}
	c.decide(core.DecisionSentBack, r)
}

// nextUpstream tells whether and when to try again where gatekeepers see all that reaches
// their upstreams: only what an upstream may have got counts as a repeat.
func (c *call) nextUpstream(r result, budget core.RetryBudget) (time.Duration, bool) {
	config := &c.entry.config
	now := config.Clock.Now()
	if r.isFull() && c.hasSearched(now) {
		return 0, false
	}
	if c.arrivals == 0 {
		return retry.DeclinedBackoff.NextWithoutBudget(now, c.deadline, c.attempts, config.Random())
	}
	if most := c.route.Spec.MaxAttempts; most > 0 && c.arrivals >= most || c.attempts >= retry.DeclinedBackoff.MaxAttempts {
		return 0, false
	}
	pace := retry.OtherUpstreamBackoff
	if !r.failure.ReachedUpstream {
		// The repeat that was paid for has not reached an upstream yet.
		return pace.NextWithoutBudget(now, c.deadline, c.arrivals, config.Random())
	}
	return pace.Next(now, c.deadline, c.arrivals, budget, config.Random())
}

const (
	// mostFull bounds the gatekeepers without room that a request is offered to: each one
	// tells its backlog, after which others seldom have better news.
	mostFull = 4
	// searchShare is the share of the latency target after which the caller is rather sent
	// away, to come back later, than offered to another full upstream.
	searchShare = 0.12
	// leastSearch is allowed whatever the target is: two upstreams in other regions take so
	// long to decline.
	leastSearch = 60 * time.Millisecond
)

// hasSearched tells whether a request has been declined for lack of room often or long enough.
func (c *call) hasSearched(now time.Time) bool {
	target := c.target
	if target.IsZero() {
		target = c.deadline
	}
	limit := max(time.Duration(searchShare*float64(target.Sub(c.began))), leastSearch)
	return c.fullOnes >= mostFull || now.Sub(c.began) > limit
}

// refresh takes the newest configuration for another attempt, which may come seconds after
// the first one: by then a zone may be out or the home regions others.
func (c *call) refresh() (core.Kind, string) {
	// The transport may still be reading the headers of the last attempt.
	c.header = maps.Clone(c.header)
	snapshot, kind := c.entry.config.Config.Snapshot()
	if snapshot == nil {
		return kind, "the daemon does not serve for now"
	}
	view := c.entry.viewOf(snapshot)
	if view == c.view {
		return "", ""
	}
	c.view = view
	if refusal, detail := c.match(); refusal != "" {
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
	left := c.left()
	if left < time.Millisecond {
		return failed(core.DeadlineBeforeRun, true, "no time is left")
	}
	if r, ok := c.choose(); !ok {
		return r
	}
	balancer := c.entry.balancer
	defer balancer.Release(c.choice)
	c.tried = append(c.tried, c.choice.Host.Name)
	c.setAttempt()
	c.decide(core.DecisionSent, result{})
	c.header[keyTimeout] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	c.entry.Counters.Attempts.Add(1)
	r := c.send()
	if !r.answered {
		balancer.RecordRefusal(c.entry.config.Clock.Now(), c.choice, r.failure.Kind)
		if c.choice.HasFreeSlot && r.isFull() && c.entry.config.Dialect != nil {
			// The guess was wrong; the request may still wait there if nobody has room.
			c.tried = c.tried[:len(c.tried)-1]
		}
	}
	return r
}

// send sends the request to the chosen gatekeeper.
func (c *call) send() result {
	var watch *silenceWatch
	c.tryCtx, watch = c.watchSilence()
	defer watch.stop()
	var r result
	if c.entry.config.LocalGate != nil && c.choice.Host.Name == c.entry.config.Self.Name {
		r = c.sendLocal()
	} else {
		r = c.sendRemote()
	}
	if !r.answered && watch.hasEnded() && c.ctx.Err() == nil {
		return c.broken(string(c.choice.Host.Name) + " gives no sign of life")
	}
	return r
}

// isFull tells whether a gatekeeper had no room.
func (r result) isFull() bool {
	return !r.failure.ReachedUpstream && (r.failure.Kind == core.Overloaded || r.failure.Kind == core.Cold)
}

// setAttempt sets the headers that tell the gatekeeper how to treat this attempt.
func (c *call) setAttempt() {
	if c.entry.config.Dialect == nil {
		return
	}
	c.header[keyService] = []string{string(c.service.Name)}
	delete(c.header, keyNoWait)
	if c.choice.HasFreeSlot && c.attempts < mostGuesses {
		c.header[keyNoWait] = noWaitText
	}
	delete(c.header, keyTarget)
	if !c.target.IsZero() {
		left := c.target.Sub(c.entry.config.Clock.Now())
		c.header[keyTarget] = []string{strconv.FormatInt(max(left.Milliseconds(), 0), 10)}
	}
}

// mostGuesses bounds the attempts at upstreams that only seem to have room; after them the
// request rather waits than moves on.
const mostGuesses = 4

var noWaitText = []string{"true"}

// choose sets the choice; not ok comes with the reason why there is none.
func (c *call) choose() (result, bool) {
	query := c.query()
	if c.key != "" {
		return c.chooseOwner(query)
	}
	now := c.entry.config.Clock.Now()
	choose := c.entry.balancer.Choose
	if c.entry.config.Dialect != nil {
		choose = c.entry.balancer.ChooseByCost
	}
	var ok bool
	if c.choice, ok = choose(now, query); !ok && len(c.tried) > 0 {
		// Every upstream refused once. After the backoff each of them may have a free slot.
		c.tried = c.tried[:0]
		query.Tried = nil
		c.choice, ok = choose(now, query)
	}
	if !ok {
		r := failed(core.NoUpstream, true, "no upstream of service "+string(c.service.Name)+" can take the request")
		r.final = true
		return r, false
	}
	c.countOtherRegion(query)
	return result{}, true
}

// chooseOwner sets the choice to the owner of the key, which alone may run the request.
func (c *call) chooseOwner(query route.Query) (result, bool) {
	config := &c.entry.config
	owner, ok := config.Owner(c.key, query.Members)
	if !ok {
		return failed(core.NotOwner, true, "no member of service "+string(c.route.Spec.Service)+
			" may own the key yet; a daemon owns keys from 10 s after its start"), false
	}
	if c.choice, ok = c.entry.balancer.ChooseOwner(config.Clock.Now(), query, owner.Name); !ok {
		return failed(core.NoUpstream, true, "the owner "+string(owner.Name)+" of the key can take no new work"), false
	}
	c.countOtherRegion(query)
	return result{}, true
}

func (c *call) query() route.Query {
	query := route.Query{
		Service:     c.service,
		Route:       c.route.Spec.Name,
		Target:      time.Duration(c.route.Spec.LatencyTarget),
		HomeRegions: c.homes,
		Snapshot:    c.view.table.Snapshot(),
		Members:     c.entry.config.Members.ServiceMembers(c.service.Name),
		Tried:       c.tried,
		Bytes:       c.headerBytes + int64(len(c.body)),
	}
	if c.stream != nil {
		query.DeclaredBytes = max(c.request.ContentLength, 0)
	}
	return query
}

func (c *call) countOtherRegion(query route.Query) {
	if c.choice.OtherRegion {
		c.entry.Counters.OtherRegionBytes.Add(query.Bytes)
	}
}

// left returns the time until the deadline.
func (c *call) left() time.Duration {
	return c.deadline.Sub(c.entry.config.Clock.Now())
}

// stopped returns the result of an attempt that ended with the deadline or the caller.
func (c *call) stopped(sent bool) result {
	// The server also ends the caller's context when the read of a body meets the deadline.
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) || c.left() <= 0 {
		if sent {
			return failed(core.DeadlineInRun, false, "the deadline passed after the request was sent")
		}
		return failed(core.DeadlineBeforeRun, true, "the deadline passed before the request was sent")
	}
	return failed(core.Canceled, false, "the caller went away")
}

// broken returns the result of an attempt whose answer was lost after it was sent.
func (c *call) broken(detail string) result {
	if c.idempotent {
		return failed(core.UpstreamFailed, false, detail)
	}
	return failed(core.OutcomeUnknown, false, detail)
}

// giveUp refuses the request after its last attempt. A kind that says "not run" stands
// only if it holds for all attempts.
func (c *call) giveUp(r result) {
	kind := r.failure.Kind
	if err := c.ctx.Err(); err != nil && r.failure.NotRun {
		kind = c.stopped(c.mayHaveRun).failure.Kind
	}
	if c.mayHaveRun && kind.Info().NotRun {
		kind = c.broken("").failure.Kind
	}
	c.refuse(kind, r.detail)
}

// refuse answers the caller with an error kind.
func (c *call) refuse(kind core.Kind, detail string) {
	c.entry.refusals.add(kind, detail)
	if c.stream != nil {
		c.stream.stopAndWait(c.reply.control)
	}
	if c.isLast() {
		c.reply.closeAfter()
	}
	if c.stream == nil && c.buffer == nil && c.request.ContentLength != 0 {
		// The server reads the rest of a small body, for which a caller may take its time.
		_ = c.reply.control.SetReadDeadline(time.Now().Add(headerTime))
	}
	status := kind.Info().Status
	if dialect := c.entry.config.Dialect; dialect != nil {
		status = dialect.SetRefusalHeaders(c.reply.w.Header(), core.Refusal{
			Kind:       kind,
			RequestID:  dialect.RequestID(c.request.Header),
			RetryAfter: c.retryAfter,
		})
	}
	c.decideEnd(kind, status, detail)
	refuseAs(c.reply.w, kind, status, detail)
}

// isLast tells whether the caller's connection ends with this answer.
func (c *call) isLast() bool {
	return c.entry.isLeaving() || c.stream != nil && !c.stream.isComplete()
}

// end releases what the request holds. It also runs when the answer breaks off.
func (c *call) end() {
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
