package events

import (
	"math"
	"sync"
	"time"

	"verbenaway/core"
)

// maxAhead limits how far a received timestamp may move the clock ahead of the local time, so
// that one host with a wrong clock cannot distort the timeline of all.
const maxAhead = time.Minute

// HybridClock is a hybrid logical clock. Its timestamps increase strictly and are later than each
// timestamp observed before, up to maxAhead. It is safe for concurrent use.
type HybridClock struct {
	clock core.Clock
	mu    sync.Mutex
	last  core.Timestamp
}

// NewHybridClock returns a clock on top of the local time.
func NewHybridClock(clock core.Clock) *HybridClock {
	return &HybridClock{
		clock: clock,
	}
}

// Now returns the next timestamp.
func (c *HybridClock) Now() core.Timestamp {
	wall := c.clock.Now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = core.Timestamp{
			Wall:    wall,
			Logical: 0,
		}
		return c.last
	}
	if c.last.Logical == math.MaxUint32 {
		c.last.Wall++
		c.last.Logical = 0
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe advances the clock to a timestamp received from another daemon. It ignores timestamps
// that are more than maxAhead ahead of the local time.
func (c *HybridClock) Observe(received core.Timestamp) {
	limit := c.clock.Now().Add(maxAhead).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	if received.Wall <= limit && c.last.Before(received) {
		c.last = received
	}
}
