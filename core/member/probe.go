package member

import (
	"slices"
	"time"

	"verbenaway/core"
)

const (
	// indirectCount is the number of members asked to repeat a failed probe.
	indirectCount = 2
	// contactFor is how recent the last successful contact has to be for this daemon to
	// suspect others. Without it a daemon that is cut off would suspect everybody.
	contactFor = 5 * time.Second
)

// rejoinEvery is how often one dead member that the host list still names is probed, so that
// the two sides of a healed partition find each other again.
const rejoinEvery = 5 * time.Second

// probing is the failure detector's state.
type probing struct {
	lastSent   time.Time
	lastRejoin time.Time
	turn       int
	// pending holds the indirect probes that are under way for a target.
	pending map[core.HostName]int
	// lastContact is the last time at which any member answered.
	lastContact time.Time
}

func newProbing() probing {
	return probing{
		pending: map[core.HostName]int{},
	}
}

// probe sends the next probe if it is due.
func (t *Tracker) probe(now time.Time) []Action {
	if now.Sub(t.probes.lastSent) < t.config.ProbeEvery || t.self.State == core.MemberLeft {
		return nil
	}
	partners := t.rings.of(t.config.Self.Region).after(t.config.Self.Name, partnerCount)
	if len(partners) == 0 {
		return nil
	}
	t.probes.lastSent = now
	t.probes.turn++
	target := t.records[partners[t.probes.turn%len(partners)]]
	return []Action{
		SendProbe{
			Target: target.event.Host,
			Events: t.suspicionOf(target),
		},
	}
}

// rejoin probes one dead member and tells it that it is held for dead, so that it refutes.
func (t *Tracker) rejoin(now time.Time) []Action {
	if now.Sub(t.probes.lastRejoin) < rejoinEvery {
		return nil
	}
	t.probes.lastRejoin = now
	names := make([]core.HostName, 0, len(t.tombstones))
	for name := range t.tombstones {
		if known := t.records[name]; known.listed && known.event.State == core.MemberDead {
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

// suspicionOf tells a suspected member of the suspicion, so that it can refute at once.
func (t *Tracker) suspicionOf(target *record) []core.MemberEvent {
	if target.event.State != core.MemberSuspect {
		return nil
	}
	return []core.MemberEvent{
		target.event,
	}
}

// HandleProbeResult takes in the outcome of a probe.
func (t *Tracker) HandleProbeResult(now time.Time, result ProbeResult) []Action {
	if result.Reached && result.Digest.Sender != result.Target {
		// Another daemon now has the address of the target.
		result.Reached = false
	}
	if result.Reached {
		delete(t.probes.pending, result.Target)
		return append(t.contact(now), t.mergeAll(now, result.Events)...)
	}
	target, ok := t.records[result.Target]
	if !ok || !isLive(target.event.State) {
		delete(t.probes.pending, result.Target)
		return nil
	}
	if result.Via == "" {
		return t.probeIndirectly(now, target)
	}
	return t.indirectFailed(now, target, result)
}

// probeIndirectly asks others to repeat a failed probe.
func (t *Tracker) probeIndirectly(now time.Time, target *record) []Action {
	name := target.event.Host.Name
	if t.probes.pending[name] > 0 {
		return nil
	}
	var actions []Action
	alive := t.Alive()
	for draws := 0; draws < 16 && len(actions) < indirectCount && len(alive) > 0; draws++ {
		via := alive[t.config.Random.IntN(len(alive))]
		if via.Host.Name == t.config.Self.Name || via.Host.Name == name || via.State == core.MemberSuspect ||
			via.Host.Region != t.config.Self.Region {
			continue
		}
		actions = append(actions, SendIndirect{
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

// indirectFailed suspects the target once every indirect probe has come back without it and
// this daemon is in contact with others.
func (t *Tracker) indirectFailed(now time.Time, target *record, result ProbeResult) []Action {
	name := target.event.Host.Name
	var actions []Action
	if result.ViaReached {
		actions = t.contact(now)
	}
	if t.probes.pending[name] == 0 {
		return actions
	}
	t.probes.pending[name]--
	if t.probes.pending[name] > 0 {
		return actions
	}
	delete(t.probes.pending, name)
	if now.Sub(t.probes.lastContact) > contactFor {
		return actions
	}
	return append(actions, t.suspect(now, target)...)
}

// contact notes that another member was reached. After a silence in which a suspicion may have
// ended, any member may hold this daemon for dead, and one that is cut off now would not learn
// otherwise before its own lease ends. So this daemon owns no keys created within OwnerDelay.
func (t *Tracker) contact(now time.Time) []Action {
	last := t.probes.lastContact
	t.probes.lastContact = now
	if last.IsZero() || now.Sub(last) <= t.config.SuspectFor || t.self.State != core.MemberAlive {
		return nil
	}
	t.self.Incarnation = t.nextIncarnation(now, t.self.Incarnation)
	t.self.EligibleAt = now.Add(t.config.OwnerDelay).UnixMilli()
	return t.announceSelf(now)
}

// suspect begins the time in which the target can refute.
func (t *Tracker) suspect(now time.Time, target *record) []Action {
	if target.event.State == core.MemberSuspect {
		return nil
	}
	event := target.event
	event.State = core.MemberSuspect
	return t.merge(now, event)
}

// endSuspicions declares dead whoever did not refute in time.
func (t *Tracker) endSuspicions(now time.Time) []Action {
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

// Isolated tells whether nobody answered for a while although others should be there.
func (t *Tracker) Isolated(now time.Time) bool {
	return len(t.Alive()) > 1 && now.Sub(t.probes.lastContact) > contactFor
}
