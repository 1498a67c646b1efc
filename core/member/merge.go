package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// isLive reports whether members in a state count as part of the fleet.
func isLive(state core.MemberState) bool {
	return state <= core.MemberSuspect
}

// supersedes reports whether an event is newer than the known one: a higher incarnation wins,
// and within one incarnation the higher state.
func supersedes(event, known core.MemberEvent) bool {
	if event.Incarnation != known.Incarnation {
		return event.Incarnation > known.Incarnation
	}
	return event.State > known.State
}

func (t *Tracker) mergeAll(now time.Time, events []core.MemberEvent) []Action {
	var actions []Action
	for _, event := range events {
		actions = append(actions, t.merge(now, event)...)
	}
	return actions
}

// merge merges one event and queues it for gossip if it is new.
func (t *Tracker) merge(now time.Time, event core.MemberEvent) []Action {
	if event.Host.Name == t.config.Self.Name {
		return t.refute(now, event)
	}
	known, ok := t.records[event.Host.Name]
	if ok && !supersedes(event, known.event) {
		return nil
	}
	if !ok && !isLive(event.State) {
		// An unknown member that is already dead or left needs no record.
		return nil
	}
	t.setEvent(now, event)
	t.enqueue(event)
	return []Action{
		StateChanged{
			Member: t.records[event.Host.Name].member(),
		},
	}
}

// refute answers a wrong event about this daemon's own host with a higher incarnation.
func (t *Tracker) refute(now time.Time, event core.MemberEvent) []Action {
	if !supersedes(event, t.self) || t.self.State == core.MemberLeft {
		return nil
	}
	t.self.Incarnation = t.nextIncarnation(now, event.Incarnation)
	if !isLive(event.State) {
		// Other daemons may have taken over the keys of this one.
		t.self.EligibleAt = now.Add(t.config.OwnershipDelay).UnixMilli()
	}
	return t.announceSelf(now)
}

// setEvent sets the event of a member and updates what is derived from it.
func (t *Tracker) setEvent(now time.Time, event core.MemberEvent) {
	name := event.Host.Name
	known, ok := t.records[name]
	if !ok {
		known = &record{
			since: now,
		}
		t.records[name] = known
	} else {
		t.hash ^= memberHash(known.event)
		if known.event.State != event.State || known.event.Incarnation != event.Incarnation {
			known.since = now
		}
	}
	t.lease.recordDeparture(now, known.event, event, t.config.OwnershipDelay)
	known.event = event
	t.hash ^= memberHash(event)
	t.liveCache = nil
	t.liveNames.update(name, isLive(event.State))
	t.rings.set(event.Host, isLive(event.State))
	delete(t.suspects, name)
	delete(t.tombstones, name)
	switch {
	case event.State == core.MemberSuspect:
		t.suspects[name] = now.Add(t.config.SuspicionTimeout)
	case !isLive(event.State):
		t.tombstones[name] = now.Add(tombstoneRetention)
	}
}

// remove drops a member that has never been heard from.
func (t *Tracker) remove(name core.HostName) {
	known := t.records[name]
	t.hash ^= memberHash(known.event)
	t.liveNames.update(name, false)
	t.rings.set(known.event.Host, false)
	t.liveCache = nil
	delete(t.records, name)
	delete(t.suspects, name)
	delete(t.tombstones, name)
}

// enqueue queues an event for both rounds of gossip and for repair.
func (t *Tracker) enqueue(event core.MemberEvent) {
	t.outbox = append(t.outbox, event)
	t.secondRound = append(t.secondRound, event)
	t.recent = append(t.recent, event)
	if len(t.recent) > 2*recentEventCount {
		t.recent = append([]core.MemberEvent(nil), t.recent[recentEventCount:]...)
	}
}

// gossip sends one batch of queued events to a few random members.
func (t *Tracker) gossip(now time.Time) []Action {
	if len(t.outbox) == 0 || now.Sub(t.lastGossip) < t.config.GossipInterval {
		return nil
	}
	t.lastGossip = now
	batch := t.outbox[:min(len(t.outbox), maxBatchEvents)]
	t.outbox = t.outbox[len(batch):]
	var actions []Action
	for _, host := range t.pickGossipTargets(now) {
		actions = append(actions, SendGossip{
			To:     host,
			Events: batch,
		})
	}
	return actions
}

// gossipSecondRound sends events a second time, to new random members. The first round reaches
// about 94 of 100 members, since each forwards an event only once; the others would learn of a
// planned stop only after its notice period.
func (t *Tracker) gossipSecondRound(now time.Time) []Action {
	if len(t.secondRound) == 0 || now.Sub(t.lastSecondRound) < secondRoundInterval {
		return nil
	}
	t.lastSecondRound = now
	batch := t.secondRound[:min(len(t.secondRound), maxBatchEvents)]
	t.secondRound = t.secondRound[len(batch):]
	var actions []Action
	live := t.Live()
	for draws := 0; draws < 16 && len(actions) < secondRoundFanout && len(live) > 0; draws++ {
		host := live[t.config.Random.IntN(len(live))].Host
		if host.Name == t.config.Self.Name || host.Region != t.config.Self.Region || containsHost(t.gossipTargets, host.Name) {
			continue
		}
		actions = append(actions, SendGossip{
			To:     host,
			Events: batch,
		})
	}
	return actions
}

// pickGossipTargets returns the members to gossip to. They are reused for a while, because each
// new one costs a connection: with new targets for every batch, 200 daemons that started
// together held over 20,000 sockets. One target is replaced at a time, so that a small group
// whose members gossip only to each other does not persist.
func (t *Tracker) pickGossipTargets(now time.Time) []core.Host {
	kept := t.gossipTargets[:0]
	for _, host := range t.gossipTargets {
		if known, ok := t.records[host.Name]; ok && isLive(known.event.State) {
			kept = append(kept, host)
		}
	}
	if len(kept) > 0 && now.Sub(t.lastRotation) >= targetRotationInterval {
		t.lastRotation = now
		kept = append(kept[:0], kept[1:]...)
	}
	t.gossipTargets = kept
	live := t.Live()
	// Bounding the draws keeps the cost independent of the fleet size.
	for draws := 0; draws < 16*gossipFanout && len(t.gossipTargets) < gossipFanout && len(live) > 0; draws++ {
		host := live[t.config.Random.IntN(len(live))].Host
		if host.Name != t.config.Self.Name && host.Region == t.config.Self.Region && !containsHost(t.gossipTargets, host.Name) {
			t.gossipTargets = append(t.gossipTargets, host)
		}
	}
	if t.config.Random.IntN(crossRegionGossipRatio) >= gossipFanout {
		return t.gossipTargets
	}
	return append(slices.Clone(t.gossipTargets), t.crossRegionTarget(live)...)
}

// crossRegionTarget returns one random member of another region, or none.
func (t *Tracker) crossRegionTarget(live []core.Member) []core.Host {
	for range min(16, len(live)) {
		host := live[t.config.Random.IntN(len(live))].Host
		if host.Region != t.config.Self.Region {
			return []core.Host{
				host,
			}
		}
	}
	return nil
}

// announceToOtherRegions sends the state of this daemon to random members of each other region.
// Gossip rarely crosses regions, and from a region of 6 members often not at all.
func (t *Tracker) announceToOtherRegions() []Action {
	live := t.Live()
	sent := map[core.Region]int{}
	var actions []Action
	for _, i := range t.config.Random.Perm(len(live)) {
		host := live[i].Host
		if host.Region == t.config.Self.Region || sent[host.Region] >= crossRegionAnnounceCount {
			continue
		}
		sent[host.Region]++
		actions = append(actions, SendGossip{
			To: host,
			Events: []core.MemberEvent{
				t.self,
			},
		})
	}
	return actions
}

func containsHost(hosts []core.Host, name core.HostName) bool {
	for _, host := range hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}

// memberHash returns the contribution of a member to Hash, which is 0 if it is not live or was
// never heard from.
func memberHash(event core.MemberEvent) uint64 {
	if !isLive(event.State) || event.Incarnation == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(event.Host.Name))
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], event.Incarnation)
	_, _ = digest.Write(number[:])
	return digest.Sum64()
}
