package route

import "time"

// A host that freezes, or whose connections are cut without a word, answers nothing. It shows
// by the answers that were to be expected meanwhile: with several requests outstanding, a
// silence of a few times the usual time of one is no chance.
const (
	// expectedAnswers is the number of missing answers after which a host counts as silent.
	// At random arrival the silence of a sound host is as long in one of 150 cases.
	expectedAnswers = 5
	// leastSilence is below the time that a collection of garbage or a busy host takes.
	leastSilence = 250 * time.Millisecond
	// silentCost is the addition for a silent host, more than any load adds.
	silentCost = 5.0
)

// asked notes that a request is on its way. The caller has counted it as outstanding.
func (u *upstream) asked(now time.Time) {
	if u.outstanding.Load() == 1 {
		u.quietSince.Store(now.UnixNano())
	}
}

// heard notes a sign of life.
func (u *upstream) heard(now time.Time) {
	u.quietSince.Store(now.UnixNano())
}

// silence returns the time without a sign of life while requests were outstanding.
func (u *upstream) silence(now time.Time) time.Duration {
	if u.outstanding.Load() == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - u.quietSince.Load())
}

// isSilent tells whether answers that take the given time are missing.
func (u *upstream) isSilent(now time.Time, usual time.Duration) bool {
	silence := u.silence(now)
	if silence < leastSilence || usual <= 0 {
		return false
	}
	return float64(silence)*float64(u.outstanding.Load()) > expectedAnswers*float64(usual)
}

// IsSilent tells whether the host of a choice has shown no sign of life since a time, and for
// so long that its answers are missing.
func (b *Balancer) IsSilent(now, since time.Time, choice Choice) bool {
	u := choice.upstream
	if u.quietSince.Load() > since.UnixNano() {
		return false
	}
	return u.isSilent(now, choice.usual)
}

// Silent passes a silent host over, longer each time.
func (b *Balancer) Silent(now time.Time, choice Choice) {
	choice.upstream.refused(now, silentPass, b.config.Random())
}

// silentPass spans the seconds for which hosts freeze.
var silentPass = passOver{
	first:   500 * time.Millisecond,
	longest: 4 * time.Second,
}
