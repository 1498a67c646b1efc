package route

import (
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

const (
	// maxLoadAge is the age at which a reported load no longer counts, since other entries
	// will have changed it by then.
	maxLoadAge = 2 * time.Second
	// recoveryTime is the time after a backoff in which the share of an upstream recovers.
	recoveryTime = time.Second
	// recoveryPenalty is added at the beginning of recoveryTime to the load, in shares of the
	// limit, or to the cost, in shares of the latency target.
	recoveryPenalty = 0.5
)

// backoff is the time for which an upstream is avoided after a refusal. It doubles with each
// refusal in a row, up to max, because a refusal that repeats after a pause has a lasting cause.
type backoff struct {
	initial time.Duration
	max     time.Duration
	// isUnavailable is true if the upstream can serve no request, unlike one that is only full.
	isUnavailable bool
}

// maxUnavailableBackoff limits the delay until a recovered upstream is used again. A daemon
// restarts within about a second, and a probe delays one request of an entry by the time of a
// connection.
const maxUnavailableBackoff = time.Second

// backoffs lists the kinds of refusal that are followed by a backoff. Slots become free within
// milliseconds, so overload gets a short one; a lost answer may be caused by one request; a
// stopped process or a stale view takes seconds.
var backoffs = map[core.ErrorKind]backoff{
	core.Overloaded:     {initial: 25 * time.Millisecond, max: 400 * time.Millisecond},
	core.Cold:           {initial: 50 * time.Millisecond, max: 800 * time.Millisecond},
	core.NoUpstream:     {initial: 250 * time.Millisecond, max: maxUnavailableBackoff, isUnavailable: true},
	core.UpstreamFailed: {initial: 100 * time.Millisecond, max: 2 * time.Second},
	core.OutcomeUnknown: {initial: 100 * time.Millisecond, max: 2 * time.Second},
	core.Leaving:        {initial: 500 * time.Millisecond, max: maxUnavailableBackoff, isUnavailable: true},
	core.ZoneOut:        {initial: time.Second, max: 4 * time.Second, isUnavailable: true},
	core.Starting:       {initial: 250 * time.Millisecond, max: maxUnavailableBackoff, isUnavailable: true},
	core.SuspectView:    {initial: 250 * time.Millisecond, max: maxUnavailableBackoff, isUnavailable: true},
}

// upstream is the state of one upstream as seen by the entry. The atomic fields are updated
// independently; they are hints that need not be consistent with each other.
type upstream struct {
	host core.Host
	// zone is the load of the upstream's availability zone; nil for upstreams that are only explained.
	zone *zoneLoad
	// slots is the limit that the upstream itself reports, 0 if it reports none.
	slots       atomic.Int64
	outstanding atomic.Int64
	// load packs the requests in flight from other entries (high half) and the limit.
	load   atomic.Uint64
	loadAt atomic.Int64
	// backoffUntil is the end of the last backoff on the monotonic scale, 0 if none.
	backoffUntil atomic.Int64
	// backoffCount is the number of backoffs since the last RecordAnswer.
	backoffCount atomic.Int32
	// isUnavailable is set while the last refusal said that no request can be served.
	isUnavailable atomic.Bool
	// failureRatioBits holds the reported failure ratio as the bits of a float64.
	failureRatioBits atomic.Uint64
	// slotFreeAt is when a slot is expected to be free, on the monotonic scale.
	slotFreeAt atomic.Int64
	// slownessBits holds the reported slowness as the bits of a float64, 0 if unknown.
	slownessBits atomic.Uint64
	// linkRate is the speed of the host's link in bytes per second, 0 if unknown; linkFreeAt is when the
	// data on it will have left, on the monotonic scale.
	linkRate   atomic.Int64
	linkFreeAt atomic.Int64
	// usualSlownessBits is the mean service time compared with other upstreams, as the bits of a
	// float64, usualSlownessAt the time of the latest report of it, and slownessReports their number.
	usualSlownessBits atomic.Uint64
	usualSlownessAt   atomic.Int64
	slownessReports   atomic.Int64
	// silentSince is the time of the latest answer, or of the first request after it if none
	// was outstanding, in nanoseconds on the monotonic scale. It is 0 while no request is
	// outstanding: requests that are sent at the same moment must not find an earlier time.
	silentSince atomic.Int64
	// answerRate is the number of answers to the outstanding requests that are expected within
	// answerRatePeriod.
	answerRate atomic.Int64
	// mu guards writes to serviceTimes.
	mu           sync.Mutex
	serviceTimes atomic.Pointer[map[core.RouteName]*serviceTime]
}

// report records the load in an answer.
func (u *upstream) report(now moment, inFlight, limit int) {
	others := max(int64(inFlight)-u.outstanding.Load(), 0)
	u.load.Store(uint64(uint32(others))<<32 | uint64(uint32(limit)))
	u.loadAt.Store(int64(now))
	u.zone.record(now, float64(others)/float64(max(limit, 1)))
	u.recordActivity(now)
}

// answered ends a series of refusals.
func (u *upstream) answered() {
	if u.backoffCount.Load() != 0 {
		u.backoffCount.Store(0)
		u.isUnavailable.Store(false)
	}
}

// refused starts a backoff. Refusals that arrive during one have the same cause and do not
// extend it.
func (u *upstream) refused(now moment, policy backoff, random uint64) {
	if u.inBackoff(now) {
		return
	}
	wait := min(policy.initial<<min(u.backoffCount.Add(1)-1, 10), policy.max)
	// Random between half and the whole time, so that entries do not all return at once.
	wait = wait/2 + time.Duration(random%uint64(wait/2+1))
	u.backoffUntil.Store(int64(now.add(wait)))
	u.isUnavailable.Store(policy.isUnavailable)
}

// mayTry reports whether a request may be sent to the upstream. An unavailable one gets no request
// during backoff and a single probe after it until it has answered, since any other request would
// wait for a connection that nobody accepts.
func (u *upstream) mayTry(now moment, includeBackoff bool) bool {
	if u.isUnavailable.Load() {
		return !u.inBackoff(now) && u.outstanding.Load() == 0
	}
	return includeBackoff || !u.inBackoff(now)
}

func (u *upstream) inBackoff(now moment) bool {
	until := u.backoffUntil.Load()
	return until != 0 && int64(now) < until
}

// projectedLoad returns the requests in flight including one more, and the limit, which is slots if
// the upstream reports none. The reported load of other entries fades over maxLoadAge.
func (u *upstream) projectedLoad(now moment, slots int) (inFlight, limit float64) {
	inFlight = float64(u.outstanding.Load() + 1)
	if own := int(u.slots.Load()); own > 0 {
		slots = own
	}
	limit = float64(max(slots, 1))
	age := int64(now) - u.loadAt.Load()
	if age < 0 || age >= int64(maxLoadAge) {
		return inFlight, limit
	}
	load := u.load.Load()
	if reported := uint32(load); reported > 0 {
		limit = float64(reported)
	}
	others := float64(uint32(load >> 32))
	return inFlight + others*(1-float64(age)/float64(maxLoadAge)), limit
}

// penalty returns the addition to load or cost in a backoff, which fades over recoveryTime after it.
func (u *upstream) penalty(now moment) float64 {
	until := u.backoffUntil.Load()
	if until == 0 {
		return 0
	}
	since := int64(now) - until
	if since >= int64(recoveryTime) {
		return 0
	}
	return recoveryPenalty * (1 - float64(max(since, 0))/float64(recoveryTime))
}

// score returns the load relative to the limit plus the penalty; lower is better. full is true if
// the load alone exceeds the limit.
func (u *upstream) score(now moment, slots int) (score float64, full bool) {
	inFlight, limit := u.projectedLoad(now, slots)
	score = inFlight / limit
	full = score > 1
	score += u.penalty(now)
	return score, full
}
