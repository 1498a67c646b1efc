package quota

import (
	"math"
	"slices"
	"time"

	"verbenaway/core"
)

const (
	// minPause and maxPause bound the time for which a granter that had no permit left is not asked
	// again; it doubles with each such answer. For those of other zones, it is multiplied by
	// otherZoneFactor.
	minPause        = 100 * time.Millisecond
	maxPause        = 400 * time.Millisecond
	otherZoneFactor = 2
	// shortPause is how long a granter is not asked again that had fewer permits than asked for, and
	// shortTime how long several are asked at once then.
	shortPause = 50 * time.Millisecond
	shortTime  = time.Second
	// FailurePause is how long a granter that did not answer is not asked again.
	FailurePause = 500 * time.Millisecond
	// maxRetryAfter bounds what callers are told.
	maxRetryAfter = 5 * time.Second
	// demandTime is the time constant of the average of the demand.
	demandTime = time.Second
	// aheadShare is the part of the expected demand within PermitLifetime that is asked for in advance.
	aheadShare = 0.5
)

// Account has the permits that one daemon has for a tenant. The zero value is ready for use.
type Account struct {
	permits int
	// usableUntil is the end of the lifetime of the permits.
	usableUntil time.Time
	// demand is the average number of requests a second at demandAt.
	demand   float64
	demandAt time.Time
	sources  []source
	// shortUntil is the end of the time in which permits are asked of several granters at once, because
	// a single one has too few.
	shortUntil time.Time
	// reservedAt is the time of the last request that was served without a permit.
	reservedAt time.Time
}

// source is a granter as this daemon knows it.
type source struct {
	name core.HostName
	// asked is the number of permits in the outstanding request to it, 0 if there is none.
	asked int
	// notBefore is the time before which it is not asked, pause the last such time.
	notBefore time.Time
	pause     time.Duration
	// hasFailed is set if it did not answer or did not grant at all.
	hasFailed bool
}

// Observe counts a request.
func (a *Account) Observe(now time.Time) {
	a.demand = a.currentDemand(now) + 1/demandTime.Seconds()
	a.demandAt = now
}

func (a *Account) currentDemand(now time.Time) float64 {
	elapsed := now.Sub(a.demandAt)
	if elapsed <= 0 {
		return a.demand
	}
	return a.demand * math.Exp(-elapsed.Seconds()/demandTime.Seconds())
}

// Spend uses a permit if there is one, and returns the end of its lifetime.
func (a *Account) Spend(now time.Time) (usableUntil time.Time, ok bool) {
	if a.permits == 0 || !now.Before(a.usableUntil) {
		a.permits = 0
		return time.Time{}, false
	}
	a.permits--
	return a.usableUntil, true
}

// GiveBack takes back a permit whose request did not run, unless its lifetime is over.
func (a *Account) GiveBack(now, usableUntil time.Time) {
	if now.Before(usableUntil) {
		a.add(now, usableUntil, 1)
	}
}

// add adds permits. All have the shortest of their lifetimes from then on.
func (a *Account) add(now, usableUntil time.Time, count int) {
	if a.Permits(now) == 0 {
		a.permits, a.usableUntil = 0, usableUntil
	}
	a.permits += count
	if usableUntil.Before(a.usableUntil) {
		a.usableUntil = usableUntil
	}
}

// Permits returns the number of permits that can be used.
func (a *Account) Permits(now time.Time) int {
	if !now.Before(a.usableUntil) {
		return 0
	}
	return a.permits
}

// Step is what a daemon does next for the requests that wait for permits.
type Step int

// The steps.
const (
	// StepAsk means to ask a granter.
	StepAsk Step = iota
	// StepWait means that answers are outstanding.
	StepWait
	// StepRefuse means that no granter is known to have permits.
	StepRefuse
)

// Next decides the next step for a number of waiting requests. With StepAsk, it returns the granter to
// ask and the number of permits to ask for, and counts on an answer: Apply or Fail has to follow.
func (a *Account) Next(now time.Time, granters []core.Host, waiting int) (step Step, host core.Host, want int) {
	missing := waiting + int(aheadShare*a.currentDemand(now)*PermitLifetime.Seconds()) - a.Permits(now)
	open, isAsking := 0, false
	for _, candidate := range granters {
		switch s := a.find(candidate.Name); {
		case s != nil && s.asked > 0:
			missing -= s.asked
			isAsking = true
		case s == nil || !now.Before(s.notBefore):
			if open == 0 {
				host = candidate
			}
			open++
		}
	}
	switch {
	case open > 0 && (missing > 0 || !isAsking):
		want = max(missing, 1)
		if now.Before(a.shortUntil) {
			want = (want + open - 1) / open
		}
		a.findOrAdd(host.Name).asked = want
		return StepAsk, host, want
	case isAsking:
		return StepWait, core.Host{}, 0
	}
	return StepRefuse, core.Host{}, 0
}

// Refusal returns when to try again, and whether no granter has said that the quota is used up.
func (a *Account) Refusal(now time.Time, granters []core.Host) (retryAfter time.Duration, isUnknown bool) {
	isUnknown = true
	for _, host := range granters {
		s := a.find(host.Name)
		if s == nil {
			continue
		}
		isUnknown = isUnknown && s.hasFailed
		if wait := s.notBefore.Sub(now); wait > 0 && (retryAfter == 0 || wait < retryAfter) {
			retryAfter = wait
		}
	}
	return min(retryAfter, maxRetryAfter), isUnknown
}

// Grant is the answer of a granter.
type Grant struct {
	Granted    int
	RetryAfter time.Duration
	// IsInactive is set if it is not the granter as far as it knows.
	IsInactive bool
}

// Apply applies the answer of a granter that was asked at askedAt. IsNear is set if it is in the zone of
// this daemon.
func (a *Account) Apply(now, askedAt time.Time, name core.HostName, grant Grant, isNear bool) {
	s := a.findOrAdd(name)
	isShort := grant.Granted > 0 && grant.Granted < s.asked
	s.asked, s.hasFailed = 0, grant.IsInactive
	switch {
	case grant.IsInactive:
		s.notBefore, s.pause = now.Add(FailurePause), 0
		return
	case grant.Granted > 0:
		s.notBefore, s.pause = time.Time{}, 0
		if isShort {
			s.notBefore, a.shortUntil = now.Add(shortPause), now.Add(shortTime)
		}
		a.add(now, askedAt.Add(PermitLifetime), grant.Granted)
		return
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	wait := s.pause
	if !isNear {
		wait *= otherZoneFactor
	}
	s.notBefore = now.Add(max(wait, min(grant.RetryAfter, maxRetryAfter)))
}

// Fail records that a granter did not answer.
func (a *Account) Fail(now time.Time, name core.HostName) {
	s := a.findOrAdd(name)
	s.asked, s.hasFailed, s.pause = 0, true, 0
	s.notBefore = now.Add(FailurePause)
}

// Reserve serves a request without a permit, which each of the daemons may do units times within
// the window. StartedAt is the start of the process, whose predecessor may just have done so.
func (a *Account) Reserve(now, startedAt time.Time, window time.Duration, units int) bool {
	if units <= 0 || now.Sub(startedAt) < window {
		return false
	}
	if !a.reservedAt.IsZero() && now.Sub(a.reservedAt) < window/time.Duration(units) {
		return false
	}
	a.reservedAt = now
	return true
}

// ReserveUnits returns the part of a daemon in the requests that may be served without permits.
func ReserveUnits(bounds Bounds, spec core.QuotaSpec, zones, daemons, rank int) int {
	if daemons <= 0 {
		return 0
	}
	total := bounds.reserve(spec, zones)
	units := total / daemons
	if rank < total%daemons {
		units++
	}
	return units
}

func (a *Account) find(name core.HostName) *source {
	for i := range a.sources {
		if a.sources[i].name == name {
			return &a.sources[i]
		}
	}
	return nil
}

// maxSources bounds the granters remembered; there is one for each zone, and some former ones.
const maxSources = 64

func (a *Account) findOrAdd(name core.HostName) *source {
	if s := a.find(name); s != nil {
		return s
	}
	if len(a.sources) >= maxSources {
		a.sources = slices.DeleteFunc(a.sources, func(s source) bool { return s.asked == 0 })
	}
	a.sources = append(a.sources, source{
		name: name,
	})
	return &a.sources[len(a.sources)-1]
}
