package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core/retry"
)

// TestWindowUnderShedding guards against daemons that together repeat more than the fleet may
// while every upstream sheds: 18 daemons with uneven load, and each failure asks for a repeat.
func TestWindowUnderShedding(t *testing.T) {
	const (
		daemons = 18
		ratio   = 0.2
		slack   = 62.0
		span    = 10 * time.Second
	)
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	var windows []*retry.Window
	for range daemons {
		windows = append(windows, retry.NewWindow(retry.WindowConfig{
			Span:  span,
			Ratio: ratio,
			Slack: slack / daemons,
		}, start))
	}
	type event struct {
		at       time.Duration
		isRepeat bool
	}
	var events []event
	allowed := 0
	for at := time.Duration(0); at < 40*time.Second; at += 2 * time.Millisecond {
		// The load halves after 20 s, when the window still holds the former requests.
		if at > 20*time.Second && random.IntN(2) == 0 {
			continue
		}
		window := windows[min(random.IntN(daemons), random.IntN(daemons))]
		window.Request(start.Add(at))
		events = append(events, event{at: at})
		for range 2 {
			if window.Take(start.Add(at)) {
				allowed++
				events = append(events, event{at: at, isRepeat: true})
			}
		}
	}
	for from := time.Duration(0); from < 30*time.Second; from += 250 * time.Millisecond {
		requests, repeats := 0, 0
		for _, e := range events {
			switch {
			case e.at < from || e.at >= from+span:
			case e.isRepeat:
				repeats++
			default:
				requests++
			}
		}
		// Requests of up to one part before the span still count at the daemons.
		bound := ratio*float64(requests)*1.06 + slack
		c.Check(float64(repeats) <= bound, qt.IsTrue, qt.Commentf("from %v: %d repeats of %d requests", from, repeats, requests))
	}
	c.Check(float64(allowed) > 0.18*float64(len(events)-allowed), qt.IsTrue, qt.Commentf("%d repeats allowed", allowed))
}

// TestWindowForgets guards against repeats that are saved up for longer than the window.
func TestWindowForgets(t *testing.T) {
	c := qt.New(t)
	window := retry.NewWindow(retry.WindowConfig{
		Span:  10 * time.Second,
		Ratio: 0.2,
		Slack: 1,
	}, start)
	for range 1000 {
		window.Request(start)
	}
	c.Assert(window.Take(start), qt.IsTrue)
	later := start.Add(time.Hour)
	c.Assert(window.Take(later), qt.IsTrue)
	c.Assert(window.Take(later), qt.IsFalse)
}
