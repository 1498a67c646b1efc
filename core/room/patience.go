package room

import (
	"math"
	"math/bits"
	"time"
)

const (
	// stepsPerOctave is the number of steps from a time to the double of it. A step is wider than the
	// delays on the way of a request, by which the times left of equally patient callers differ.
	stepsPerOctave = 32
	// octaves is the number of octaves from 1 ms that are told apart.
	octaves = 16
	// usualShare is the share of the requests with about the same time left from which that time
	// counts as the patience of some callers. Requests that come back after a refusal are spread
	// over all shorter times.
	usualShare = 0.15
	// minSeen is the number of requests before which nothing is known.
	minSeen = 50
	// maxSeen is the number of requests after which all counts are halved, so that old ones fade.
	maxSeen = 1000
)

// Patience learns how long the callers of one route wait for an answer before they give up. A request
// with less time left than its callers usually have was refused or failed before, and its latency
// counts from the first attempt. The zero value knows nothing.
type Patience struct {
	counts [octaves * stepsPerOctave]uint16
	seen   int
}

// Observe records the time left of a request on its arrival and returns the time that its caller has
// spent on it before, 0 if nothing is known.
func (p *Patience) Observe(left time.Duration) time.Duration {
	step := stepOf(left)
	p.counts[step]++
	if p.seen++; p.seen >= maxSeen {
		p.fade()
	}
	if p.seen < minSeen {
		return 0
	}
	for usual := step; usual < len(p.counts); usual++ {
		if p.isUsual(usual) {
			if usual-step <= 1 {
				// The delays on the way.
				return 0
			}
			if p.counts[min(usual+1, len(p.counts)-1)] > p.counts[usual] {
				usual++
			}
			return max(timeOf(usual)-left, 0)
		}
	}
	return 0
}

// isUsual reports whether a step and the one above it, which the same callers may fall into, hold a
// usual share of the requests.
func (p *Patience) isUsual(step int) bool {
	count := int(p.counts[step])
	if step+1 < len(p.counts) {
		count += int(p.counts[step+1])
	}
	return float64(count) >= usualShare*float64(p.seen)
}

func (p *Patience) fade() {
	p.seen = 0
	for i := range p.counts {
		p.counts[i] /= 2
		p.seen += int(p.counts[i])
	}
}

// stepOf returns the step of a time; steps grow with the time.
func stepOf(left time.Duration) int {
	ms := max(left.Milliseconds(), 1)
	octave := bits.Len64(uint64(ms)) - 1
	within := (float64(ms)/math.Exp2(float64(octave)) - 1) * stepsPerOctave
	return min(octave*stepsPerOctave+int(within), octaves*stepsPerOctave-1)
}

// timeOf returns the lowest time of a step.
func timeOf(step int) time.Duration {
	octave, within := step/stepsPerOctave, step%stepsPerOctave
	return time.Duration(math.Exp2(float64(octave)) * (1 + float64(within)/stepsPerOctave) * float64(time.Millisecond))
}
