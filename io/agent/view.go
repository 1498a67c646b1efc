package agent

import (
	"time"

	"verbenaway/core"
)

// configView is the configuration as published to the request path.
type configView struct {
	snapshot *core.Snapshot
	refusal  core.ErrorKind
}

// memberView holds the members as published to the request path. It is immutable.
type memberView struct {
	byService    map[core.ServiceName][]core.Member
	departures   map[core.ServiceName][]core.Departure
	countByState map[core.MemberState]int
}

// Snapshot returns the configuration in force, or why requests are refused, without a lock. It also
// checks the time since the last loop iteration, because a request may run before the loop when a
// paused process resumes.
func (a *Agent) Snapshot() (*core.Snapshot, core.ErrorKind) {
	for {
		view := a.view.Load()
		if view.refusal != "" {
			return nil, view.refusal
		}
		since := a.config.Clock.Now().Sub(a.base) - time.Duration(a.lastIteration.Load())
		if since > a.timings.PauseThreshold {
			return nil, core.SuspectView
		}
		// The process may have been paused since the view was loaded, and the loop may have
		// run in between.
		if a.view.Load() == view {
			return view.snapshot, ""
		}
	}
}

// ObserveVersion passes the version of a request to the event loop. It never blocks; if the inbox is
// full, the version is dropped and learned from a later request or digest.
func (a *Agent) ObserveVersion(host core.HostName, version core.Version) {
	known := a.highestVersion.Load()
	if uint64(version) <= known || !a.highestVersion.CompareAndSwap(known, uint64(version)) {
		return
	}
	select {
	case a.inbox <- func(now time.Time) { a.observeVersion(now, host, version) }:
	default:
	}
}

// publishView replaces the view if it changed and records zones taken out or brought back.
func (a *Agent) publishView() {
	old := a.view.Load()
	snapshot, refusal := a.machine.Served(), a.machine.Refusal()
	if old != nil && old.snapshot == snapshot && old.refusal == refusal {
		return
	}
	next := &configView{
		snapshot: snapshot,
		refusal:  refusal,
	}
	a.view.Store(next)
	if old == nil || old.snapshot == next.snapshot {
		return
	}
	a.highestVersion.Store(max(a.highestVersion.Load(), uint64(next.snapshot.Version)))
	a.recordZoneChanges(old.snapshot, next.snapshot)
}

func (a *Agent) recordZoneChanges(before, after *core.Snapshot) {
	for zone := range after.Out {
		if !before.Out[zone] {
			a.record(core.EventZoneOut, after.Version, string(zone), "")
		}
	}
	for zone := range before.Out {
		if !after.Out[zone] {
			a.record(core.EventZoneBack, after.Version, string(zone), "")
		}
	}
}

// Self returns the host of this daemon as configured.
func (a *Agent) Self() core.Host {
	return a.config.Self
}

// ServiceMembers returns the members of a service that are neither dead nor left.
func (a *Agent) ServiceMembers(service core.ServiceName) []core.Member {
	return a.members.Load().byService[service]
}

// OwnerLease returns the time until which this daemon may own idempotency keys.
func (a *Agent) OwnerLease() time.Time {
	return *a.lease.Load()
}

// Departures returns the recent departures of processes that may have owned idempotency keys of
// a service.
func (a *Agent) Departures(service core.ServiceName) []core.Departure {
	return a.members.Load().departures[service]
}

// publishMembers replaces the member view and the owner lease.
func (a *Agent) publishMembers() {
	view := &memberView{
		byService:    map[core.ServiceName][]core.Member{},
		departures:   map[core.ServiceName][]core.Departure{},
		countByState: map[core.MemberState]int{},
	}
	for _, m := range a.tracker.Live() {
		service := m.Host.Service
		view.byService[service] = append(view.byService[service], m)
		view.countByState[m.State]++
	}
	for service := range view.byService {
		view.departures[service] = a.tracker.Departures(service)
	}
	a.members.Store(view)
	a.publishLease()
}

func (a *Agent) publishLease() {
	lease := a.tracker.OwnerLease()
	if old := a.lease.Load(); old == nil || !old.Equal(lease) {
		a.lease.Store(&lease)
	}
}
