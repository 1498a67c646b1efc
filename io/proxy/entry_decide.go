package proxy

import "verbenaway/core"

func (c *call) logDecision(kind core.DecisionKind, r result) {
	if c.entry.config.Decisions == nil {
		return
	}
	decision := c.newDecision(kind)
	decision.Error = r.failure.Kind
	decision.RetryAfter = r.retryAfter
	decision.Detail = r.detail
	if r.crashed != "" {
		if fingerprint, ok := c.fingerprint(); ok {
			decision.Fingerprint = &fingerprint
		}
	}
	c.entry.config.Decisions.RecordDecision(decision)
}

// logAnswer logs the answer to the caller; an empty kind means an answer of the upstream.
func (c *call) logAnswer(kind core.ErrorKind, status int, detail string) {
	if c.entry.config.Decisions == nil {
		return
	}
	decisionKind := core.DecisionAnswered
	switch {
	case isCanceled(kind):
		decisionKind = core.DecisionCut
	case kind != "" && kind.Info().NotRun:
		decisionKind = core.DecisionRefused
	case kind != "":
		decisionKind = core.DecisionFailed
	}
	decision := c.newDecision(decisionKind)
	decision.Status = status
	decision.Error = kind
	decision.RetryAfter = c.retryAfter
	decision.Detail = detail
	c.entry.config.Decisions.RecordDecision(decision)
}

// logCut logs that the answer was cut off after its headers were sent, and why.
func (c *call) logCut(detail string) {
	c.logDecision(core.DecisionCut, result{
		detail: detail,
	})
}

// answerBrokeOff is the reason of an answer whose end did not arrive, callerTookNoMore that of one which
// could not be sent.
const (
	answerBrokeOff   = "the answer broke off"
	callerTookNoMore = "the caller took no more of the answer"
)

// newDecision returns a decision with what is known of the request so far.
func (c *call) newDecision(kind core.DecisionKind) core.Decision {
	now := c.entry.config.Clock.Now()
	decision := core.Decision{
		Kind:     kind,
		Service:  c.service.Name,
		Tenant:   c.tenant,
		Host:     c.choice.Host.Name,
		Instance: c.choice.Host.Instance,
		Attempt:  c.attempts,
		Elapsed:  now.Sub(c.started),
	}
	if c.entry.config.Dialect != nil {
		decision.RequestID = c.entry.config.Dialect.RequestID(c.request.Header)
	}
	if c.route != nil {
		decision.Route = c.route.Spec.Name
	}
	if c.view != nil {
		snapshot := c.view.table.Snapshot()
		decision.Version, decision.Revision = snapshot.Version, snapshot.Revision
	}
	if !c.deadline.IsZero() {
		decision.Left = c.deadline.Sub(now)
	}
	return decision
}
