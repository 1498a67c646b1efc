package proxy

import "verbenaway/core"

// decide logs a decision about an attempt.
func (c *call) decide(kind core.DecisionKind, r result) {
	if c.entry.config.Decisions == nil {
		return
	}
	decision := c.decision(kind)
	decision.Error = r.failure.Kind
	decision.RetryAfter = r.retryAfter
	decision.Detail = r.detail
	c.entry.config.Decisions.RecordDecision(decision)
}

// decideEnd logs what the caller was answered; no error kind means an answer of the upstream.
func (c *call) decideEnd(kind core.Kind, status int, detail string) {
	if c.entry.config.Decisions == nil {
		return
	}
	end := core.DecisionAnswered
	switch {
	case kind == core.Canceled:
		end = core.DecisionCut
	case kind != "" && kind.Info().NotRun:
		end = core.DecisionRefused
	case kind != "":
		end = core.DecisionFailed
	}
	decision := c.decision(end)
	decision.Status = status
	decision.Error = kind
	decision.RetryAfter = c.retryAfter
	decision.Detail = detail
	c.entry.config.Decisions.RecordDecision(decision)
}

// decideCut logs that the answer broke off after it had begun.
func (c *call) decideCut() {
	c.decide(core.DecisionCut, result{
		detail: "the answer broke off",
	})
}

// decision fills in what is known of the request so far.
func (c *call) decision(kind core.DecisionKind) core.Decision {
	now := c.entry.config.Clock.Now()
	decision := core.Decision{
		Kind:     kind,
		Service:  c.service.Name,
		Host:     c.choice.Host.Name,
		Instance: c.choice.Host.Instance,
		Attempt:  c.attempts,
		Elapsed:  now.Sub(c.began),
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
