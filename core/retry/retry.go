package retry

import (
	"time"

	"verbenaway/core"
)

// Failure is what an attempt came to.
type Failure struct {
	Kind core.Kind
	// NotRun is true only if it is certain that the attempt ran nothing.
	NotRun bool
	// Arrived is false only if it is certain that no upstream got the request.
	Arrived bool
}

// Allowed tells whether a request may be sent again after a failure at all. An attempt
// that has certainly not run may be repeated if its kind makes that useful. After any
// other failure an idempotent request alone may be repeated, and only if the answer was
// lost: when the deadline has passed or the caller is gone nobody waits for it.
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

// Pace is the backoff before the attempts after the first.
type Pace struct {
	// First bounds the wait before the first retry; it doubles with each one.
	First   time.Duration
	Longest time.Duration
	// Attempts bounds the attempts of one request, the first included; 0 means that only
	// the deadline and the budget do.
	Attempts int
}

// The paces. Another upstream can be asked almost at once, while the owner of a key needs
// time to get a slot free or to be succeeded by another.
var (
	ElsewherePace = Pace{
		First:    2 * time.Millisecond,
		Longest:  100 * time.Millisecond,
		Attempts: 4,
	}
	// DeclinedPace is for requests that gatekeepers decline before their upstreams see them.
	// Another one is asked at once; only the deadline and the number of attempts bound it.
	DeclinedPace = Pace{
		Attempts: 8,
	}
	OwnerPace = Pace{
		First:   10 * time.Millisecond,
		Longest: 500 * time.Millisecond,
	}
)

// leastLeft is the time that has to be left after the wait for an attempt to make sense: a
// call within a region takes about as long.
const leastLeft = 2 * time.Millisecond

// Next tells whether to make another attempt after the given number of attempts, and how
// long to wait before it. It uses up budget only if it does.
func (p Pace) Next(now, deadline time.Time, attempts int, budget core.RetryBudget, random uint64) (wait time.Duration, ok bool) {
	if wait, ok = p.Free(now, deadline, attempts, random); !ok {
		return 0, false
	}
	return wait, budget.Take(now)
}

// Free is Next for an attempt that needs no budget.
func (p Pace) Free(now, deadline time.Time, attempts int, random uint64) (wait time.Duration, ok bool) {
	if p.Attempts > 0 && attempts >= p.Attempts {
		return 0, false
	}
	wait = p.wait(attempts, random)
	return wait, deadline.Sub(now) >= wait+leastLeft
}

// wait draws from the whole range up to the backoff, which spreads the retries of requests
// that failed together.
func (p Pace) wait(attempts int, random uint64) time.Duration {
	backoff := p.First
	for range attempts - 1 {
		if backoff *= 2; backoff >= p.Longest {
			backoff = p.Longest
			break
		}
	}
	return time.Duration(random % uint64(backoff+1))
}
