package admit

import (
	"time"

	"verbenaway/core"
)

const (
	// maxMissingAnswers is the number of missing answers above which an upstream is silent. With
	// random service times a healthy upstream exceeds it in one of 3,000 cases.
	maxMissingAnswers = 8
	// minSilence exceeds the time for which a busy upstream delays all answers.
	minSilence = 400 * time.Millisecond
	// minExpectedServiceTime is the shortest service time to expect, since short requests wait
	// for the processor behind long ones.
	minExpectedServiceTime = 150 * time.Millisecond
	// silenceFactor is the multiple of the expected service time that a silence exceeds. Requests
	// that were sent together are answered together, and one that makes calls of its own, or
	// reaches a cold upstream, takes more than twice the expected time.
	silenceFactor = 3
)

// recordAnswerAt records the time of an answer, or of a start while no other request was running:
// from then on an answer is expected.
func (c *Controller) recordAnswerAt(now time.Time) {
	c.answeredAt = now
}

// expectedAnswers returns how many answers a second to expect from a request of a route.
func (c *Controller) expectedAnswers(route core.RouteName) float64 {
	return 1 / max(c.serviceTimes.of(route), minExpectedServiceTime).Seconds()
}

// IsSilent reports whether too many answers of the upstream are missing. Unlike an entry, the
// gatekeeper sees every request that the upstream has, so its judgement does not mistake a slow
// upstream for one that has stopped.
func (c *Controller) IsSilent(now time.Time) bool {
	silence := now.Sub(c.answeredAt)
	if c.inFlight == 0 || silence < minSilence {
		return false
	}
	expected := float64(c.inFlight) / c.answersPerSecond
	return silence.Seconds() > silenceFactor*expected && silence.Seconds()*c.answersPerSecond > maxMissingAnswers
}
