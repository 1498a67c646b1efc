package admit

import "time"

// paceWindow is the time over which the platform counts the requests of a cold upstream.
const paceWindow = time.Second

// maxPace bounds the memory of a pace. Higher rates are not bounded; no upstream that needs a
// cold start bears as many.
const maxPace = 4096

// pace remembers when the latest requests began, so that at most a given number begins within
// any window.
type pace struct {
	// begun is a ring of the latest times; oldest is the index of the oldest one.
	begun  []time.Time
	oldest int
}

// take notes that a request began.
func (p *pace) take(now time.Time, perWindow int) {
	p.resize(min(perWindow, maxPace))
	if len(p.begun) == 0 {
		return
	}
	p.begun[p.oldest] = now
	p.oldest = (p.oldest + 1) % len(p.begun)
}

// resize keeps the latest times.
func (p *pace) resize(size int) {
	if len(p.begun) == size {
		return
	}
	resized := make([]time.Time, size)
	kept := min(size, len(p.begun))
	for i := range kept {
		// From the newest backwards into the end of the new ring.
		resized[size-1-i] = p.begun[(p.oldest-1-i+2*len(p.begun))%len(p.begun)]
	}
	p.begun, p.oldest = resized, 0
}

// allows tells whether a request may begin now.
func (p *pace) allows(now time.Time, perWindow int) bool {
	return p.left(now, perWindow) > 0
}

// left returns how many requests may begin now.
func (p *pace) left(now time.Time, perWindow int) int {
	recent := 0
	for _, at := range p.begun {
		if !at.IsZero() && now.Sub(at) < paceWindow {
			recent++
		}
	}
	return max(perWindow-recent, 0)
}

// next returns the time at which the oldest of the latest requests leaves the window.
func (p *pace) next(perWindow int) time.Time {
	p.resize(min(perWindow, maxPace))
	return p.begun[p.oldest].Add(paceWindow)
}
