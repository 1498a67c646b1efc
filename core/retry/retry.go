package retry

import (
	"time"

	"verbenaway/core"
)

// Failure describes a failed attempt.
type Failure struct {
	Kind core.ErrorKind
	// NotRun is true only if it is certain that no upstream has run the request.
	NotRun bool
	// ReachedUpstream is false only if it is certain that no upstream received the request.
	ReachedUpstream bool
}

// Allowed reports whether a request may be retried after a failure. A request that has certainly
// not run may be retried if the kind of failure makes that useful. After any other failure only
// idempotent requests may be retried, and only if the answer was lost: after the deadline, or if
// the caller has disconnected, nobody waits for it.
func Allowed(idempotent bool, failure Failure) bool {
	if failure.NotRun {
		return failure.Kind.Info().Retry
	}
	switch failure.Kind {
	case core.OutcomeUnknown, core.UpstreamFailed:
		return idempotent
	}
	return false
}

// Backoff is an exponential backoff with a limit on the attempts.
type Backoff struct {
	// Initial limits the wait before the first retry. The limit doubles with each retry, up to
	// Max.
	Initial time.Duration
	Max     time.Duration
	// MaxAttempts limits the attempts of one request, including the first; at 0 only the deadline
	// and the budget limit them.
	MaxAttempts int
}

// The backoffs by kind of retry.
var (
	// OtherUpstreamBackoff is for retries on another upstream, which can be sent almost at once.
	OtherUpstreamBackoff = Backoff{
		Initial:     2 * time.Millisecond,
		Max:         100 * time.Millisecond,
		MaxAttempts: 4,
	}
	// DeclinedBackoff is for requests that a gatekeeper declined before its upstream received them.
	// The next gatekeeper is tried at once, limited by the deadline and the number of attempts.
	DeclinedBackoff = Backoff{
		MaxAttempts: 8,
	}
	// OwnerBackoff is for retries on the owner of an idempotency key, which needs time to free a
	// slot or to be succeeded by another owner.
	OwnerBackoff = Backoff{
		Initial: 10 * time.Millisecond,
		Max:     500 * time.Millisecond,
	}
)

// minAttemptTime is the time that has to be left for an attempt after the wait. A call within a
// region takes about as long.
const minAttemptTime = 2 * time.Millisecond

// Next reports whether to make another attempt after the given number of attempts, and how long
// to wait before it. It takes from the budget only if the other limits allow the attempt.
func (b Backoff) Next(now, deadline time.Time, attempts int, budget core.RetryBudget, random uint64) (wait time.Duration, ok bool) {
	if wait, ok = b.NextWithoutBudget(now, deadline, attempts, random); !ok {
		return 0, false
	}
	return wait, budget.Take(now)
}

// NextWithoutBudget is Next for an attempt that takes nothing from the budget.
func (b Backoff) NextWithoutBudget(now, deadline time.Time, attempts int, random uint64) (wait time.Duration, ok bool) {
	if b.MaxAttempts > 0 && attempts >= b.MaxAttempts {
		return 0, false
	}
	wait = b.wait(attempts, random)
	return wait, deadline.Sub(now) >= wait+minAttemptTime
}

// wait returns a random time up to the current limit (full jitter), which spreads the retries of
// requests that failed together.
func (b Backoff) wait(attempts int, random uint64) time.Duration {
	limit := b.Initial
	for range attempts - 1 {
		if limit *= 2; limit >= b.Max {
			limit = b.Max
			break
		}
	}
	return time.Duration(random % uint64(limit+1))
}
