package follow

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaway/core"
)

// Config configures a State.
type Config struct {
	Regions []core.RegionSpec
	// RecoveryGrace is how long upstreams whose registrations expired during a store outage are
	// kept after the store has recovered.
	RecoveryGrace time.Duration
}

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

// entry is the last known state of one key.
type entry struct {
	core.RegistryChange
	// coldUntil is the end of the cold start that the upstream reported, zero if none.
	coldUntil time.Time
	// retainedUntil is set if the registration was deleted during or shortly after a store outage;
	// the upstream stays in use until then.
	retainedUntil time.Time
}

// State is the known content of the registry. It is not safe for concurrent use.
type State struct {
	config  Config
	entries map[string]*entry
	// completeRevision is the revision up to which all changes are known, and compactedRevision
	// the one up to which deleted keys have been dropped.
	completeRevision  uint64
	compactedRevision uint64
	isListed          bool
	isStoreDown       bool
	recoveredAt       time.Time
	view              View
	// snapshotRevision counts the snapshots that were built.
	snapshotRevision uint64
	// olderChanges counts the changes that were not applied because of their revision, although
	// they differ from what is known.
	olderChanges int64
	events       []Event
}

// New returns an empty state.
func New(config Config) *State {
	return &State{
		config:  config,
		entries: map[string]*entry{},
	}
}

// Revision returns the revision from which a watch has to continue, 0 before the first listing.
func (s *State) Revision() uint64 {
	return s.completeRevision
}

// IsReady reports whether a configuration and the list of upstreams are known.
func (s *State) IsReady() bool {
	return s.isListed && s.view.Snapshot != nil
}

// View returns the current view.
func (s *State) View() View {
	return s.view
}

// OlderChanges returns the number of changes that were not applied because of their revision, although
// they differ from what is known. It increases with late and stale answers.
func (s *State) OlderChanges() int64 {
	return s.olderChanges
}

// TakeEvents returns the changes of the view since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// MarkStoreDown records that the store does not answer.
func (s *State) MarkStoreDown() {
	s.isStoreDown = true
}

// MarkStoreUp records that the store answered. Registrations that it deletes during the following
// grace period may have expired only because their upstreams could not renew them.
func (s *State) MarkStoreUp(now time.Time) {
	if s.isStoreDown {
		s.isStoreDown = false
		s.recoveredAt = now
	}
}

// ApplyListing applies the whole content of the store as of a revision.
func (s *State) ApplyListing(now time.Time, changes []core.RegistryChange, revision uint64) {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.Key] = true
		s.apply(now, change)
	}
	for key, known := range s.entries {
		if !listed[key] && !known.IsDelete && known.Revision <= revision {
			s.apply(now, core.RegistryChange{
				RegistryItem: core.RegistryItem{
					Key:      key,
					Revision: revision,
					IsDelete: true,
				},
			})
		}
	}
	s.isListed = true
	s.completeRevision = max(s.completeRevision, revision)
	s.compact()
	s.rebuild(now)
}

// ApplyWatch applies the result of a watch that continued from Revision.
func (s *State) ApplyWatch(now time.Time, changes []core.RegistryChange, revision uint64) {
	for _, change := range changes {
		s.apply(now, change)
	}
	s.completeRevision = max(s.completeRevision, revision)
	if len(changes) > 0 {
		s.compact()
		s.rebuild(now)
	}
}

// keptDeletedKeys is the number of deleted keys that are kept for daemons that follow this one.
const keptDeletedKeys = 2048

// compact drops the oldest deleted keys once there are twice keptDeletedKeys of them.
func (s *State) compact() {
	var deleted []uint64
	for _, e := range s.entries {
		if e.IsDelete && e.Upstream == nil && e.Config == nil {
			deleted = append(deleted, e.Revision)
		}
	}
	if len(deleted) < 2*keptDeletedKeys {
		return
	}
	slices.Sort(deleted)
	s.compactedRevision = deleted[len(deleted)-keptDeletedKeys]
	maps.DeleteFunc(s.entries, func(_ string, e *entry) bool {
		return e.IsDelete && e.Upstream == nil && e.Config == nil && e.Revision <= s.compactedRevision
	})
}

// ChangesSince returns the changes after a revision, for daemons that follow this one; ok is
// false before the first listing and if some of them may have been dropped. For revision 0 it
// returns the whole content without deleted keys.
func (s *State) ChangesSince(after uint64) (answer core.RegistryAnswer, ok bool) {
	if !s.isListed || after > 0 && after < s.compactedRevision {
		return core.RegistryAnswer{}, false
	}
	answer.Revision = s.completeRevision
	if after > 0 && after >= s.completeRevision {
		return answer, true
	}
	for _, e := range s.entries {
		if e.Revision > after && (after > 0 || !e.IsDelete) {
			answer.Items = append(answer.Items, e.RegistryItem)
		}
	}
	slices.SortFunc(answer.Items, func(a, b core.RegistryItem) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return answer, true
}

// apply applies one change unless the same or a newer one of its key is known.
func (s *State) apply(now time.Time, change core.RegistryChange) {
	known := s.entries[change.Key]
	if known != nil && change.Revision <= known.Revision {
		if change.IsDelete != known.IsDelete || !bytes.Equal(change.Value, known.Value) {
			s.olderChanges++
		}
		return
	}
	next := &entry{
		RegistryChange: change,
	}
	if change.Upstream != nil && change.Upstream.ColdRemaining > 0 {
		next.coldUntil = now.Add(change.Upstream.ColdRemaining)
	}
	if change.IsDelete && known != nil {
		s.retainDeleted(now, known, next)
	}
	s.entries[change.Key] = next
	s.recordEvent(known, next)
}

// retainDeleted keeps what is still in use of a deleted entry: a configuration, which operators
// replace but never delete, and an upstream whose registration may have expired because of an
// outage.
func (s *State) retainDeleted(now time.Time, known, next *entry) {
	next.Config = known.Config
	graceEnds := s.recoveredAt.Add(s.config.RecoveryGrace)
	isOutageExpiry := s.isStoreDown || !s.recoveredAt.IsZero() && now.Before(graceEnds)
	if isOutageExpiry && known.Upstream != nil && known.Upstream.Host.State == core.HostLive {
		next.Upstream = known.Upstream
		next.coldUntil = known.coldUntil
		next.retainedUntil = graceEnds
		if s.isStoreDown {
			next.retainedUntil = now.Add(s.config.RecoveryGrace)
		}
	}
}

// Expire drops upstreams whose grace period has ended and returns the time at which the next
// one ends, zero if there is none.
func (s *State) Expire(now time.Time) time.Time {
	var next time.Time
	isChanged := false
	for _, e := range s.entries {
		if !e.IsDelete || e.Upstream == nil {
			continue
		}
		if !now.Before(e.retainedUntil) {
			e.Upstream = nil
			isChanged = true
			continue
		}
		if next.IsZero() || e.retainedUntil.Before(next) {
			next = e.retainedUntil
		}
	}
	if isChanged {
		s.rebuild(now)
	}
	return next
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
			Out:      out,
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
	if last := s.view.Snapshot; last != nil && newest != nil && newest.Version < last.Version {
		return last
	}
	return newest
}

func (s *State) zonesOut() map[core.AvailabilityZone]bool {
	out := map[core.AvailabilityZone]bool{}
	for _, e := range s.entries {
		if e.Zone != "" && !e.IsDelete {
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
// upstream that started last.
func (s *State) rebuildMembers(now time.Time) {
	latest := map[core.HostName]*entry{}
	for _, e := range s.entries {
		if e.Upstream == nil {
			continue
		}
		name := e.Upstream.Host.Name
		if other := latest[name]; other == nil || supersedes(e, other) {
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
func supersedes(a, b *entry) bool {
	if a.IsDelete != b.IsDelete {
		return b.IsDelete
	}
	return cmp.Or(cmp.Compare(a.Upstream.StartedMs, b.Upstream.StartedMs), cmp.Compare(a.Revision, b.Revision)) > 0
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
