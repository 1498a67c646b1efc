package route

import "time"

// A host that freezes, or whose connections are cut without a word, answers nothing. It shows
// by the answers that were to be expected meanwhile: with several requests outstanding, a
// silence of a few times the usual time of one is no chance.
const (
	// expectedAnswers is the number of missing answers after which a host counts as silent.
	// At random arrival the silence of a sound host is as long in one of 3,000 cases.
	expectedAnswers = 8
	// leastSilence is above the time for which a busy host or a queue delays all answers.
	leastSilence = 400 * time.Millisecond
	// leastUsual bounds how soon an answer is expected: short requests wait for long ones.
	leastUsual = 150 * time.Millisecond
	// silentTimes is how many times the usual time of a request has to pass before it is taken
	// away from its host: requests that were sent together are answered together, and one
	// that makes calls of its own, or meets a cold upstream, takes more than twice the usual.
	silentTimes = 3
	// silentCost is the addition for a silent host, more than any load adds.
	silentCost = 5.0
)

// asked notes that a request is on its way whose answer usually takes a time. The caller has
// counted it as outstanding.
func (u *upstream) asked(now time.Time, usual time.Duration) (expected int64) {
	if u.outstanding.Load() == 1 {
		u.quietSince.Store(steady(now))
	}
	expected = int64(answerUnit / usual)
	u.expected.Add(expected)
	return expected
}

// answerUnit is the time in which upstream.expected counts answers; long enough for whole
// numbers.
const answerUnit = 1000 * time.Second

// heard notes a sign of life.
func (u *upstream) heard(now time.Time) {
	u.quietSince.Store(steady(now))
}

// silence returns the time without a sign of life while requests were outstanding.
func (u *upstream) silence(now time.Time) time.Duration {
	if u.outstanding.Load() == 0 {
		return 0
	}
	return time.Duration(steady(now) - u.quietSince.Load())
}

// isSilent tells whether the answers to the outstanding requests are missing.
func (u *upstream) isSilent(now time.Time) bool {
	silence := u.silence(now)
	if silence < leastSilence {
		return false
	}
	missing := float64(silence) / float64(answerUnit) * float64(u.expected.Load())
	return missing > expectedAnswers
}

// IsSilent tells whether the host of a choice has shown no sign of life since a time, and for
// so long that its answers are missing, that of the choice by far.
func (b *Balancer) IsSilent(now, since time.Time, choice Choice) bool {
	u := choice.upstream
	return u.quietSince.Load() <= steady(since) && u.isSilent(now) && u.silence(now) > silentTimes*choice.usual
}

// Silent passes a silent host over, longer each time.
func (b *Balancer) Silent(now time.Time, choice Choice) {
	choice.upstream.refused(now, silentPass, b.config.Random())
}

// silentPass is short beside the seconds for which hosts freeze, since one request tries again.
var silentPass = passOver{
	first:   500 * time.Millisecond,
	longest: longestGone,
	isGone:  true,
}
