package retry

import (
	"sync"
	"sync/atomic"
	"time"
)

// The retry budget of a route, in tokens of a thousandth of a retry. Each request adds a tenth
// of a retry, so that retries add at most 10% to the load that a route puts on its upstreams.
const (
	tokensPerRetry   = 1000
	tokensPerRequest = tokensPerRetry / 10
	// maxTokens limits the retries saved up without failures, which would hit all upstreams
	// at the beginning of an overload.
	maxTokens = 50 * tokensPerRetry
	// initialTokens and refillPerSecond allow retries on a route with few requests.
	initialTokens   = 3 * tokensPerRetry
	refillPerSecond = tokensPerRetry / 2
	// maxRefill is the number of tokens up to which the refill by time fills the budget.
	maxRefill = 3 * tokensPerRetry
)

// Budget is the retry budget of one route: a token bucket filled by requests and, at a low rate,
// by time.
type Budget struct {
	tokens atomic.Int64
	// mu guards refilledAt, which only Take uses.
	mu         sync.Mutex
	refilledAt time.Time
}

// NewBudget returns a budget of initialTokens.
func NewBudget(now time.Time) *Budget {
	b := &Budget{
		refilledAt: now,
	}
	b.tokens.Store(initialTokens)
	return b
}

// CountRequest implements core.RetryBudget. It does not write to a full budget, so that the cache
// line stays shared between cores while nothing fails.
func (b *Budget) CountRequest(time.Time) {
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(tokensPerRequest)
	}
}

// Take implements core.RetryBudget.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

// refill adds the tokens for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	since := now.Sub(b.refilledAt)
	if since <= 0 {
		return
	}
	// Only whole tokens are added; shorter times accumulate until the next call.
	add := int64(since * refillPerSecond / time.Second)
	if since > time.Hour {
		add = maxRefill
	}
	if add == 0 {
		return
	}
	b.refilledAt = now
	if lack := maxRefill - b.tokens.Load(); lack > 0 {
		b.tokens.Add(min(add, lack))
	}
}
