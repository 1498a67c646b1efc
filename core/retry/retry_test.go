package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/retry"
)

var start = time.Unix(1_700_000_000, 0)

// TestAllowed guards against a request that runs twice, and against giving up where a retry is
// safe.
func TestAllowed(t *testing.T) {
	c := qt.New(t)
	for _, info := range core.ErrorKinds {
		if info.Status == 0 {
			continue
		}
		lost := info.Kind == core.OutcomeUnknown || info.Kind == core.UpstreamFailed
		for _, idempotent := range []bool{false, true} {
			notRun := retry.Failure{Kind: info.Kind, NotRun: true}
			c.Check(retry.Allowed(idempotent, notRun), qt.Equals, info.Retry, qt.Commentf("%s", info.Kind))
			mayHaveRun := retry.Failure{Kind: info.Kind}
			c.Check(retry.Allowed(idempotent, mayHaveRun), qt.Equals, idempotent && lost, qt.Commentf("%s", info.Kind))
		}
	}
}

// TestBudgetUnderOverload guards against retries that multiply the load when every upstream sheds
// it, both with a new budget and with one filled by successful requests.
func TestBudgetUnderOverload(t *testing.T) {
	for _, good := range []int{0, 10_000} {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(1, 0))
		budget := retry.NewBudget(start)
		for range good {
			budget.CountRequest(start)
		}
		now, attempts := start, 0
		const requests = 1000
		for range requests {
			now = now.Add(5 * time.Millisecond)
			budget.CountRequest(start)
			for attempt := 1; ; attempt++ {
				attempts++
				if _, ok := retry.OtherUpstreamBackoff.Next(now, now.Add(time.Second), attempt, budget, random.Uint64()); !ok {
					break
				}
			}
		}
		c.Check(float64(attempts)/requests < 1.2, qt.IsTrue, qt.Commentf("%d attempts after %d good requests", attempts, good))
		c.Check(float64(attempts)/requests > 1.09, qt.IsTrue, qt.Commentf("%d attempts after %d good requests", attempts, good))
	}
}

// TestRefill guards against a route with few requests that can never retry, and against a refill
// by time that accumulates without limit.
func TestRefill(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(start)
	take := func(now time.Time) (n int) {
		for budget.Take(now) {
			n++
		}
		return n
	}
	c.Check(take(start), qt.Equals, 3)
	c.Check(take(start.Add(2*time.Second)), qt.Equals, 1)
	c.Check(take(start.Add(1000*time.Hour)), qt.Equals, 3)
}

// TestNext guards against an attempt that cannot end before the deadline, and against a backoff
// that does not grow or exceeds its limit.
func TestNext(t *testing.T) {
	c := qt.New(t)
	backoff := retry.Backoff{Initial: 10 * time.Millisecond, Max: 50 * time.Millisecond, MaxAttempts: 9}
	for attempts, longest := range []time.Duration{1: 10, 2: 20, 3: 40, 4: 50, 5: 50} {
		if attempts == 0 {
			continue
		}
		budget := retry.NewBudget(start)
		// This random number draws the longest wait.
		random := uint64(longest * time.Millisecond)
		wait, ok := backoff.Next(start, start.Add(time.Second), attempts, budget, random)
		c.Check(ok, qt.IsTrue)
		c.Check(wait, qt.Equals, longest*time.Millisecond)
		_, ok = backoff.Next(start, start.Add(wait), attempts, budget, random)
		c.Check(ok, qt.IsFalse, qt.Commentf("attempt although the deadline is too close"))
	}
	_, ok := backoff.Next(start, start.Add(time.Second), 9, retry.NewBudget(start), 0)
	c.Check(ok, qt.IsFalse, qt.Commentf("more than the allowed attempts"))
}
