package stand

import "time"

// decision is what an upstream does with a new request.
type decision int

const (
	run      decision = iota // runs the request
	shed                     // refuses the request
	overload                 // fails as a whole and begins a cold start
)

// shedWindow is the time over which requests shed in cold start are counted.
const shedWindow = time.Second

// capacity limits the concurrent requests of an upstream to slots, or to coldSlots in cold start.
// Requests over the limit are shed. In cold start, the upstream fails if more than tolerance
// requests exceed the limit within shedWindow. The lock of the upstream protects it.
type capacity struct {
	slots     int
	coldSlots int
	coldFor   time.Duration
	tolerance int

	coldUntil   time.Time
	windowStart time.Time
	sheds       int
}

// startCold begins a cold start of duration coldFor.
func (c *capacity) startCold(now time.Time) {
	c.coldUntil = now.Add(c.coldFor)
	c.windowStart = now
	c.sheds = 0
}

func (c *capacity) isCold(now time.Time) bool {
	return now.Before(c.coldUntil)
}

func (c *capacity) decide(inFlight int, now time.Time) decision {
	if !c.isCold(now) {
		if inFlight >= c.slots {
			return shed
		}
		return run
	}
	if inFlight < c.coldSlots {
		return run
	}
	if now.Sub(c.windowStart) >= shedWindow {
		c.windowStart = now
		c.sheds = 0
	}
	c.sheds++
	if c.sheds > c.tolerance {
		return overload
	}
	return shed
}
