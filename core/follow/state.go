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
	// DepartureHold is how long upstreams that are known to have left are not used if a restored
	// store has their registrations again.
	DepartureHold time.Duration
}

// entry is the last known state of one key.
type entry struct {
	core.RegistryChange
	// coldUntil is the end of the cold start that the upstream reported, zero if none.
	coldUntil time.Time
	// retainedUntil is set if the registration was deleted during or shortly after a store outage,
	// or if a restored store lacks the key; the upstream stays in use, or the zone taken out, until
	// then.
	retainedUntil time.Time
	// copied is set in the entry of an upstream that has left or whose registration has expired, if
	// a restored store still has its registration; it is used from copiedAt on unless the store
	// deletes it before.
	copied   *entry
	copiedAt time.Time
	// isKept is set if the content is of an earlier epoch and replaces that of the restored store
	// at Revision.
	isKept bool
	// lastWrite is the newest record of the upstream, also after its deletion.
	lastWrite writeMark
	// replaced holds the earlier starts under this key, the latest last.
	replaced []replacedStart
}

// revisionGap is the range of the revisions after one and before another.
type revisionGap struct {
	after  uint64
	before uint64
}

// State is the known content of the registry. It is not safe for concurrent use.
type State struct {
	config  Config
	entries map[string]*entry
	// position is the one up to which all changes are known. Revisions of entries are of its
	// epoch.
	position core.StorePosition
	// compactedRevision is the one up to which deleted keys may be missing. It only increases within
	// an epoch.
	compactedRevision uint64
	// listingGap is where the last listing, of this daemon or of one that it follows, may have hidden
	// keys that were created and deleted.
	listingGap  revisionGap
	isListed    bool
	isStoreDown bool
	recoveredAt time.Time
	view        View
	// snapshotRevision counts the snapshots that were built.
	snapshotRevision uint64
	// olderChanges counts the changes that were not applied because of their revision, although
	// they differ from what is known.
	olderChanges int64
	// keptChanges counts the entries that became kept by the answers of other daemons.
	keptChanges uint64
	events      []Event
}

// New returns an empty state.
func New(config Config) *State {
	return &State{
		config:  config,
		entries: map[string]*entry{},
	}
}

// Position returns the position from which a watch has to continue, zero before the first listing.
func (s *State) Position() core.StorePosition {
	return s.position
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

// ApplyListing applies the whole content of the store as of a position, followed by KeptItems if it
// is that of another daemon. Content of an earlier epoch than that of the state is ignored.
func (s *State) ApplyListing(now time.Time, changes []core.RegistryChange, position core.StorePosition) {
	content, kept := splitKept(changes, 0)
	switch {
	case position.Epoch < s.position.Epoch:
		return
	case position.Epoch > s.position.Epoch && s.isListed:
		s.startEpoch(now, content, position)
	default:
		s.applyContent(now, content, position)
	}
	s.applyKept(now, kept)
	s.isListed = true
	s.compact()
	s.rebuild(now)
}

// applyContent applies a listing of the epoch of the state.
func (s *State) applyContent(now time.Time, changes []core.RegistryChange, position core.StorePosition) {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[change.Key] = true
		s.apply(now, change)
	}
	for key, known := range s.entries {
		isPresent := !known.IsDelete || known.copied != nil
		if !listed[key] && isPresent && known.Revision <= position.Revision {
			s.apply(now, deletion(key, position.Revision))
		}
	}
	if position.IsAfter(s.position) {
		s.RecordGap(position.Revision)
		s.position = position
	}
}

// RecordGap records that keys which were created and deleted after Position and before a revision may
// be missing in the content that is applied next.
func (s *State) RecordGap(before uint64) {
	if before <= s.position.Revision {
		return
	}
	s.compactedRevision = max(s.compactedRevision, s.listingGap.before)
	s.listingGap = revisionGap{
		after:  s.position.Revision,
		before: before,
	}
}

// GapBefore returns the revision before which the changes since another one may lack such keys, 0 if
// they lack none.
func (s *State) GapBefore(after uint64) uint64 {
	if after >= s.listingGap.before {
		return 0
	}
	return s.listingGap.before
}

func deletion(key string, revision uint64) core.RegistryChange {
	return core.RegistryChange{
		RegistryItem: core.RegistryItem{
			Key:      key,
			Revision: revision,
			IsDelete: true,
		},
	}
}

// ApplyWatch applies the result of a watch that continued from Position. Changes of another epoch
// are ignored.
func (s *State) ApplyWatch(now time.Time, changes []core.RegistryChange, position core.StorePosition) {
	s.applyChanges(now, changes, nil, position)
}

// ApplyAnswer applies the changes that another daemon knows after a revision, followed by its KeptItems.
// The revision is that of the request; Position may have increased since. Changes of another epoch are
// ignored.
func (s *State) ApplyAnswer(now time.Time, changes []core.RegistryChange, after uint64, position core.StorePosition) {
	content, kept := splitKept(changes, after)
	s.applyChanges(now, content, kept, position)
}

func (s *State) applyChanges(now time.Time, content, kept []core.RegistryChange, position core.StorePosition) {
	if position.Epoch != s.position.Epoch {
		return
	}
	for _, change := range content {
		s.apply(now, change)
	}
	s.applyKept(now, kept)
	if position.IsAfter(s.position) {
		s.position = position
	}
	if len(content)+len(kept) > 0 {
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
		if e.isGone() {
			deleted = append(deleted, e.Revision)
		}
	}
	if len(deleted) < 2*keptDeletedKeys {
		return
	}
	slices.Sort(deleted)
	s.compactedRevision = max(s.compactedRevision, deleted[len(deleted)-keptDeletedKeys])
	maps.DeleteFunc(s.entries, func(_ string, e *entry) bool {
		return e.isGone() && e.Revision <= s.compactedRevision
	})
}

// isGone reports whether nothing of a deleted entry is in use or may be used later.
func (e *entry) isGone() bool {
	return e.IsDelete && e.Upstream == nil && e.Config == nil && e.Zone == "" && e.copied == nil
}

// ChangesSince returns the changes after a revision of the current epoch, for daemons that follow
// this one; ok is false before the first listing and if some of them may be missing. For revision 0
// it returns the whole content without deleted keys.
func (s *State) ChangesSince(after uint64) (answer core.RegistryAnswer, ok bool) {
	isInGap := after > s.listingGap.after && after < s.listingGap.before
	if !s.isListed || after > 0 && after < s.compactedRevision || isInGap {
		return core.RegistryAnswer{}, false
	}
	answer.StorePosition = s.position
	if after > 0 && after >= s.position.Revision {
		return answer, true
	}
	for _, e := range s.entries {
		item := e.RegistryItem
		if e.copied != nil {
			item = e.copied.RegistryItem
		}
		if item.Revision > after && (after > 0 || !item.IsDelete) {
			answer.Items = append(answer.Items, item)
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
	next := newEntry(now, change)
	if known != nil {
		if change.Upstream != nil && known.judgeWrite(next.lastWrite) {
			s.recordLateWrite(change)
			return
		}
		next.inheritWrites(known)
		if change.IsDelete {
			s.retainDeleted(now, known, next)
		}
	}
	s.entries[change.Key] = next
	s.recordEvent(known, next)
}

func newEntry(now time.Time, change core.RegistryChange) *entry {
	e := &entry{
		RegistryChange: change,
	}
	if change.Upstream == nil {
		return e
	}
	e.lastWrite = writeMark{
		startedMs: change.Upstream.StartedMs,
		sequence:  change.Upstream.Sequence,
	}
	if change.Upstream.ColdRemaining > 0 {
		e.coldUntil = now.Add(change.Upstream.ColdRemaining)
	}
	return e
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

// Expire ends the use of what was kept for a period that has ended, and returns the time at which the
// next such period ends, zero if there is none.
func (s *State) Expire(now time.Time) time.Time {
	var next time.Time
	isChanged := false
	for _, e := range s.entries {
		if !e.retainedUntil.IsZero() && !now.Before(e.retainedUntil) {
			s.endRetention(now, e)
			isChanged = true
		}
		if !e.retainedUntil.IsZero() && (next.IsZero() || e.retainedUntil.Before(next)) {
			next = e.retainedUntil
		}
	}
	if isChanged {
		s.rebuild(now)
	}
	return next
}
