package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaway/core"
)

// View is the state that the request path uses. It is immutable.
type View struct {
	// Snapshot is nil until a configuration is known.
	Snapshot *core.Snapshot
	// Members holds the upstreams of each service, sorted by host name.
	Members map[core.ServiceName][]core.Member
	// ByName holds the same upstreams by host name, which is the upstream's address.
	ByName map[core.HostName]core.Member
}

// Event reports a change of the daemon's view, for logs.
type Event struct {
	Kind     core.EventKind
	Subject  string
	Revision uint64
	Detail   string
}

// rebuild derives the view from the entries.
func (s *State) rebuild(now time.Time) {
	newest := s.newestConfig()
	out := s.zonesOut()
	last := s.view.Snapshot
	if newest != nil && (last == nil || last.Version != newest.Version || !maps.Equal(last.Out, out)) {
		s.snapshotRevision++
		s.view.Snapshot = &core.Snapshot{
			Version:  newest.Version,
			Revision: s.snapshotRevision,
			Regions:  s.regions(),
			Services: newest.Services,
			Routes:   newest.Routes,
			Tenants:  newest.Tenants,
			Labels:   newest.Labels,
			Out:      out,

			MaxHeaderBytes: newest.MaxHeaderBytes,
		}
	}
	s.rebuildMembers(now)
}

// newestConfig returns the configuration with the highest version, which is never lower than
// one that this process has already used.
func (s *State) newestConfig() *core.Snapshot {
	var newest *core.Snapshot
	for _, e := range s.entries {
		if e.Config != nil && (newest == nil || e.Config.Version > newest.Version) {
			newest = e.Config
		}
	}
	if last := s.view.Snapshot; last != nil && (newest == nil || newest.Version < last.Version) {
		return last
	}
	return newest
}

func (s *State) zonesOut() map[core.AvailabilityZone]bool {
	out := map[core.AvailabilityZone]bool{}
	for _, e := range s.entries {
		if e.Zone != "" {
			out[e.Zone] = true
		}
	}
	return out
}

func (s *State) regions() map[core.Region]core.RegionSpec {
	regions := make(map[core.Region]core.RegionSpec, len(s.config.Regions))
	for _, spec := range s.config.Regions {
		regions[spec.Name] = spec
	}
	return regions
}

// rebuildMembers lists the upstreams in use. Addresses are reused, so each one belongs to the
// upstream that started last; one of a service that the configuration does not name, as other writers
// may register it, has an address only if no other upstream claims it.
func (s *State) rebuildMembers(now time.Time) {
	latest := map[core.HostName]*entry{}
	for _, e := range s.entries {
		if e.Upstream == nil {
			continue
		}
		name := e.Upstream.Host.Name
		if other := latest[name]; other == nil || s.supersedes(e, other) {
			latest[name] = e
		}
	}
	view := View{
		Snapshot: s.view.Snapshot,
		Members:  map[core.ServiceName][]core.Member{},
		ByName:   make(map[core.HostName]core.Member, len(latest)),
	}
	for name, e := range latest {
		member := e.member(now)
		view.ByName[name] = member
		service := member.Host.Service
		view.Members[service] = append(view.Members[service], member)
	}
	for service, members := range view.Members {
		slices.SortFunc(members, func(a, b core.Member) int {
			return cmp.Compare(a.Host.Name, b.Host.Name)
		})
		if known := s.view.Members[service]; slices.Equal(known, members) {
			view.Members[service] = known
		}
	}
	s.view = view
}

// supersedes reports whether the address that a and b share belongs to a.
func (s *State) supersedes(a, b *entry) bool {
	isKnown := s.isServiceKnown(a)
	switch {
	case isKnown != s.isServiceKnown(b):
		return isKnown
	case a.Upstream.StartedMs != b.Upstream.StartedMs:
		return a.Upstream.StartedMs > b.Upstream.StartedMs
	case a.IsDelete != b.IsDelete:
		return b.IsDelete
	}
	return a.Revision > b.Revision
}

// isServiceKnown reports whether the configuration names the service of an upstream; without a
// configuration every service counts as known.
func (s *State) isServiceKnown(e *entry) bool {
	if s.view.Snapshot == nil {
		return true
	}
	_, ok := s.view.Snapshot.Services[e.Upstream.Host.Service]
	return ok
}

func (e *entry) member(now time.Time) core.Member {
	member := core.Member{
		Host:  e.Upstream.Host,
		State: core.MemberAlive,
		Slots: e.Upstream.Slots,
	}
	if member.Host.State == core.HostLeaving {
		member.State = core.MemberLeaving
	}
	if e.Upstream.StartedMs > 0 {
		member.StartedAt = time.UnixMilli(e.Upstream.StartedMs)
	}
	if now.Before(e.coldUntil) {
		member.ColdUntil = e.coldUntil
	}
	return member
}

// recordEvent records how a change affects the daemon's view.
func (s *State) recordEvent(before, after *entry) {
	event := Event{
		Revision: after.Revision,
	}
	switch {
	case after.Config != nil && !after.IsDelete:
		event.Kind = core.EventVersionApplied
	case after.Zone != "" && !after.IsDelete:
		event.Kind, event.Subject = core.EventZoneOut, string(after.Zone)
	case before != nil && before.Zone != "" && after.IsDelete:
		event.Kind, event.Subject = core.EventZoneBack, string(before.Zone)
	case after.Upstream != nil || before != nil && before.Upstream != nil:
		event = upstreamEvent(event, before, after)
	default:
		return
	}
	s.events = append(s.events, event)
}

func upstreamEvent(event Event, before, after *entry) Event {
	event.Kind = core.EventMemberChanged
	record := after.Upstream
	if record == nil {
		record = before.Upstream
	}
	event.Subject = record.Host.Instance
	switch {
	case after.IsDelete && after.Upstream != nil:
		event.Detail = "the registration expired around a store outage; the upstream is kept for a grace period"
	case after.IsDelete:
		event.Detail = "gone"
	case after.Upstream == nil:
		event.Detail = "the registration cannot be decoded"
	default:
		event.Detail = string(record.Host.State) + " at " + string(record.Host.Name) + ", cold for " + record.ColdRemaining.String()
	}
	return event
}
