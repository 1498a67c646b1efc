package retry

import (
	"sync"
	"time"
)

// WindowBudgetConfig configures a WindowBudget.
type WindowBudgetConfig struct {
	// Span is the length of the sliding window in which requests and retries are counted.
	Span time.Duration
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed in the window in addition.
	Slack float64
}

// bucketCount is the number of time buckets of a window. Buckets expire as a whole, so a request or
// retry counts for up to one bucket less than the span.
const bucketCount = 20

// WindowBudget is the retry budget of one service at one daemon: the retries in a sliding window
// stay below a share of the requests in it plus a slack. Unlike Budget it saves nothing for longer
// than the window, so that the limits of all daemons add up to one for the fleet.
type WindowBudget struct {
	config WindowBudgetConfig

	mu       sync.Mutex
	buckets  [bucketCount]bucket
	requests int
	retries  int
	start    time.Time
	// last is the number of the latest bucket, counted from start.
	last int64
}

// bucket counts the requests and retries in one part of the window.
type bucket struct {
	requests int
	retries  int
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(config WindowBudgetConfig, now time.Time) *WindowBudget {
	return &WindowBudget{
		config: config,
		start:  now,
	}
}

// Configure changes Ratio and Slack.
func (w *WindowBudget) Configure(config WindowBudgetConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Ratio, w.config.Slack = config.Ratio, config.Slack
}

// CountRequest implements core.RetryBudget.
func (w *WindowBudget) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).requests++
	w.requests++
}

// Take implements core.RetryBudget.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	if float64(w.retries+1) > w.config.Ratio*float64(w.requests)+w.config.Slack {
		return false
	}
	current.retries++
	w.retries++
	return true
}

// advance clears the buckets that left the window and returns the current one. The caller holds
// the mutex.
func (w *WindowBudget) advance(now time.Time) *bucket {
	current := int64(now.Sub(w.start) / (w.config.Span / bucketCount))
	if current > w.last {
		for i := max(w.last+1, current-bucketCount+1); i <= current; i++ {
			expired := &w.buckets[i%bucketCount]
			w.requests -= expired.requests
			w.retries -= expired.retries
			*expired = bucket{}
		}
		w.last = current
	}
	return &w.buckets[w.last%bucketCount]
}
