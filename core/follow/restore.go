package follow

import (
	"bytes"
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
		return s.holdDeparture(now, before, copied)
	case before.isNewerThan(copied):
		before.Revision = copied.Revision
		return before
	case before.IsDelete == copied.IsDelete && bytes.Equal(before.Value, copied.Value):
		copied.coldUntil = before.coldUntil
	}
	return copied
}

// holdDeparture returns the entry of an upstream whose registration was deleted and which the copy has
// again. If the upstream may still run, it is used for the grace period, within which it registers
// again.
func (s *State) holdDeparture(now time.Time, before, copied *entry) *entry {
	next := newEntry(now, deletion(copied.Key, copied.Revision))
	next.lastWrite = before.lastWrite
	s.retainDeleted(now, before, next)
	next.copied = copied
	next.copiedAt = now.Add(s.config.DepartureHold)
	if next.Upstream == nil {
		next.retainedUntil = next.copiedAt
	}
	return next
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
