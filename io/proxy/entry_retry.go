package proxy

import (
	"time"

	"verbenaway/core"
	"verbenaway/core/retry"
)

// nextRetry reports whether to make another attempt, and how long to wait before it.
func (c *call) nextRetry(r result, budget core.RetryBudget) (time.Duration, bool) {
	canResend := c.stream == nil || c.stream.endAttempt()
	if r.final || !canResend || c.ctx.Err() != nil || !retry.Allowed(c.idempotent, r.failure) {
		return 0, false
	}
	config := &c.entry.config
	if config.Dialect != nil {
		return c.nextRetryWithDialect(r, budget)
	}
	backoff := retry.OtherUpstreamBackoff
	if c.key != "" {
		backoff = retry.OwnerBackoff
	}
	return backoff.Next(config.Clock.Now(), c.deadline, c.attempts, budget, config.Random())
}

func (c *call) budget() core.RetryBudget {
	if c.entry.config.NewBudget != nil {
		return c.view.serviceBudgets[c.service.Name]
	}
	return c.view.routeBudgets[c.route.Spec.Name]
}

// recordFailure records what an attempt without an answer means for the next one.
func (c *call) recordFailure(r result) {
	if r.failure.ReachedUpstream {
		c.receivedAttempts++
	}
	if r.isCapacityRefusal() {
		c.capacityRefusals++
	}
	if r.retryAfter > 0 && (c.retryAfter == 0 || r.retryAfter < c.retryAfter) {
		c.retryAfter = r.retryAfter
	}
	c.logDecision(core.DecisionSentBack, r)
}

// nextRetryWithDialect is nextRetry where gatekeepers see all requests to their upstreams: only
// attempts that an upstream may have received count as retries.
func (c *call) nextRetryWithDialect(r result, budget core.RetryBudget) (time.Duration, bool) {
	config := &c.entry.config
	now := config.Clock.Now()
	if r.isCapacityRefusal() && c.isSearchOver(now) {
		return 0, false
	}
	if c.receivedAttempts == 0 {
		return retry.DeclinedBackoff.NextWithoutBudget(now, c.deadline, c.attempts, config.Random())
	}
	if limit := c.route.Spec.MaxAttempts; limit > 0 && c.receivedAttempts >= limit || c.attempts >= retry.DeclinedBackoff.MaxAttempts {
		return 0, false
	}
	backoff := retry.OtherUpstreamBackoff
	if !r.failure.ReachedUpstream {
		// The retry that was taken from the budget has not reached an upstream yet.
		return backoff.NextWithoutBudget(now, c.deadline, c.receivedAttempts, config.Random())
	}
	return backoff.Next(now, c.deadline, c.receivedAttempts, budget, config.Random())
}

const (
	// maxCapacityRefusals limits the refusals of a request for lack of capacity. Each refusal
	// reports the load of its upstream, and after this many, other upstreams seldom accept.
	maxCapacityRefusals = 4
	// maxSearchShare is the share of the time until the latency target (or else the deadline) in
	// which a request is sent on after a refusal for lack of capacity. Then it is refused, so that
	// the caller retries later, since other upstreams may be full too.
	maxSearchShare = 0.12
	// minSearchTime is allowed for any target: the refusals of two upstreams in other regions
	// take that long.
	minSearchTime = 60 * time.Millisecond
	// minReturnTime is the time left from which a caller can come back after a refusal. With less, a
	// refusal is the end of the request, so that the search goes on as long as it can succeed.
	minReturnTime = 150 * time.Millisecond
)

// isSearchOver reports whether the limits on refusals for lack of capacity are reached.
func (c *call) isSearchOver(now time.Time) bool {
	if c.isLastChance(now) {
		return false
	}
	target := c.target
	if target.IsZero() {
		target = c.deadline
	}
	limit := max(time.Duration(maxSearchShare*float64(target.Sub(c.started))), minSearchTime)
	return c.capacityRefusals >= maxCapacityRefusals || now.Sub(c.started) > limit
}

// isLastChance reports whether the caller could not come back in time after a refusal, while an answer
// may still be in time.
func (c *call) isLastChance(now time.Time) bool {
	left := c.deadline.Sub(now)
	return left >= minSearchTime && left < minReturnTime && !c.callerDeadline.After(c.deadline)
}
