package member

import (
	"slices"
	"time"

	"verbenaway/core"
)

// leaseState holds what decides whether this daemon may own idempotency keys.
type leaseState struct {
	// lastProbed holds the time of the last probe received from each member.
	lastProbed map[core.HostName]time.Time
	// departures holds the exits of processes that may have owned keys, oldest first.
	departures map[core.ServiceName][]core.Departure
}

// departureRetention is how long departures are kept: longer than an owner keeps keys.
const departureRetention = 15 * time.Minute

func newLeaseState() leaseState {
	return leaseState{
		lastProbed: map[core.HostName]time.Time{},
		departures: map[core.ServiceName][]core.Departure{},
	}
}

// recordDeparture records the exit of a process that may have owned keys, if the change from
// one event to the next implies it. A process that returns with a later EligibleAt has lost its
// keys or was considered dead in between. A planned departure takes effect at LeavingAt, any other
// after ownershipDelay.
func (l *leaseState) recordDeparture(now time.Time, before, after core.MemberEvent, ownershipDelay time.Duration) {
	if before.EligibleAt == 0 || !isLive(before.State) || isLive(after.State) && before.EligibleAt >= after.EligibleAt {
		return
	}
	departure := core.Departure{
		Host: before.Host.Name,
		At:   now.Add(ownershipDelay),
	}
	if after.State == core.MemberLeft && after.LeavingAt != 0 {
		departure.At = time.UnixMilli(after.LeavingAt)
		departure.IsPlanned = true
	}
	service := before.Host.Service
	kept := slices.DeleteFunc(slices.Clone(l.departures[service]), func(d core.Departure) bool {
		return now.Sub(d.At) > departureRetention
	})
	l.departures[service] = append(kept, departure)
}

// probers returns the members that probe this daemon.
func (t *Tracker) probers() []core.HostName {
	return t.rings.forRegion(t.config.Self.Region).before(t.config.Self.Name, partnerCount)
}

func (t *Tracker) recordProbe(now time.Time, prober core.HostName) {
	probers := t.probers()
	if !slices.Contains(probers, prober) {
		return
	}
	t.lease.lastProbed[prober] = now
	for name := range t.lease.lastProbed {
		if !slices.Contains(probers, name) {
			delete(t.lease.lastProbed, name)
		}
	}
}

// OwnerLease returns the time until which this daemon may act as owner of keys. The lease
// lasts LeaseDuration from the latest time by which a majority of the current probers had
// probed it, and is zero before that.
func (t *Tracker) OwnerLease() time.Time {
	probers := t.probers()
	if len(probers) == 0 {
		return t.leaseWithoutProbers()
	}
	var probeTimes []time.Time
	for _, prober := range probers {
		probeTimes = append(probeTimes, t.lease.lastProbed[prober])
	}
	slices.SortFunc(probeTimes, func(a, b time.Time) int {
		return b.Compare(a)
	})
	majority := len(probeTimes)/2 + 1
	granted := probeTimes[majority-1]
	if granted.IsZero() {
		return time.Time{}
	}
	return granted.Add(t.config.LeaseDuration)
}

// leaseWithoutProbers returns the lease of a daemon that nobody probes: unlimited, or none if
// this daemon considers any member dead, since then it may itself be the partitioned one.
func (t *Tracker) leaseWithoutProbers() time.Time {
	for name := range t.tombstones {
		if t.records[name].event.State == core.MemberDead {
			return time.Time{}
		}
	}
	return time.UnixMilli(1 << 52)
}

// Departures returns the recent exits of processes that may have owned keys of a service.
func (t *Tracker) Departures(service core.ServiceName) []core.Departure {
	return t.lease.departures[service]
}
