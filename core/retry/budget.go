package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// The retry budget of a route, in thousandths of a retry. Each request adds a tenth of a
// retry, so that retries add at most 10% to the load that a route puts on its upstreams.
const (
	oneRetry   = 1000
	perRequest = oneRetry / 10
	// mostSaved bounds the retries saved up in good times, which all upstreams would feel
	// at the beginning of an overload.
	mostSaved = 50 * oneRetry
	// atStart and floorPerSecond let a route with few requests retry at all.
	atStart        = 3 * oneRetry
	floorPerSecond = oneRetry / 2
	// mostFloor bounds what the floor adds up to without requests.
	mostFloor = 3 * oneRetry
)

// Budget is the retry budget of one route, a token bucket filled by requests.
type Budget struct {
	tokens atomic.Int64
	// mu guards floorAt, which only retries touch.
	mu      sync.Mutex
	floorAt time.Time
}

// NewBudget returns a budget with a few retries.
func NewBudget(now time.Time) *Budget {
	b := &Budget{
		floorAt: now,
	}
	b.tokens.Store(atStart)
	return b
}

// Request implements core.RetryBudget. A full budget is only read, which keeps its cache line
// shared between cores while nothing fails.
func (b *Budget) Request(time.Time) {
	if b.tokens.Load() < mostSaved {
		b.tokens.Add(perRequest)
	}
}

// Take implements core.RetryBudget.
func (b *Budget) Take(now time.Time) bool {
	b.fillFloor(now)
	for {
		tokens := b.tokens.Load()
		if tokens < oneRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-oneRetry) {
			return true
		}
	}
}

// fillFloor adds the floor for the time since the last retry.
func (b *Budget) fillFloor(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now.Sub(b.floorAt)
	if since <= 0 {
		return
	}
	// Whole thousandths only; the rest of the time stays for the next call.
	add := int64(since * floorPerSecond / time.Second)
	if since > time.Hour {
		add = mostFloor
	}
	if add == 0 {
		return
	}
	b.floorAt = now
	if lack := mostFloor - b.tokens.Load(); lack > 0 {
		b.tokens.Add(min(add, lack))
	}
}
