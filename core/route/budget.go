package route

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// minBurst, in bytes, limits the number of pieces of a large charge at a very low rate.
const minBurst = 64 << 10

// regionBudget is a token bucket for the request bytes sent to other regions. It holds one
// second's worth, but at least minBurst. A request larger than that needs a full bucket and leaves
// a debt, so that the rate holds over time.
type regionBudget struct {
	mu      sync.Mutex
	rate    int64
	limiter *rate.Limiter
}

// setRate changes the rate; at 0 no request passes.
func (b *regionBudget) setRate(now time.Time, bytesPerSecond int64) {
	if b.rate == bytesPerSecond {
		return
	}
	b.rate = bytesPerSecond
	burst := int(min(max(bytesPerSecond, minBurst), 1<<40))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
		return
	}
	b.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
	b.limiter.SetBurstAt(now, burst)
}

// take charges bytes if the budget covers them and the declared bytes, which are charged by
// charge as they are sent.
func (b *regionBudget) take(now time.Time, bytesPerSecond, bytes, declared int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.covers(now, bytesPerSecond, bytes+declared) {
		return false
	}
	b.reserve(now, bytes)
	return true
}

// canTake reports whether take would succeed.
func (b *regionBudget) canTake(now time.Time, bytesPerSecond, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.covers(now, bytesPerSecond, bytes)
}

// covers reports whether there are tokens for the bytes, or a full bucket if they exceed it.
func (b *regionBudget) covers(now time.Time, bytesPerSecond, bytes int64) bool {
	b.setRate(now, bytesPerSecond)
	if b.rate <= 0 {
		return false
	}
	need := min(max(bytes, 1), int64(b.limiter.Burst()))
	return b.limiter.TokensAt(now) >= float64(need)
}

// charge charges bytes that were already sent, even if that leaves a debt.
func (b *regionBudget) charge(now time.Time, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate > 0 {
		b.reserve(now, bytes)
	}
}

// reserve takes bytes in pieces, because the limiter accepts at most its burst at once.
func (b *regionBudget) reserve(now time.Time, bytes int64) {
	burst := int64(b.limiter.Burst())
	for bytes > 0 {
		piece := min(bytes, burst)
		b.limiter.ReserveN(now, int(piece))
		bytes -= piece
	}
}
