package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaway/core"
)

// Config configures a Tracker. Zero durations are replaced by the defaults below.
type Config struct {
	Self core.Host
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	Random      *rand.Rand
	// ProbeInterval is the time between two probes, regardless of the number of partners.
	ProbeInterval time.Duration
	// SuspicionTimeout is how long a suspected member has to refute before it is declared dead.
	SuspicionTimeout time.Duration
	// GossipInterval is the time over which events are batched.
	GossipInterval time.Duration
	// LeaseDuration is how long a lease lasts after probes by a majority of probers. It spans
	// two rounds of probes, so that one lost probe does not end the lease.
	LeaseDuration time.Duration
	// OwnershipDelay is the time after which every daemon has learned of a change and every
	// lease of a dead member has expired.
	OwnershipDelay time.Duration
}

// LeaveNoticePeriod is the time from the announcement of a planned stop until it affects key
// ownership. Gossip reaches every daemon within it, and it is below the 3 s after which a
// leaving upstream gets no new work.
const LeaveNoticePeriod = 2 * time.Second

// The defaults of Config.
const (
	DefaultProbeInterval    = time.Second
	DefaultSuspicionTimeout = 3 * time.Second
	DefaultGossipInterval   = 200 * time.Millisecond
	DefaultLeaseDuration    = 6 * time.Second
	DefaultOwnershipDelay   = 10 * time.Second
)

const (
	// partnerCount is the number of members that each daemon probes and is probed by.
	partnerCount = 3
	// gossipFanout is the number of members that a new event is sent to.
	gossipFanout = 3
	// One in crossRegionGossipRatio gossip messages goes to another region. Such traffic is
	// billed by volume; one in 16 still gives over 100 crossings per event in a region of 2,500
	// members.
	crossRegionGossipRatio = 16
	// secondRoundInterval and secondRoundFanout bound the second round of gossip. Its targets
	// are new each time: 2 connections a second, about 30 open at once while it lasts.
	secondRoundInterval = time.Second
	secondRoundFanout   = 2
	// targetRotationInterval is the interval at which one gossip target is replaced.
	targetRotationInterval = 10 * time.Second
	// crossRegionAnnounceCount is the number of members of each other region to which a member
	// announces its own changes directly.
	crossRegionAnnounceCount = 2
	// maxBatchEvents limits one message to about 64 KB.
	maxBatchEvents = 512
	// recentEventCount is the minimum number of recent events kept for repair by digest exchange.
	recentEventCount = 256
	// While views differ, the answer to a probe carries up to maxProbeReplyEvents, about 4 KB,
	// and the answer to the digest exchange every 5 s up to maxRepairReplyEvents, about 8 KB.
	maxProbeReplyEvents  = 32
	maxRepairReplyEvents = 64
	// unheardHostTimeout is the age at which a host known only from the host list is dropped
	// if the list no longer names it.
	unheardHostTimeout = 60 * time.Second
	// tombstoneRetention is how long dead and left members are kept, so that late messages
	// about them are recognized. Messages live for at most a minute.
	tombstoneRetention = 10 * time.Minute
	// fullReplyInterval is the minimum time between replies of all events to ready members.
	fullReplyInterval = 30 * time.Second
)

// Action is an instruction to the driver: SendProbe, SendIndirectProbe, SendGossip or
// StateChanged.
type Action any

// SendProbe requests an Exchange with Probe set; the outcome goes to HandleProbeResult.
type SendProbe struct {
	Target core.Host
	Events []core.MemberEvent
}

// SendIndirectProbe asks Via to probe Target; the outcome goes to HandleProbeResult.
type SendIndirectProbe struct {
	Via    core.Host
	Target core.Host
}

// SendGossip sends events to a member; its outcome is ignored.
type SendGossip struct {
	To     core.Host
	Events []core.MemberEvent
}

// StateChanged reports a member whose state or incarnation has changed.
type StateChanged struct {
	Member core.Member
}

// ProbeResult is the outcome of SendProbe or SendIndirectProbe.
type ProbeResult struct {
	Target core.HostName
	// Via is empty for a direct probe.
	Via core.HostName
	// ViaReached is true if Via answered, whatever it found.
	ViaReached bool
	// Reached is true if Target answered.
	Reached bool
	// Digest is that of Target and set only if Reached.
	Digest core.Digest
	// Events came with the answer.
	Events []core.MemberEvent
}

// record is what the tracker knows of one member.
type record struct {
	event core.MemberEvent
	// since is the local time of the last change of state or incarnation.
	since time.Time
	// isListed is true if the host list names the member.
	isListed bool
}

// Tracker is the membership view of one daemon. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	records map[core.HostName]*record
	self    core.MemberEvent
	rings   rings
	// hash is the XOR of memberHash over all members.
	hash uint64
	// liveNames holds the names of the live members, and liveCache the result of Live, nil
	// when stale.
	liveNames sortedSet[core.HostName]
	liveCache []core.Member
	// suspects holds suspected members with the time at which to declare them dead.
	suspects map[core.HostName]time.Time
	// tombstones holds dead and left members with the time at which to drop them.
	tombstones map[core.HostName]time.Time
	// outbox holds events for the first round of gossip.
	outbox     []core.MemberEvent
	lastGossip time.Time
	// isAnnounced is set once the start of this daemon was announced to the other regions.
	isAnnounced bool
	// secondRound holds events for the second round of gossip.
	secondRound     []core.MemberEvent
	lastSecondRound time.Time
	// gossipTargets are the members of this daemon's region to gossip to.
	gossipTargets []core.Host
	lastRotation  time.Time
	// recent holds the latest events for repair, oldest first.
	recent        []core.MemberEvent
	probes        probeState
	lease         leaseState
	lastFullReply time.Time
}

// New returns a tracker that knows only its own host.
func New(config Config) *Tracker {
	setDefault(&config.ProbeInterval, DefaultProbeInterval)
	setDefault(&config.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&config.GossipInterval, DefaultGossipInterval)
	setDefault(&config.LeaseDuration, DefaultLeaseDuration)
	setDefault(&config.OwnershipDelay, DefaultOwnershipDelay)
	t := &Tracker{
		config:  config,
		records: map[core.HostName]*record{},
		liveNames: sortedSet[core.HostName]{
			compare: cmp.Compare[core.HostName],
		},
		suspects:   map[core.HostName]time.Time{},
		tombstones: map[core.HostName]time.Time{},
		probes:     newProbeState(),
		lease:      newLeaseState(),
	}
	started := time.UnixMilli(int64(config.Incarnation))
	t.self = core.MemberEvent{
		Host:        config.Self,
		Incarnation: config.Incarnation,
		State:       core.MemberAlive,
		EligibleAt:  started.Add(config.OwnershipDelay).UnixMilli(),
	}
	t.setEvent(started, t.self)
	t.enqueue(t.self)
	return t
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Tick performs all due work; the driver calls it several times a second.
func (t *Tracker) Tick(now time.Time) []Action {
	var actions []Action
	if !t.isAnnounced && len(t.Live()) > 1 {
		t.isAnnounced = true
		actions = append(actions, t.announceToOtherRegions()...)
	}
	actions = append(actions, t.expireSuspicions(now)...)
	actions = append(actions, t.probe(now)...)
	actions = append(actions, t.probeDeadMember(now)...)
	actions = append(actions, t.gossip(now)...)
	actions = append(actions, t.gossipSecondRound(now)...)
	t.expireTombstones(now)
	return actions
}

// expireTombstones drops members whose tombstone has expired, except those that the host list
// still names, which may return after a long partition.
func (t *Tracker) expireTombstones(now time.Time) {
	for name, until := range t.tombstones {
		if now.After(until) && !t.records[name].isListed {
			delete(t.tombstones, name)
			delete(t.records, name)
		}
	}
}

// HandleExchange processes a message from another daemon.
func (t *Tracker) HandleExchange(now time.Time, message core.ExchangeMessage) []Action {
	var actions []Action
	if message.Probe {
		t.recordProbe(now, message.Digest.Sender)
		actions = t.recordContact(now)
	}
	return append(actions, t.mergeAll(now, message.Events)...)
}

// Reply returns the events for the answer to a message that HandleExchange has processed: none
// if the views are equal, all if the sender is not ready yet, otherwise the recent ones and, at
// most every fullReplyInterval, all.
func (t *Tracker) Reply(now time.Time, message core.ExchangeMessage) []core.MemberEvent {
	if message.Digest.MembersHash == t.hash {
		return nil
	}
	if !message.Digest.Ready {
		return t.FullEvents()
	}
	if message.Probe {
		return t.RecentEvents(maxProbeReplyEvents)
	}
	if len(message.Events) > 0 {
		// Gossip is not answered with events. Views differ all the time while many members
		// join, and answering each batch cost 200 joining daemons 75 KB/s each.
		return nil
	}
	if now.Sub(t.lastFullReply) >= fullReplyInterval {
		t.lastFullReply = now
		return t.FullEvents()
	}
	return t.RecentEvents(maxRepairReplyEvents)
}

// HandleHosts applies the platform's host list, which is only a hint: it adds members, and drops
// unlisted ones that have never been heard from.
func (t *Tracker) HandleHosts(now time.Time, list core.HostList) {
	named := make(map[core.HostName]bool, len(list.Hosts))
	for _, host := range list.Hosts {
		named[host.Name] = true
		known, ok := t.records[host.Name]
		if ok {
			known.isListed = true
			continue
		}
		t.setEvent(now, core.MemberEvent{
			Host:  host,
			State: core.MemberAlive,
		})
		t.records[host.Name].isListed = true
	}
	for name, known := range t.records {
		if named[name] {
			continue
		}
		known.isListed = false
		if known.event.Incarnation == 0 && now.Sub(known.since) >= unheardHostTimeout {
			t.remove(name)
		}
	}
}

// AnnounceLeaving announces the planned stop of this daemon.
func (t *Tracker) AnnounceLeaving(now time.Time) []Action {
	t.self.State = core.MemberLeaving
	t.self.LeavingAt = now.Add(LeaveNoticePeriod).UnixMilli()
	t.self.Incarnation = t.nextIncarnation(now, t.self.Incarnation)
	return t.announceSelf(now)
}

// AnnounceLeft announces the exit of this process.
func (t *Tracker) AnnounceLeft(now time.Time) []Action {
	t.self.State = core.MemberLeft
	return t.announceSelf(now)
}

// announceSelf updates the view with the state of this daemon and sends it immediately.
func (t *Tracker) announceSelf(now time.Time) []Action {
	t.setEvent(now, t.self)
	t.enqueue(t.self)
	t.lastGossip = time.Time{}
	return append(t.gossip(now), t.announceToOtherRegions()...)
}

// nextIncarnation returns an incarnation above the given one and not below the current time, so
// that a later process on the same host has a higher one.
func (t *Tracker) nextIncarnation(now time.Time, above uint64) uint64 {
	return max(above+1, uint64(now.UnixMilli()))
}

// Live returns the members that are alive, leaving or suspect, sorted by name. Callers must
// not modify the result.
func (t *Tracker) Live() []core.Member {
	if t.liveCache != nil {
		return t.liveCache
	}
	t.liveCache = make([]core.Member, 0, len(t.liveNames.items))
	for _, name := range t.liveNames.items {
		t.liveCache = append(t.liveCache, t.records[name].member())
	}
	return t.liveCache
}

// Member returns the known state of one host.
func (t *Tracker) Member(name core.HostName) (core.Member, bool) {
	known, ok := t.records[name]
	if !ok {
		return core.Member{}, false
	}
	return known.member(), true
}

func (r *record) member() core.Member {
	return core.Member{
		Host:       r.event.Host,
		State:      r.event.State,
		Since:      r.since,
		EligibleAt: r.event.EligibleAt,
		LeavingAt:  r.event.LeavingAt,
	}
}

// RecentEvents returns up to limit recent events, newest last.
func (t *Tracker) RecentEvents(limit int) []core.MemberEvent {
	return slices.Clone(t.recent[max(0, len(t.recent)-limit):])
}

// FullEvents returns the whole view, except hosts known only from the host list.
func (t *Tracker) FullEvents() []core.MemberEvent {
	events := make([]core.MemberEvent, 0, len(t.records))
	for _, known := range t.records {
		if known.event.Incarnation > 0 {
			events = append(events, known.event)
		}
	}
	return events
}

// Hash returns a hash that is equal for equal sets of live members and incarnations.
func (t *Tracker) Hash() uint64 {
	return t.hash
}

// Incarnation returns the incarnation of this daemon.
func (t *Tracker) Incarnation() uint64 {
	return t.self.Incarnation
}
