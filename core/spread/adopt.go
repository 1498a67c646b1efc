package spread

import (
	"fmt"

	"verbenaway/core"
	"verbenaway/core/snap"
)

// origin is how a version was learned, which decides how it is distributed further.
type origin int

const (
	fromPush origin = iota
	fromPull
	fromStore
)

// applySlices applies slices of another daemon, in any order. It reports whether the version
// in force advanced.
func (m *Machine) applySlices(from core.HostName, received []core.Slice, via origin) bool {
	before := m.served
	for _, slice := range received {
		m.applyOrBuffer(from, slice)
	}
	m.applyBuffered(from)
	return m.finishUpdate(before, via)
}

func (m *Machine) applyOrBuffer(from core.HostName, slice core.Slice) {
	switch {
	case slice.Version <= m.served.Version:
		if m.conflicts(slice.Version, slice.Hash) {
			m.avoid(from, invalidPeerAvoidTime)
			m.reportHistoryRefused(core.PeerFork, slice.Version, string(from))
		}
	case slice.Version == m.served.Version+1:
		m.apply(string(from), slice)
	case slice.Version <= m.served.Version+maxBufferedSlices:
		m.buffered.add(slice)
	}
}

// applyBuffered applies buffered slices up to the first gap.
func (m *Machine) applyBuffered(from core.HostName) {
	for {
		slice, ok := m.buffered.take(m.served.Version + 1)
		if !ok || !m.apply(string(from), slice) {
			return
		}
	}
}

// apply applies one slice to the version in force. A slice that fails its check is reported
// and not applied, and its sender is avoided.
func (m *Machine) apply(from string, slice core.Slice) bool {
	restricted := snap.Restrict(slice, m.config.Self.Region)
	next, err := snap.Apply(m.served, restricted)
	if err != nil {
		m.avoid(core.HostName(from), invalidPeerAvoidTime)
		m.retractConfirmation()
		m.reportHistoryRefused(core.KindOf(err), slice.Version, from)
		return false
	}
	m.served = next
	m.recent.add(restricted, false)
	m.reportVerdict(slice)
	return true
}

func (m *Machine) reportVerdict(slice core.Slice) {
	if slice.Verdict == "" {
		return
	}
	m.emit(Report{
		Kind:    core.EventNoteRefused,
		Version: slice.Version,
		Subject: string(slice.Verdict),
		Detail:  slice.Reason,
	})
}

// applySnapshot replaces the version in force by a newer snapshot of another daemon.
func (m *Machine) applySnapshot(from core.HostName, next *core.Snapshot, via origin) bool {
	if next.Version <= m.served.Version {
		if m.conflicts(next.Version, next.Hash) {
			m.reportHistoryRefused(core.PeerFork, next.Version, string(from))
		}
		return false
	}
	if next.Region != m.config.Self.Region || snap.Check(next) != nil {
		m.reportHistoryRefused(core.PeerMalformed, next.Version, string(from))
		return false
	}
	before := m.served
	m.replaceServed(next)
	m.applyBuffered(from)
	return m.finishUpdate(before, via)
}

// replaceServed puts a snapshot in force. The slices between the two versions are unknown, so
// the recent ones are discarded.
func (m *Machine) replaceServed(next *core.Snapshot) {
	m.served = next
	m.recent.reset()
}

// finishUpdate ends a batch of applied slices or a snapshot: it reports the new version once and
// distributes it further.
func (m *Machine) finishUpdate(before *core.Snapshot, via origin) bool {
	if m.served == before {
		return false
	}
	m.buffered.dropUpTo(m.served.Version)
	m.pull.dropOutdated(m.served.Version)
	m.emit(Report{
		Kind:    core.EventVersionApplied,
		Version: m.served.Version,
		Subject: originNames[via],
		Detail:  fmt.Sprintf("from version %d, hash %s", before.Version, m.served.Hash),
	})
	switch via {
	case fromStore:
		m.pushFromStore(before.Version)
	case fromPull:
		m.announceNewer()
	case fromPush:
	}
	return true
}

var originNames = map[origin]string{
	fromPush:  "push",
	fromPull:  "pull",
	fromStore: "store",
}
