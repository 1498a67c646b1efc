package route

import (
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

const (
	// loadAge is the age at which a reported load no longer counts: many other entries
	// will have changed it by then.
	loadAge = 2 * time.Second
	// recoverTime is the time over which the share of an upstream recovers after the end
	// of a pass-over.
	recoverTime = time.Second
	// recoverPenalty is the addition to the load at the beginning of recoverTime, in
	// shares of the limit.
	recoverPenalty = 0.5
)

// passOver is how long an upstream is passed over after a refusal. The time doubles with
// each refusal in a row, up to the longest, because a refusal repeated after a pause shows
// a lasting cause.
type passOver struct {
	first   time.Duration
	longest time.Duration
	// isGone says that no request can be served there, unlike at one that is only full.
	isGone bool
}

// longestGone bounds how late an upstream is used that is back. A daemon restarts within about a
// second, and a try costs one request of an entry the time of a connection.
const longestGone = time.Second

// passOvers lists the kinds after which an upstream is passed over. Slots come free within
// milliseconds, so load passes quickly; a lost answer may be the fault of one request; a
// stopped process or a stale view takes seconds.
var passOvers = map[core.Kind]passOver{
	core.Overloaded:     {first: 25 * time.Millisecond, longest: 400 * time.Millisecond},
	core.Cold:           {first: 50 * time.Millisecond, longest: 800 * time.Millisecond},
	core.NoUpstream:     {first: 250 * time.Millisecond, longest: longestGone, isGone: true},
	core.UpstreamFailed: {first: 100 * time.Millisecond, longest: 2 * time.Second},
	core.OutcomeUnknown: {first: 100 * time.Millisecond, longest: 2 * time.Second},
	core.Leaving:        {first: 500 * time.Millisecond, longest: longestGone, isGone: true},
	core.ZoneOut:        {first: time.Second, longest: 4 * time.Second, isGone: true},
	core.Starting:       {first: 250 * time.Millisecond, longest: longestGone, isGone: true},
	core.SuspectView:    {first: 250 * time.Millisecond, longest: longestGone, isGone: true},
}

// upstream is what the entry knows about one upstream. All fields change without locks;
// they are hints that need not agree with each other.
type upstream struct {
	host core.Host
	// slots is the limit that the upstream itself reports, 0 if it reports none.
	slots       atomic.Int64
	outstanding atomic.Int64
	// load packs the requests that others had in flight (high half) and the limit.
	load   atomic.Uint64
	loadAt atomic.Int64
	// passedUntil is the end of the last pass-over on the steady scale, 0 if none.
	passedUntil atomic.Int64
	refusals    atomic.Int32
	// isGone is set while the last refusal said that no request can be served.
	isGone atomic.Bool
	// failures holds the bits of the share of requests that came to nothing.
	failures atomic.Uint64
	// freeAt is when a slot was expected to be free, on the steady scale.
	freeAt atomic.Int64
	// quietSince is the time of the latest sign of life, or of the first request after it, in
	// nanoseconds on the steady scale.
	quietSince atomic.Int64
	// expected is the number of answers to the outstanding requests that usually come within
	// answerUnit.
	expected atomic.Int64
	// mu guards holds.
	mu    sync.Mutex
	holds map[core.RouteName]hold
}

// report notes the load in an answer.
func (u *upstream) report(now time.Time, inFlight, limit int) {
	others := max(int64(inFlight)-u.outstanding.Load(), 0)
	u.load.Store(uint64(uint32(others))<<32 | uint64(uint32(limit)))
	u.loadAt.Store(steady(now))
	u.heard(now)
}

// answered ends a series of refusals.
func (u *upstream) answered() {
	if u.refusals.Load() != 0 {
		u.refusals.Store(0)
		u.isGone.Store(false)
	}
}

// refused begins a pass-over. Refusals that arrive during one belong to the same cause and
// do not extend it.
func (u *upstream) refused(now time.Time, pass passOver, random uint64) {
	if u.passed(now) {
		return
	}
	wait := min(pass.first<<min(u.refusals.Add(1)-1, 10), pass.longest)
	// Between half and the whole time, so that entries do not return all at once.
	wait = wait/2 + time.Duration(random%uint64(wait/2+1))
	u.passedUntil.Store(steady(now.Add(wait)))
	u.isGone.Store(pass.isGone)
}

// mayTry tells whether a request may go to the upstream. One that could serve nobody gets no
// request while it is passed over, and a single one after that until it has answered: each of
// the others would wait for a connection that nobody takes.
func (u *upstream) mayTry(now time.Time, includesPassed bool) bool {
	if u.isGone.Load() {
		return !u.passed(now) && u.outstanding.Load() == 0
	}
	return includesPassed || !u.passed(now)
}

func (u *upstream) passed(now time.Time) bool {
	until := u.passedUntil.Load()
	return until != 0 && steady(now) < until
}

// use returns the requests in flight including one more, and the limit.
func (u *upstream) use(now time.Time, slots int) (inFlight, limit float64) {
	inFlight = float64(u.outstanding.Load() + 1)
	if own := int(u.slots.Load()); own > 0 {
		slots = own
	}
	limit = float64(max(slots, 1))
	age := steady(now) - u.loadAt.Load()
	if age < 0 || age >= int64(loadAge) {
		return inFlight, limit
	}
	load := u.load.Load()
	if reported := uint32(load); reported > 0 {
		limit = float64(reported)
	}
	others := float64(uint32(load >> 32))
	return inFlight + others*(1-float64(age)/float64(loadAge)), limit
}

// penalty returns the addition after the end of a pass-over, which fades with recoverTime.
func (u *upstream) penalty(now time.Time) float64 {
	until := u.passedUntil.Load()
	if until == 0 {
		return 0
	}
	since := steady(now) - until
	if since >= int64(recoverTime) {
		return 0
	}
	return recoverPenalty * (1 - float64(max(since, 0))/float64(recoverTime))
}

// score ranks the upstream, lower is better. Above 1 without penalty means full.
func (u *upstream) score(now time.Time, slots int) (score float64, full bool) {
	inFlight, limit := u.use(now, slots)
	score = inFlight / limit
	full = score > 1
	score += u.penalty(now)
	return score, full
}
