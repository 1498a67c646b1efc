package quota

import (
	"time"

	"verbenaway/core"
)

const (
	// cutShare is the part of its rate that a granter hands out which may have been replaced.
	cutShare = 0.1
	// probeCount is the number of daemons that are asked whether the store is down, and maxMissing the
	// number that need not answer.
	probeCount = 8
	maxMissing = 1
	// probeInterval is the time between two such questions.
	probeInterval = time.Second
)

// Outage tells a granter that has lost contact with the store whether others have lost it too. If so, no
// view of the daemons changes, and it goes on. If not, it may be cut off and replaced by another. The
// zero value is ready for use.
type Outage struct {
	// confirmedAt is the time of the last confirmation, zero if there is none.
	confirmedAt time.Time
	probedAt    time.Time
}

// Share returns the part of its rate that a granter hands out, and whether to probe.
func (o *Outage) Share(now time.Time, contactAge, expiryTime time.Duration) (share float64, isProbeDue bool) {
	// The first answers arrive before the registration of a daemon that is cut off expires.
	if contactAge < expiryTime-probeInterval {
		return 1, false
	}
	isProbeDue = o.probedAt.IsZero() || now.Sub(o.probedAt) >= probeInterval
	if isProbeDue {
		o.probedAt = now
	}
	if contactAge < expiryTime || o.IsConfirmedAt(now) {
		return 1, isProbeDue
	}
	return cutShare, isProbeDue
}

// IsConfirmedAt reports whether the store was down for others too shortly before a time.
func (o *Outage) IsConfirmedAt(at time.Time) bool {
	return !o.confirmedAt.IsZero() && at.Sub(o.confirmedAt) < 2*probeInterval
}

// ProbeResult is what some daemons have answered.
type ProbeResult struct {
	Asked    int
	Answered int
	// InContact is the number of those that have contact with the store, Agreeing of those that know
	// the same daemons as this one.
	InContact int
	Agreeing  int
}

// Conclude applies the answers to a probe. A daemon that was cut off until the store failed knows other
// daemons than most.
func (o *Outage) Conclude(now time.Time, result ProbeResult) {
	isAnswered := result.Asked > 0 && result.Answered >= result.Asked-result.Asked*maxMissing/probeCount
	if isAnswered && result.InContact == 0 && 2*result.Agreeing > result.Answered {
		o.confirmedAt = now
		return
	}
	o.confirmedAt = time.Time{}
}

// Probes returns the daemons to ask, by a random number.
func (r *Ring) Probes(random uint64) []core.Host {
	var others []core.Host
	for i := range r.zones {
		for _, member := range r.zones[i].members {
			if member.host.Name != r.self {
				others = append(others, member.host)
			}
		}
	}
	for i := range min(probeCount, len(others)) {
		random = score(random, uint64(i)+1)
		j := i + int(random%uint64(len(others)-i))
		others[i], others[j] = others[j], others[i]
	}
	return others[:min(probeCount, len(others))]
}
