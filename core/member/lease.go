package member

import (
	"slices"
	"time"

	"verbenaway/core"
)

// leasing decides whether this daemon may own keys.
type leasing struct {
	// lastProbed holds the time of the last probe by each member.
	lastProbed map[core.HostName]time.Time
	// departures holds the ends of processes that may have owned keys, oldest first.
	departures map[core.ServiceName][]core.Departure
}

// departureFor is how long departures are kept: longer than the owner keeps keys.
const departureFor = 15 * time.Minute

func newLeasing() leasing {
	return leasing{
		lastProbed: map[core.HostName]time.Time{},
		departures: map[core.ServiceName][]core.Departure{},
	}
}

// departed notes that a process which may have owned keys ended, if the change from one event
// to the next says so. A process that comes back with a later EligibleAt has lost its keys or
// was held for dead in between.
func (l *leasing) departed(now time.Time, before, after core.MemberEvent, delay time.Duration) {
	if before.EligibleAt == 0 || !isLive(before.State) || isLive(after.State) && before.EligibleAt >= after.EligibleAt {
		return
	}
	departure := core.Departure{
		Host: before.Host.Name,
		At:   now.Add(delay),
	}
	if after.State == core.MemberLeft && after.LeavingAt != 0 {
		departure.At = time.UnixMilli(after.LeavingAt)
		departure.IsPlanned = true
	}
	service := before.Host.Service
	kept := slices.DeleteFunc(slices.Clone(l.departures[service]), func(d core.Departure) bool {
		return now.Sub(d.At) > departureFor
	})
	l.departures[service] = append(kept, departure)
}

// probers returns the members that probe this daemon.
func (t *Tracker) probers() []core.HostName {
	return t.rings.of(t.config.Self.Region).before(t.config.Self.Name, partnerCount)
}

// probed notes a probe by another member.
func (t *Tracker) probed(now time.Time, prober core.HostName) {
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
// lasts LeaseFor after the latest time by which a majority of the present probers had probed
// it.
func (t *Tracker) OwnerLease() time.Time {
	probers := t.probers()
	if len(probers) == 0 {
		return t.leaseAlone()
	}
	var times []time.Time
	for _, prober := range probers {
		times = append(times, t.lease.lastProbed[prober])
	}
	slices.SortFunc(times, func(a, b time.Time) int {
		return b.Compare(a)
	})
	majority := len(times)/2 + 1
	granted := times[majority-1]
	if granted.IsZero() {
		return time.Time{}
	}
	return granted.Add(t.config.LeaseFor)
}

// leaseAlone is the lease of a daemon that nobody probes. If a member is dead in its view it
// may itself be the one that is cut off, so it has no lease.
func (t *Tracker) leaseAlone() time.Time {
	for name := range t.tombstones {
		if t.records[name].event.State == core.MemberDead {
			return time.Time{}
		}
	}
	return time.UnixMilli(1 << 52)
}

// Departed returns the recent ends of processes that may have owned keys of a service.
func (t *Tracker) Departed(service core.ServiceName) []core.Departure {
	return t.lease.departures[service]
}
