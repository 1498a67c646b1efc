package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// closingInterval is the interval at which a leaving entry tells gatekeepers when it closes the
	// connections of its callers. One message may be lost or come before a request that was sent earlier.
	closingInterval = 500 * time.Millisecond
	// closingMargin is allowed for the last refusals to reach the callers.
	closingMargin = 300 * time.Millisecond
)

// closing is the planned end of the connections of callers, and where requests may be queued then. It is
// safe for concurrent use.
type closing struct {
	mu sync.Mutex
	// at is the time by which an answer is of use, a little before the connections are closed; zero if the
	// entry is not leaving.
	at time.Time
	// attempts counts the attempts in progress by the address of their gatekeeper.
	attempts map[string]int
}

func (c *closing) set(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = at
}

// setDefault sets the time unless it is set.
func (c *closing) setDefault(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		c.at = at
	}
}

func (c *closing) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// begin counts an attempt at a gatekeeper. Either the attempt learns from the result that the entry
// is leaving, or the gatekeeper does from an announcement.
func (c *closing) begin(address string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[string]int{}
	}
	c.attempts[address]++
	return c.at
}

// end ends an attempt that begin counted.
func (c *closing) end(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[address]--; c.attempts[address] == 0 {
		delete(c.attempts, address)
	}
}

// addresses returns the addresses of the gatekeepers with attempts in progress.
func (c *closing) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, 0, len(c.attempts))
	for address := range c.attempts {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// announceClosing tells the gatekeepers with attempts in progress when the connections of callers are
// closed, until that time or the end of ctx.
func (e *Entry) announceClosing(ctx context.Context) {
	closesAt := e.closing.time()
	for !closesAt.IsZero() {
		left := max(closesAt.Sub(e.config.Clock.Now()), 0)
		for _, address := range e.closing.addresses() {
			go e.sendClosing(ctx, address, left)
		}
		if left == 0 || sleep(ctx, min(left, closingInterval)) != nil {
			return
		}
	}
}

// sendClosing tells a gatekeeper in a probe when the connections of callers are closed.
func (e *Entry) sendClosing(ctx context.Context, address string, left time.Duration) {
	for range probeTries {
		if e.sendProbe(ctx, address, http.Header{
			keyProbe:  probeValue,
			keySender: e.sender,
			keyCloses: {strconv.FormatInt(left.Milliseconds(), 10)},
		}) != probeNoAnswer {
			return
		}
	}
}
