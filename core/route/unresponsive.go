package route

import "time"

// A host that freezes, or whose connections are dropped without a reset, sends no answers. It is
// detected by the number of answers that were expected meanwhile: with several requests
// outstanding, a gap of a few times the latency of one is unlikely to be random.
const (
	// maxMissingAnswers is the number of missing answers above which a host is unresponsive.
	// With random arrivals a healthy host exceeds it in one of 3,000 cases.
	maxMissingAnswers = 8
	// minSilence exceeds the time for which a busy host or a queue delays all answers.
	minSilence = 400 * time.Millisecond
	// minExpectedLatency is the shortest latency to expect, since short requests wait for long
	// ones.
	minExpectedLatency = 150 * time.Millisecond
	// suspectFactor is the multiple of the expected latency of a request after which its host is
	// asked whether it is still there, if it has not answered any request meanwhile. A host that
	// has lost its power is otherwise noticed only by the keepalive probes of its connections.
	suspectFactor = 1.5
	// unresponsiveCost is added for an unresponsive host and exceeds any cost of load.
	unresponsiveCost = 5.0
)

// sent records a request with the latency expected for it and returns its part of u.answerRate. The
// caller has counted it as outstanding.
func (u *upstream) sent(now moment, expectedLatency time.Duration) (answerRate int64) {
	if u.outstanding.Load() == 1 {
		u.silentSince.Store(int64(now))
	} else {
		u.silentSince.CompareAndSwap(0, int64(now))
	}
	answerRate = int64(answerRatePeriod / expectedLatency)
	u.answerRate.Add(answerRate)
	return answerRate
}

// answerRatePeriod is the period of upstream.answerRate, long enough for whole numbers.
const answerRatePeriod = 1000 * time.Second

// recordActivity records that the upstream has answered.
func (u *upstream) recordActivity(now moment) {
	if u.outstanding.Load() > 0 {
		u.silentSince.Store(int64(now))
	}
}

// released ends a request.
func (u *upstream) released(answerRate int64) {
	u.answerRate.Add(-answerRate)
	if u.outstanding.Add(-1) == 0 {
		u.silentSince.Store(0)
	}
}

// silence returns the time without an answer while requests were outstanding.
func (u *upstream) silence(now moment) time.Duration {
	if u.outstanding.Load() == 0 {
		return 0
	}
	since := u.silentSince.Load()
	if since == 0 {
		// A request is just being sent, or was while the last one before it ended.
		u.silentSince.CompareAndSwap(0, int64(now))
		return 0
	}
	return time.Duration(int64(now) - since)
}

// isUnresponsive reports whether too many answers to the outstanding requests are missing.
func (u *upstream) isUnresponsive(now moment) bool {
	silence := u.silence(now)
	if silence < minSilence {
		return false
	}
	missing := float64(silence) / float64(answerRatePeriod) * float64(u.answerRate.Load())
	return missing > maxMissingAnswers
}

// IsSuspect reports whether the host of a choice has answered nothing for suspectFactor times the
// expected latency of the choice.
func (b *Balancer) IsSuspect(now time.Time, choice Choice) bool {
	silence := choice.upstream.silence(momentOf(now))
	return silence >= minSilence && silence.Seconds() > suspectFactor*choice.expectedLatency.Seconds()
}

// RecordActivity records that the host of a choice has shown that it is responsive.
func (b *Balancer) RecordActivity(now time.Time, choice Choice) {
	choice.upstream.recordActivity(momentOf(now))
}

// RecordUnresponsive puts an unresponsive host into backoff, longer each time until it answers.
func (b *Balancer) RecordUnresponsive(now time.Time, choice Choice) {
	choice.upstream.refused(momentOf(now), unresponsiveBackoff, b.config.Random())
}

// unresponsiveBackoff is short compared to the seconds for which hosts freeze, since only a
// single request probes the host after it.
var unresponsiveBackoff = backoff{
	initial:       500 * time.Millisecond,
	max:           maxUnavailableBackoff,
	isUnavailable: true,
}
