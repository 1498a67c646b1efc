package retry

import (
	"sync"
	"time"
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Span is the time over which requests and repeats are compared.
	Span time.Duration
	// Ratio is the number of repeats allowed for each request within any span.
	Ratio float64
	// Slack is the number of repeats allowed in any span in addition.
	Slack float64
}

// windowParts is the number of parts into which a span is divided. Requests that leave the
// span count up to one part too short, repeats up to one part too long.
const windowParts = 20

// Window is the retry budget of one service at one daemon: the repeats within any span stay
// below a share of the requests in it and a slack. Unlike Budget it saves nothing up for
// longer than the span, so that the bounds of all daemons add up to one of the fleet.
type Window struct {
	config WindowConfig

	mu       sync.Mutex
	parts    [windowParts]windowPart
	requests int
	repeats  int
	start    time.Time
	last     int64
}

type windowPart struct {
	requests int
	repeats  int
}

// NewWindow returns a window without requests.
func NewWindow(config WindowConfig, now time.Time) *Window {
	return &Window{
		config: config,
		start:  now,
	}
}

// Configure changes the bounds.
func (w *Window) Configure(config WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Ratio, w.config.Slack = config.Ratio, config.Slack
}

// Request implements core.RetryBudget.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(now).requests++
	w.requests++
}

// Take implements core.RetryBudget.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := w.part(now)
	if float64(w.repeats+1) > w.config.Ratio*float64(w.requests)+w.config.Slack {
		return false
	}
	part.repeats++
	w.repeats++
	return true
}

// part returns the current part after forgetting those that left the span. The caller holds
// the mutex.
func (w *Window) part(now time.Time) *windowPart {
	current := int64(now.Sub(w.start) / (w.config.Span / windowParts))
	if current > w.last {
		for i := max(w.last+1, current-windowParts+1); i <= current; i++ {
			part := &w.parts[i%windowParts]
			w.requests -= part.requests
			w.repeats -= part.repeats
			*part = windowPart{}
		}
		w.last = current
	}
	return &w.parts[w.last%windowParts]
}
