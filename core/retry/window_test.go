package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core/retry"
)

// TestWindowBudgetUnderShedding guards against daemons that together retry more than the fleet may
// while every upstream sheds load: 18 daemons with uneven load, where each failure asks for a
// retry.
func TestWindowBudgetUnderShedding(t *testing.T) {
	const (
		daemons = 18
		ratio   = 0.2
		slack   = 62.0
		span    = 10 * time.Second
	)
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	var windows []*retry.WindowBudget
	for range daemons {
		windows = append(windows, retry.NewWindowBudget(retry.WindowBudgetConfig{
			Span:  span,
			Ratio: ratio,
			Slack: slack / daemons,
		}, start))
	}
	type event struct {
		at      time.Duration
		isRetry bool
	}
	var events []event
	allowed := 0
	for at := time.Duration(0); at < 40*time.Second; at += 2 * time.Millisecond {
		// The load halves after 20 s, while the window still contains the earlier requests.
		if at > 20*time.Second && random.IntN(2) == 0 {
			continue
		}
		window := windows[min(random.IntN(daemons), random.IntN(daemons))]
		window.CountRequest(start.Add(at))
		events = append(events, event{at: at})
		for range 2 {
			if window.Take(start.Add(at)) {
				allowed++
				events = append(events, event{at: at, isRetry: true})
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
		requests, retries := 0, 0
		for _, e := range events {
			switch {
			case e.at < from || e.at >= from+span:
			case e.isRetry:
				retries++
			default:
				requests++
			}
		}
		// The daemons count a retry for up to one bucket less than the span.
		bound := ratio*float64(requests)*1.06 + slack
		c.Check(float64(retries) <= bound, qt.IsTrue, qt.Commentf("from %v: %d retries of %d requests", from, retries, requests))
	}
	c.Check(float64(allowed) > 0.18*float64(len(events)-allowed), qt.IsTrue, qt.Commentf("%d retries allowed", allowed))
}

// TestWindowBudgetExpires guards against retries that are saved up for longer than the window.
func TestWindowBudgetExpires(t *testing.T) {
	c := qt.New(t)
	window := retry.NewWindowBudget(retry.WindowBudgetConfig{
		Span:  10 * time.Second,
		Ratio: 0.2,
		Slack: 1,
	}, start)
	for range 1000 {
		window.CountRequest(start)
	}
	c.Assert(window.Take(start), qt.IsTrue)
	later := start.Add(time.Hour)
	c.Assert(window.Take(later), qt.IsTrue)
	c.Assert(window.Take(later), qt.IsFalse)
}
