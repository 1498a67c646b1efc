package agent

import (
	"time"

	"verbenaway/core"
)

// configView is what the request path sees of the configuration.
type configView struct {
	snapshot *core.Snapshot
	refusal  core.Kind
}

// memberView is what the request path sees of the members. It is immutable.
type memberView struct {
	byService map[core.ServiceName][]core.Member
	departed  map[core.ServiceName][]core.Departure
	byState   map[core.MemberState]int
}

// Snapshot returns the configuration in force without taking a lock. The time since the last
// turn of the loop is checked as well, because a request may run before the loop does once a
// paused process resumes.
func (a *Agent) Snapshot() (*core.Snapshot, core.Kind) {
	for {
		view := a.view.Load()
		if view.refusal != "" {
			return nil, view.refusal
		}
		since := a.config.Clock.Now().Sub(a.base) - time.Duration(a.lastBeat.Load())
		if since > a.timings.PauseGap {
			return nil, core.SuspectView
		}
		// The process may have been paused since the view was loaded, and the loop may have
		// run in between.
		if a.view.Load() == view {
			return view.snapshot, ""
		}
	}
}

// ObserveVersion passes on a version that came with a request. It never blocks and drops what the
// loop cannot take; a digest repairs that.
func (a *Agent) ObserveVersion(host core.HostName, version core.Version) {
	known := a.known.Load()
	if uint64(version) <= known || !a.known.CompareAndSwap(known, uint64(version)) {
		return
	}
	select {
	case a.inbox <- func(now time.Time) { a.observe(now, host, version) }:
	default:
	}
}

// publishView replaces the view if it changed and records what operators wait for.
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
	a.known.Store(max(a.known.Load(), uint64(next.snapshot.Version)))
	a.recordZones(old.snapshot, next.snapshot)
}

func (a *Agent) recordZones(before, after *core.Snapshot) {
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

// Self returns the own host as configured.
func (a *Agent) Self() core.Host {
	return a.config.Self
}

// ServiceMembers returns the members of a service that are not dead or left.
func (a *Agent) ServiceMembers(service core.ServiceName) []core.Member {
	return a.members.Load().byService[service]
}

// OwnerLease returns the time until which this daemon may act as key owner.
func (a *Agent) OwnerLease() time.Time {
	return *a.lease.Load()
}

// Departures returns the recent ends of processes that may have owned keys of a service.
func (a *Agent) Departures(service core.ServiceName) []core.Departure {
	return a.members.Load().departed[service]
}

// publishMembers replaces the view of the members.
func (a *Agent) publishMembers() {
	view := &memberView{
		byService: map[core.ServiceName][]core.Member{},
		departed:  map[core.ServiceName][]core.Departure{},
		byState:   map[core.MemberState]int{},
	}
	for _, m := range a.tracker.Alive() {
		service := m.Host.Service
		view.byService[service] = append(view.byService[service], m)
		view.byState[m.State]++
	}
	for service := range view.byService {
		view.departed[service] = a.tracker.Departures(service)
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
