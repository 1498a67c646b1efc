package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaway/core"
)

// Config configures a State.
type Config struct {
	Regions []core.RegionSpec
	// ReturnGrace is how long the upstreams whose entries lapsed during an outage of the store
	// are kept after its return.
	ReturnGrace time.Duration
}

// View is what the request path uses. It is immutable.
type View struct {
	// Snapshot is nil until a configuration is known.
	Snapshot *core.Snapshot
	// Members holds the upstreams of each service in the order of their names.
	Members map[core.ServiceName][]core.Member
	// ByName holds the same upstreams by host name, which is the address of the upstream.
	ByName map[core.HostName]core.Member
}

// Notice is a change of what the daemon believes, for logs.
type Notice struct {
	Kind     core.EventKind
	Subject  string
	Revision uint64
	Detail   string
}

// entry is the last known state of one key.
type entry struct {
	core.RegistryChange
	coldUntil time.Time
	// lapsedUntil is set if the entry was deleted around an outage; the upstream stays in
	// use until then.
	lapsedUntil time.Time
}

// State is the content of the registry as far as it is known. It is not safe for concurrent
// use.
type State struct {
	config  Config
	entries map[string]*entry
	// complete is the revision up to which everything is known, floor the one up to which
	// deletions may have been forgotten.
	complete uint64
	floor    uint64
	isListed bool
	isLost   bool
	backAt   time.Time
	view     View
	built    uint64
	notices  []Notice
}

// New returns a state that knows nothing.
func New(config Config) *State {
	return &State{
		config:  config,
		entries: map[string]*entry{},
	}
}

// Revision returns the revision after which a watch continues, 0 before the first listing.
func (s *State) Revision() uint64 {
	return s.complete
}

// IsReady tells whether a configuration and the list of upstreams are known.
func (s *State) IsReady() bool {
	return s.isListed && s.view.Snapshot != nil
}

// View returns the view after the last change.
func (s *State) View() View {
	return s.view
}

// Notices returns the changes of belief since the last call.
func (s *State) Notices() []Notice {
	notices := s.notices
	s.notices = nil
	return notices
}

// StoreLost tells that the store does not answer.
func (s *State) StoreLost() {
	s.isLost = true
}

// StoreBack tells that the store answered. Entries that it deletes from now on for the time
// of the grace may have lapsed only because their upstreams could not renew them.
func (s *State) StoreBack(now time.Time) {
	if s.isLost {
		s.isLost = false
		s.backAt = now
	}
}

// List takes over the whole content as of a revision.
func (s *State) List(now time.Time, changes []core.RegistryChange, revision uint64) {
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
	s.complete = max(s.complete, revision)
	s.forget()
	s.rebuild(now)
}

// Watch takes over the result of a watch that continued from Revision.
func (s *State) Watch(now time.Time, changes []core.RegistryChange, revision uint64) {
	for _, change := range changes {
		s.apply(now, change)
	}
	s.complete = max(s.complete, revision)
	if len(changes) > 0 {
		s.forget()
		s.rebuild(now)
	}
}

// maxDeleted bounds the deleted keys that are kept for daemons that follow this one.
const maxDeleted = 2048

// forget drops deleted keys once there are twice as many as are kept.
func (s *State) forget() {
	var deleted []uint64
	for _, e := range s.entries {
		if e.IsDelete && e.Upstream == nil && e.Config == nil {
			deleted = append(deleted, e.Revision)
		}
	}
	if len(deleted) < 2*maxDeleted {
		return
	}
	slices.Sort(deleted)
	s.floor = deleted[len(deleted)-maxDeleted]
	maps.DeleteFunc(s.entries, func(_ string, e *entry) bool {
		return e.IsDelete && e.Upstream == nil && e.Config == nil && e.Revision <= s.floor
	})
}

// Since returns what changed after a revision, for daemons that follow this one; ok is false
// if that is no longer known. Since 0 returns the whole content without deleted keys.
func (s *State) Since(after uint64) (answer core.RegistryAnswer, ok bool) {
	if !s.isListed || after > 0 && after < s.floor {
		return core.RegistryAnswer{}, false
	}
	answer.Revision = s.complete
	if after > 0 && after >= s.complete {
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

// apply takes over one change unless a newer one of the key is known.
func (s *State) apply(now time.Time, change core.RegistryChange) {
	known := s.entries[change.Key]
	if known != nil && change.Revision <= known.Revision {
		return
	}
	next := &entry{
		RegistryChange: change,
	}
	if change.Upstream != nil && change.Upstream.ColdFor > 0 {
		next.coldUntil = now.Add(change.Upstream.ColdFor)
	}
	if change.IsDelete && known != nil {
		s.delete(now, known, next)
	}
	s.entries[change.Key] = next
	s.notice(known, next)
}

// delete keeps a configuration, which operators replace but never delete, and an upstream
// whose entry may have lapsed because of an outage.
func (s *State) delete(now time.Time, known, next *entry) {
	next.Config = known.Config
	graceEnd := s.backAt.Add(s.config.ReturnGrace)
	isLapse := s.isLost || !s.backAt.IsZero() && now.Before(graceEnd)
	if isLapse && known.Upstream != nil && known.Upstream.Host.State == core.HostLive {
		next.Upstream = known.Upstream
		next.coldUntil = known.coldUntil
		next.lapsedUntil = graceEnd
		if s.isLost {
			next.lapsedUntil = now.Add(s.config.ReturnGrace)
		}
	}
}

// Expire drops upstreams whose grace has ended and returns the end of the next one, zero if
// there is none.
func (s *State) Expire(now time.Time) time.Time {
	var next time.Time
	isChanged := false
	for _, e := range s.entries {
		if !e.IsDelete || e.Upstream == nil {
			continue
		}
		if !now.Before(e.lapsedUntil) {
			e.Upstream = nil
			isChanged = true
			continue
		}
		if next.IsZero() || e.lapsedUntil.Before(next) {
			next = e.lapsedUntil
		}
	}
	if isChanged {
		s.rebuild(now)
	}
	return next
}

// rebuild derives the view.
func (s *State) rebuild(now time.Time) {
	newest := s.newestConfig()
	out := s.zonesOut()
	last := s.view.Snapshot
	if newest != nil && (last == nil || last.Version != newest.Version || !maps.Equal(last.Out, out)) {
		s.built++
		s.view.Snapshot = &core.Snapshot{
			Version:  newest.Version,
			Revision: s.built,
			Regions:  s.regions(),
			Services: newest.Services,
			Routes:   newest.Routes,
			Out:      out,
		}
	}
	s.rebuildMembers(now)
}

// newestConfig returns the configuration with the highest revision. A version that the
// process has used is never left for a lower one.
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

// rebuildMembers lists the upstreams in use. An address belongs to the upstream that was
// born last, since addresses are used again.
func (s *State) rebuildMembers(now time.Time) {
	latest := map[core.HostName]*entry{}
	for _, e := range s.entries {
		if e.Upstream == nil {
			continue
		}
		name := e.Upstream.Host.Name
		if other := latest[name]; other == nil || isLater(e, other) {
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

func isLater(a, b *entry) bool {
	if a.IsDelete != b.IsDelete {
		return b.IsDelete
	}
	return cmp.Or(cmp.Compare(a.Upstream.Born, b.Upstream.Born), cmp.Compare(a.Revision, b.Revision)) > 0
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

// notice records what a change means for the daemon's beliefs.
func (s *State) notice(before, after *entry) {
	n := Notice{
		Revision: after.Revision,
	}
	switch {
	case after.Config != nil && !after.IsDelete:
		n.Kind = core.EventVersionApplied
	case after.Zone != "" && !after.IsDelete:
		n.Kind, n.Subject = core.EventZoneOut, string(after.Zone)
	case before != nil && before.Zone != "" && after.IsDelete:
		n.Kind, n.Subject = core.EventZoneBack, string(before.Zone)
	case after.Upstream != nil || before != nil && before.Upstream != nil:
		n = upstreamNotice(n, before, after)
	default:
		return
	}
	s.notices = append(s.notices, n)
}

func upstreamNotice(n Notice, before, after *entry) Notice {
	n.Kind = core.EventMemberChanged
	record := after.Upstream
	if record == nil {
		record = before.Upstream
	}
	n.Subject = record.Host.Instance
	switch {
	case after.IsDelete && after.Upstream != nil:
		n.Detail = "the entry lapsed around an outage of the store and is kept for now"
	case after.IsDelete:
		n.Detail = "gone"
	case after.Upstream == nil:
		n.Detail = "the entry cannot be read"
	default:
		n.Detail = string(record.Host.State) + " at " + string(record.Host.Name) + ", cold for " + record.ColdFor.String()
	}
	return n
}
