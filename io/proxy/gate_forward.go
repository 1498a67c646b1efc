package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/io/limit"
)

// gateNotForUpstream holds the request headers that are not forwarded to the upstream.
var gateNotForUpstream = headerSet(hopByHopHeaders, daemonHeaders)

// gateNotForCaller holds the headers that an upstream cannot set for the caller. An upstream
// that copies HeaderOutcome from the answer to another call must not affect this one.
var gateNotForCaller = headerSet(hopByHopHeaders, daemonHeaders, []string{
	HeaderLoad,
	HeaderError,
	HeaderOutcome,
	HeaderBootID,
	HeaderShed,
})

func headerSet(lists ...[]string) map[string]bool {
	set := map[string]bool{}
	for _, list := range lists {
		for _, name := range list {
			set[http.CanonicalHeaderKey(name)] = true
		}
	}
	return set
}

// forward sends the call to the upstream and the answer to the caller. It returns a kind if no
// complete answer was sent.
func (c *gateCall) forward() (core.ErrorKind, string) {
	ctx, cancel := c.context()
	defer cancel()
	transport, err := c.gate.transport.forSnapshot(c.snapshot)
	if err != nil {
		return core.Internal, err.Error()
	}
	if c.request.Body != nil && c.request.Body != http.NoBody {
		// Without full duplex the server would read the rest of the body before it writes an
		// answer, while the upstream still reads it.
		c.body = newGateBody(c.writer, c.request.Body)
		if c.admitRequest.BodyBytes > 0 {
			c.body.onEnd = func() {
				c.gate.bodyArrived(&c.ticket)
			}
		}
		_ = c.body.controller.EnableFullDuplex()
		defer context.AfterFunc(ctx, c.body.interrupt)()
		defer func() {
			c.body.release(c.wroteHeader)
		}()
	}
	if kind, detail := c.resolveInstance(); kind != "" {
		return kind, detail
	}
	if quarantine := c.gate.config.Quarantine; quarantine != nil && c.admitRequest.IsSuspect && quarantine.Verdict(c.suspect) == core.VerdictQuarantined {
		return core.Quarantined, isQuarantined
	}
	if c.recorder == nil && limit.HasPeerClosed(c.request.Context()) {
		return core.CanceledBeforeRun, "the sender has closed its connection"
	}
	trace := &gateTrace{
		owner: limit.ConnOf(c.request.Context()),
	}
	defer trace.release()
	c.outcome = gateUnknown
	c.sentAt = c.gate.config.Clock.Now()
	c.gate.counters.Sent.Add(1)
	c.logDecision(core.DecisionAdmitted, "", "")
	response, err := transport.RoundTrip(c.upstreamRequest(ctx, trace))
	if trace.isReplayed() {
		c.gate.counters.Replayed.Add(1)
		c.report(admit.SignalReset, "")
	}
	if err != nil {
		return c.classifyFailure(ctx, err, trace)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if err = checkHead(response); err != nil {
		c.reachedUpstream = true
		trace.closeConn()
		c.report(admit.SignalReset, "")
		return c.lostAnswerKind(true), malformedAnswer + err.Error()
	}
	if c.gate.config.Dialect != nil {
		if kind, detail := c.classifyAnswer(response, trace); kind != "" {
			return kind, detail
		}
		c.recordSlowness(response.Header)
	} else {
		c.observeNotice(response.Header)
	}
	bootID := firstValue(response.Header, keyBootID)
	if firstValue(response.Header, keyShed) != "" {
		c.report(admit.SignalShed, bootID)
		gateDiscard(response.Body)
		if trace.isReplayed() {
			return core.UpstreamFailed, "the upstream sheds load after a lost answer"
		}
		c.outcome = gateNotRun
		return core.Overloaded, "the upstream sheds load"
	}
	c.outcome = gateDone
	signal := admit.SignalAnswered
	if response.StatusCode >= http.StatusInternalServerError {
		signal = admit.SignalFailed
	}
	c.report(signal, bootID)
	return c.answer(response)
}

// malformedAnswer begins the detail of an answer that checkHead does not accept.
const malformedAnswer = "the answer is malformed: "

// resolveInstance sets the instance to the process registered now: another one may have taken
// the address while the request was queued.
func (c *gateCall) resolveInstance() (core.ErrorKind, string) {
	if c.gate.config.Upstream == nil {
		return "", ""
	}
	member, ok := c.gate.config.Upstream()
	if !ok || member.Host.Service != c.admitRequest.Service {
		return core.NoUpstream, "the upstream is no longer registered"
	}
	c.instance = member.Host.Instance
	return "", ""
}

// classifyAnswer classifies an answer by the dialect of the platform. It returns a kind if the
// answer is not sent to the caller.
func (c *gateCall) classifyAnswer(response *http.Response, trace *gateTrace) (core.ErrorKind, string) {
	c.reachedUpstream = true
	dialect := c.gate.config.Dialect
	class := dialect.ClassifyAnswer(c.request.Header, response.StatusCode, response.Header)
	requestID := dialect.RequestID(c.request.Header)
	if !class.IsMismatched && trace.mayBeCopy(class.IsIdentified, requestID) {
		class = core.AnswerClass{
			IsMismatched: true,
			Detail:       "the answer may be a copy of an earlier one on its connection",
		}
	}
	if !class.IsMismatched && class.Kind != core.NoUpstream {
		// The notice is that of the registered upstream.
		c.observeNotice(response.Header)
	}
	switch {
	case class.IsMismatched:
		// More unrequested answers may follow on the connection.
		trace.closeConn()
		c.report(admit.SignalReset, "")
		return c.lostAnswerKind(true), class.Detail
	case class.IsNotRun:
		trace.recordRefusal(requestID)
		c.report(admit.SignalShed, "")
		gateDiscard(response.Body)
		c.outcome = gateNotRun
		return class.Kind, class.Detail
	}
	return "", ""
}

func (c *gateCall) upstreamRequest(ctx context.Context, trace *gateTrace) *http.Request {
	request := &http.Request{
		Method:        c.request.Method,
		URL:           forwardedURL(c.request, c.gate.config.UpstreamAddress),
		Host:          c.request.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        gateCopyHeader(make(http.Header, len(c.request.Header)), c.request.Header, gateNotForUpstream),
		ContentLength: c.request.ContentLength,
		// The server sets the trailer values while the body is read.
		Trailer: c.request.Trailer,
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := deadline.Sub(c.gate.config.Clock.Now()).Milliseconds()
		if dialect := c.gate.config.Dialect; dialect != nil {
			delete(request.Header, keyTimeout)
			dialect.SetUpstreamHeaders(request.Header, c.instance, time.Duration(max(left, 1))*time.Millisecond)
			if tenant := c.admitRequest.Tenant; tenant != "" {
				delete(request.Header, keyTenant)
				dialect.SetTenant(request.Header, tenant)
			}
		} else {
			request.Header[keyTimeout] = []string{strconv.FormatInt(max(left, 1), 10)}
		}
	}
	if c.body != nil {
		request.Body = c.body
	}
	// A replay by http.Transport would be a retry that the retry budget of the entry does not
	// cover.
	if !c.route.Idempotent || c.gate.config.Dialect != nil {
		gateForbidReplay(request)
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, trace.hooks()))
}

// gateCopyHeader copies a header to another, except for the given names and those listed in its
// Connection header. The values are shared, not copied.
func gateCopyHeader(to, from http.Header, without map[string]bool) http.Header {
	for name, values := range from {
		if !without[name] {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}

// classifyFailure maps the error of an attempt to a kind. A request of which no byte was written
// has not run; any other may have.
func (c *gateCall) classifyFailure(ctx context.Context, err error, trace *gateTrace) (core.ErrorKind, string) {
	isSent := trace.isSent()
	c.reachedUpstream = isSent
	if !isSent {
		c.outcome = gateNotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && isSent:
		return core.DeadlineInRun, "the deadline passed while the upstream ran the request"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return core.DeadlineBeforeRun, "the deadline passed while connecting to the upstream"
	case ctx.Err() != nil && isSent:
		return core.Canceled, "the caller went away while the upstream ran the request"
	case ctx.Err() != nil:
		return core.CanceledBeforeRun, "the caller went away before the request was sent"
	case !trace.isConnected():
		c.report(admit.SignalRefused, "")
		return core.NoUpstream, "no connection to the upstream: " + err.Error()
	}
	if c.body != nil && c.body.isBroken() {
		// The caller's side failed, which says nothing about the upstream.
		return c.lostAnswerKind(isSent), "the body of the request broke off"
	}
	c.report(admit.SignalReset, "")
	if isSent {
		c.checkForCrash()
	}
	return c.lostAnswerKind(isSent), "the upstream did not answer: " + err.Error()
}

// lostAnswerKind returns the kind for a request whose answer was lost.
func (c *gateCall) lostAnswerKind(isSent bool) core.ErrorKind {
	switch {
	case !isSent:
		return core.NoUpstream
	case c.route.Idempotent:
		return core.UpstreamFailed
	}
	return core.OutcomeUnknown
}
