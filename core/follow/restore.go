package follow

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"verbenaway/core"
)

// writeMark orders the records that the upstreams of one key have written, whatever their revisions.
type writeMark struct {
	startedMs int64
	// sequence is 0 if unknown.
	sequence int64
}

// isBefore reports whether m is certainly older than other.
func (m writeMark) isBefore(other writeMark) bool {
	if m.startedMs != other.startedMs {
		return m.startedMs < other.startedMs
	}
	return m.sequence != 0 && m.sequence < other.sequence
}

// startEpoch replaces the content by that of a store that was restored from a copy. The copy lacks
// the newest changes, and their writers repeat them only after a while. Until then, what is known to
// be newer than the copy stays in use: a configuration of a higher version, the newest record of an
// upstream, and for DepartureHold the departure of an upstream. Upstreams and zones taken out that
// the copy lacks are kept for RecoveryGrace.
func (s *State) startEpoch(now time.Time, changes []core.RegistryChange, position core.StorePosition) {
	known := s.entries
	s.entries = make(map[string]*entry, len(known))
	s.position = position
	// Deletions between the copy and the listing are not known.
	s.compactedRevision, s.listingGap = position.Revision, revisionGap{}
	s.recoveredAt = now
	for _, change := range changes {
		before := known[change.Key]
		next := newEntry(now, change)
		if before != nil {
			next = s.mergeCopied(now, before, next)
		}
		s.entries[change.Key] = next
		if before == nil || before.IsDelete != next.IsDelete || !bytes.Equal(before.Value, next.Value) {
			s.recordEvent(before, next)
		}
	}
	for key, before := range known {
		if s.entries[key] == nil {
			s.entries[key] = s.retainMissing(now, key, before)
		}
	}
}

// mergeCopied returns the entry for a key that both the previous epoch and the copy have.
func (s *State) mergeCopied(now time.Time, before, copied *entry) *entry {
	switch {
	case copied.Upstream != nil && before.IsDelete && !before.lastWrite.isBefore(copied.lastWrite):
		next := s.holdDeparture(now, copied, before.lastWrite)
		// An upstream that may still run registers again within the grace period.
		s.retainDeleted(now, before, next)
		return next
	case before.isNewerThan(copied):
		before.Revision = copied.Revision
		before.isKept = true
		return before
	case before.IsDelete == copied.IsDelete && bytes.Equal(before.Value, copied.Value):
		copied.coldUntil = before.coldUntil
	}
	return copied
}

// holdDeparture returns the entry of an upstream that has left, though the copy has its registration.
func (s *State) holdDeparture(now time.Time, copied *entry, lastWrite writeMark) *entry {
	next := newEntry(now, deletion(copied.Key, copied.Revision))
	next.lastWrite = lastWrite
	next.copied = copied
	next.copiedAt = now.Add(s.config.DepartureHold)
	next.retainedUntil = next.copiedAt
	return next
}

// KeptItems returns what is known to be newer than the copy from which the store was restored and
// that the store has not changed since, in the order of revisions. Each item has the revision of the
// one in the copy that it replaces; a deletion is the departure of an upstream.
func (s *State) KeptItems() []core.RegistryItem {
	var items []core.RegistryItem
	for _, e := range s.entries {
		if e.isKept || e.copied != nil && e.Upstream == nil {
			items = append(items, e.RegistryItem)
		}
	}
	slices.SortFunc(items, func(a, b core.RegistryItem) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return items
}

// KeptChanges returns a number that increases when an answer of another daemon adds to KeptItems.
func (s *State) KeptChanges() uint64 {
	return s.keptChanges
}

// splitKept separates the changes of an answer after a revision from the KeptItems that follow them.
// Those repeat the key and the revision of a change, or have a revision that the receiver knows.
func splitKept(changes []core.RegistryChange, after uint64) (content, kept []core.RegistryChange) {
	revisions := make(map[string]uint64, len(changes))
	for _, change := range changes {
		revision, isRepeated := revisions[change.Key]
		if change.Revision <= after || isRepeated && revision == change.Revision {
			kept = append(kept, change)
			continue
		}
		revisions[change.Key] = change.Revision
		content = append(content, change)
	}
	return content, kept
}

// applyKept applies the KeptItems of another daemon. An item is ignored if the store has changed its
// key since the restoration.
func (s *State) applyKept(now time.Time, changes []core.RegistryChange) {
	for _, change := range changes {
		known := s.entries[change.Key]
		if known == nil || known.IsDelete || known.Revision != change.Revision {
			continue
		}
		next := newEntry(now, change)
		isSame := !change.IsDelete && bytes.Equal(change.Value, known.Value)
		switch {
		case known.isKept && (change.IsDelete || isSame):
			continue
		case isSame:
			// The value came with the changes of the same answer.
			known.isKept = true
			s.keptChanges++
			continue
		case change.IsDelete && known.Upstream != nil:
			next = s.holdDeparture(now, known, known.lastWrite)
		case next.isNewerThan(known):
			next.isKept = true
		default:
			continue
		}
		s.keptChanges++
		s.entries[change.Key] = next
		s.recordEvent(known, next)
	}
}

// isNewerThan reports whether the content of an entry of the previous epoch is newer than that of the
// copy.
func (e *entry) isNewerThan(copied *entry) bool {
	if e.Config != nil {
		return copied.Config == nil || e.Config.Version > copied.Config.Version
	}
	if e.IsDelete || e.Upstream == nil || copied.Upstream == nil {
		return false
	}
	// An upstream that leaves does not become live again before its next start.
	isLeaving := e.Upstream.Host.State == core.HostLeaving && e.lastWrite.startedMs == copied.lastWrite.startedMs
	return copied.lastWrite.isBefore(e.lastWrite) || isLeaving && !e.lastWrite.isBefore(copied.lastWrite)
}

// retainMissing returns the entry for a key of the previous epoch that the copy lacks.
func (s *State) retainMissing(now time.Time, key string, before *entry) *entry {
	next := newEntry(now, deletion(key, s.position.Revision))
	next.lastWrite = before.lastWrite
	s.retainDeleted(now, before, next)
	switch {
	case before.Zone != "":
		next.Zone = before.Zone
		next.retainedUntil = now.Add(s.config.RecoveryGrace)
	case !before.IsDelete:
		s.recordEvent(before, next)
	}
	return next
}

// endRetention ends the use of a deleted entry, or begins that of a registration in the copy.
func (s *State) endRetention(now time.Time, e *entry) {
	e.retainedUntil = time.Time{}
	if e.Zone != "" {
		s.events = append(s.events, Event{
			Kind:     core.EventZoneBack,
			Subject:  string(e.Zone),
			Revision: e.Revision,
			Detail:   "the restored store does not take it out",
		})
	}
	e.Upstream, e.Zone = nil, ""
	switch {
	case e.copied == nil:
	case now.Before(e.copiedAt):
		e.retainedUntil = e.copiedAt
	default:
		s.entries[e.Key] = e.copied
		s.recordEvent(e, e.copied)
	}
}
