package spread

import (
	"verbenaway/core"
	"verbenaway/core/snap"
)

// maxForwards bounds the pushes that wait for their slices. Digest exchanges make up for a
// push that is not forwarded.
const maxForwards = 32

// forward is a push that is forwarded once its newest version is in force.
type forward struct {
	version core.Version
	slices  []core.Slice
	subtree []core.HostName
}

// pushFromStore pushes versions read from the store to the roots of the availability zones.
// Rank 1 only exchanges digests with them, since rank 0 normally pushes the same versions.
func (m *Machine) pushFromStore(after core.Version) {
	if m.config.Way == WayDirectWatch || !m.start.ready {
		return
	}
	if m.ranking.rank == 1 {
		m.announce(m.ranking.zoneRoots())
		return
	}
	m.push(m.ranking.zoneRoots(), m.slicesAfter(after))
}

// push sends slices to each branch, or only version and hash if the slices are large.
func (m *Machine) push(branches []branch, slices []core.Slice) {
	size := 0
	for _, slice := range slices {
		size += sliceBytes(slice)
	}
	if size > maxInlineBytes {
		slices = nil
	}
	for _, b := range branches {
		m.emit(SendPush{
			To:      b.child,
			Slices:  slices,
			Subtree: b.subtree,
		})
	}
}

// slicesAfter returns the kept slices after a version, restricted to the local region, or
// nil if one of them is no longer kept.
func (m *Machine) slicesAfter(after core.Version) []core.Slice {
	var found []core.Slice
	for v := after + 1; v <= m.served.Version; v++ {
		e, ok := m.recent.at(v)
		if !ok {
			return nil
		}
		found = append(found, snap.Restrict(e.slice, m.config.Self.Region))
	}
	return found
}

// AcceptsPushes reports whether this daemon can use a push. One that is not ready can neither
// check slices nor forward them; the driver then returns an error, and the sender pushes to
// the subtree itself.
func (m *Machine) AcceptsPushes() bool {
	return m.start.ready
}

// handlePush applies a push and forwards it once it has been checked and applied.
func (m *Machine) handlePush(message core.PushMessage) {
	m.handleDigest(message.Digest)
	if !m.start.ready {
		return
	}
	newest := core.Version(0)
	for _, slice := range message.Slices {
		newest = max(newest, slice.Version)
	}
	if len(message.Slices) == 0 {
		newest = message.Digest.Version
	}
	isNew := newest > m.served.Version
	if m.shouldForward(newest) && len(message.Subtree) > 0 && len(m.forwards) < maxForwards {
		m.markForwarded(newest)
		m.forwards = append(m.forwards, forward{
			version: newest,
			slices:  message.Slices,
			subtree: message.Subtree,
		})
	}
	m.applySlices(message.Digest.Sender, message.Slices, fromPush)
	if len(message.Slices) == 0 && isNew {
		m.schedulePull(0)
	}
}

// shouldForward reports whether a push of a version is to be forwarded. A reader has the
// version from the store before the push arrives, but the members below it still depend on
// the push. A reader therefore forwards the first push of a version that it already has.
func (m *Machine) shouldForward(version core.Version) bool {
	if m.forwarded[version] {
		return false
	}
	e, ok := m.recent.at(version)
	return version > m.served.Version || ok && e.allRegions
}

// markForwarded adds a version to the set of forwarded ones. Keeping the highest one would not
// be enough, since pushes may arrive out of order.
func (m *Machine) markForwarded(version core.Version) {
	if m.forwarded == nil || len(m.forwarded) >= maxRecentSlices {
		m.forwarded = map[core.Version]bool{}
	}
	m.forwarded[version] = true
}

// sendForwards forwards the pushes whose newest version is in force. It takes the slices from
// recent, where all are checked, so that a corrupted slice is not forwarded.
func (m *Machine) sendForwards() {
	kept := m.forwards[:0]
	for _, f := range m.forwards {
		if f.version > m.served.Version {
			kept = append(kept, f)
			continue
		}
		m.push(m.ranking.splitSubtree(f.subtree), m.localSlices(f.slices))
	}
	clear(m.forwards[len(kept):])
	m.forwards = kept
}

// localSlices returns the slices in recent with the versions of the given ones.
func (m *Machine) localSlices(slices []core.Slice) []core.Slice {
	own := make([]core.Slice, 0, len(slices))
	for _, slice := range slices {
		if e, ok := m.recent.at(slice.Version); ok {
			own = append(own, snap.Restrict(e.slice, m.config.Self.Region))
		}
	}
	return own
}

// handlePushResult pushes to the children of a child that did not acknowledge.
func (m *Machine) handlePushResult(result PushResult) {
	if result.Err == nil {
		m.handleDigest(result.Digest)
		return
	}
	m.push(m.ranking.splitSubtree(result.Request.Subtree), result.Request.Slices)
}

// announceNewer announces a version that was pulled, or a newer host list. A reader announces
// it to the roots of the availability zones, any other daemon to its children in the tree. A
// reader without contact to the store has the version from another region, and possibly no
// other daemon of its region knows of it.
func (m *Machine) announceNewer() {
	if m.config.Way == WayDirectWatch || !m.start.ready {
		return
	}
	if m.reader.role != roleNone {
		m.announce(m.ranking.zoneRoots())
		return
	}
	m.announce(m.ranking.splitSubtree(m.ranking.descendants()))
}

// announce sends the digest to each branch. Only a child whose digest shows that it is behind
// then gets the slices, which saves bandwidth.
func (m *Machine) announce(branches []branch) {
	for _, b := range branches {
		m.emit(SendExchange{
			To:      b.child,
			Purpose: PurposeAnnounce,
			Sent:    m.now,
			Subtree: b.subtree,
		})
	}
}

// handleAnnounceResult pushes the slices that the child lacks, or announces to the children
// of a child that failed.
func (m *Machine) handleAnnounceResult(result ExchangeResult) {
	request := result.Request
	if result.Err != nil {
		m.announce(m.ranking.splitSubtree(request.Subtree))
		return
	}
	behind := m.served.Version - min(m.served.Version, result.Digest.Version)
	if behind == 0 || behind > maxSliceLag || !result.Digest.Ready {
		return
	}
	if slices := m.slicesAfter(result.Digest.Version); slices != nil {
		m.push([]branch{{child: request.To, subtree: request.Subtree}}, slices)
	}
}
