package member

import (
	"slices"
	"time"

	"verbenaway/core"
)

const (
	// indirectProbeCount is the number of members that are asked to repeat a failed probe.
	indirectProbeCount = 2
	// contactTimeout is the maximum age of the last successful contact for this daemon to suspect
	// others after indirect probes. Without it, a partitioned daemon would suspect every member.
	contactTimeout = 5 * time.Second
)

// rejoinInterval is the interval between probes of dead members that the host list still names,
// so that the two sides of a healed partition find each other again.
const rejoinInterval = 5 * time.Second

// probeState is the state of the failure detector.
type probeState struct {
	lastSent   time.Time
	lastRejoin time.Time
	turn       int
	// pending counts the indirect probes in progress per target.
	pending map[core.HostName]int
	// lastContact is the last time that any member answered or probed this daemon.
	lastContact time.Time
}

func newProbeState() probeState {
	return probeState{
		pending: map[core.HostName]int{},
	}
}

// probe probes the next partner if a probe is due.
func (t *Tracker) probe(now time.Time) []Action {
	if now.Sub(t.probes.lastSent) < t.config.ProbeInterval || t.self.State == core.MemberLeft {
		return nil
	}
	partners := t.rings.forRegion(t.config.Self.Region).after(t.config.Self.Name, partnerCount)
	if len(partners) == 0 {
		return nil
	}
	t.probes.lastSent = now
	t.probes.turn++
	target := t.records[partners[t.probes.turn%len(partners)]]
	return []Action{
		SendProbe{
			Target: target.event.Host,
			Events: t.suspicionFor(target),
		},
	}
}

// probeDeadMember probes one dead member and sends it the event that declares it dead, so that
// it refutes the event.
func (t *Tracker) probeDeadMember(now time.Time) []Action {
	if now.Sub(t.probes.lastRejoin) < rejoinInterval {
		return nil
	}
	t.probes.lastRejoin = now
	names := make([]core.HostName, 0, len(t.tombstones))
	for name := range t.tombstones {
		if known := t.records[name]; known.isListed && known.event.State == core.MemberDead {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	target := t.records[names[t.config.Random.IntN(len(names))]]
	return []Action{
		SendProbe{
			Target: target.event.Host,
			Events: []core.MemberEvent{
				target.event,
			},
		},
	}
}

// suspicionFor returns the event to send to a suspected member, so that it can refute at once.
func (t *Tracker) suspicionFor(target *record) []core.MemberEvent {
	if target.event.State != core.MemberSuspect {
		return nil
	}
	return []core.MemberEvent{
		target.event,
	}
}

// HandleProbeResult processes the outcome of a direct or indirect probe.
func (t *Tracker) HandleProbeResult(now time.Time, result ProbeResult) []Action {
	if result.Reached && result.Digest.Sender != result.Target {
		// Another daemon now uses the address of the target.
		result.Reached = false
	}
	if result.Reached {
		delete(t.probes.pending, result.Target)
		return append(t.recordContact(now), t.mergeAll(now, result.Events)...)
	}
	target, ok := t.records[result.Target]
	if !ok || !isLive(target.event.State) {
		delete(t.probes.pending, result.Target)
		return nil
	}
	if result.Via == "" {
		return t.probeIndirectly(now, target)
	}
	return t.handleIndirectFailure(now, target, result)
}

// probeIndirectly asks other members to repeat a failed probe. If it finds none, it suspects the
// target at once.
func (t *Tracker) probeIndirectly(now time.Time, target *record) []Action {
	name := target.event.Host.Name
	if t.probes.pending[name] > 0 {
		return nil
	}
	var actions []Action
	live := t.Live()
	for draws := 0; draws < 16 && len(actions) < indirectProbeCount && len(live) > 0; draws++ {
		via := live[t.config.Random.IntN(len(live))]
		if via.Host.Name == t.config.Self.Name || via.Host.Name == name || via.State == core.MemberSuspect ||
			via.Host.Region != t.config.Self.Region {
			continue
		}
		actions = append(actions, SendIndirectProbe{
			Via:    via.Host,
			Target: target.event.Host,
		})
	}
	if len(actions) == 0 {
		return t.suspect(now, target)
	}
	t.probes.pending[name] = len(actions)
	return actions
}

// handleIndirectFailure suspects the target once every indirect probe has failed, provided that
// this daemon has had recent contact with others.
func (t *Tracker) handleIndirectFailure(now time.Time, target *record, result ProbeResult) []Action {
	name := target.event.Host.Name
	var actions []Action
	if result.ViaReached {
		actions = t.recordContact(now)
	}
	if t.probes.pending[name] == 0 {
		return actions
	}
	t.probes.pending[name]--
	if t.probes.pending[name] > 0 {
		return actions
	}
	delete(t.probes.pending, name)
	if now.Sub(t.probes.lastContact) > contactTimeout {
		return actions
	}
	return append(actions, t.suspect(now, target)...)
}

// recordContact records that another member was reached. After a gap in contact long enough for a
// suspicion to expire, any member may consider this daemon dead, and a member that is now
// partitioned would not learn otherwise before its own lease ends. So this daemon owns no keys
// created within the next OwnershipDelay.
func (t *Tracker) recordContact(now time.Time) []Action {
	last := t.probes.lastContact
	t.probes.lastContact = now
	if last.IsZero() || now.Sub(last) <= t.config.SuspicionTimeout || t.self.State != core.MemberAlive {
		return nil
	}
	t.self.Incarnation = t.nextIncarnation(now, t.self.Incarnation)
	t.self.EligibleAt = now.Add(t.config.OwnershipDelay).UnixMilli()
	return t.announceSelf(now)
}

// suspect marks the target as suspect, which starts the time that it has to refute.
func (t *Tracker) suspect(now time.Time, target *record) []Action {
	if target.event.State == core.MemberSuspect {
		return nil
	}
	event := target.event
	event.State = core.MemberSuspect
	return t.merge(now, event)
}

// expireSuspicions declares members dead that did not refute in time.
func (t *Tracker) expireSuspicions(now time.Time) []Action {
	var actions []Action
	for name, until := range t.suspects {
		if now.Before(until) {
			continue
		}
		event := t.records[name].event
		event.State = core.MemberDead
		actions = append(actions, t.merge(now, event)...)
	}
	return actions
}

// HasLostContact reports whether this daemon knows other live members but had no recent contact.
func (t *Tracker) HasLostContact(now time.Time) bool {
	return len(t.Live()) > 1 && now.Sub(t.probes.lastContact) > contactTimeout
}
