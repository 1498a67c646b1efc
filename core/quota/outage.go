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
	if contactAge < expiryTime || !o.confirmedAt.IsZero() && now.Sub(o.confirmedAt) < 2*probeInterval {
		return 1, isProbeDue
	}
	return cutShare, isProbeDue
}

// Conclude applies the answers to a probe: of the daemons asked, the number that answered, and of these
// the number with contact to the store.
func (o *Outage) Conclude(now time.Time, asked, answered, inContact int) {
	if asked > 0 && inContact == 0 && answered >= asked-asked*maxMissing/probeCount {
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
