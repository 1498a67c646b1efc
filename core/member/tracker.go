package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"verbenaway/core"
)

// Config configures a Tracker. Zero durations take the defaults below.
type Config struct {
	Self core.Host
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	Random      *rand.Rand
	// ProbeEvery is the interval between two probes, whatever the number of partners.
	ProbeEvery time.Duration
	// SuspectFor is the time that a suspected member has to refute.
	SuspectFor time.Duration
	// GossipEvery batches events.
	GossipEvery time.Duration
	// LeaseFor is how long the acknowledgement by a majority of probers lasts. It spans two
	// rounds of probes, so that one lost probe does not end the lease.
	LeaseFor time.Duration
	// OwnerDelay is the time after which every daemon has learned of a change and every
	// lease of a dead member has ended.
	OwnerDelay time.Duration
}

// LeaveNotice is the time between the announcement of a planned stop and its effect on key
// ownership. Gossip reaches every daemon within it, and it stays below the 3 s after which a
// leaving upstream gets no new work.
const LeaveNotice = 2 * time.Second

// The defaults of Config.
const (
	DefaultProbeEvery  = time.Second
	DefaultSuspectFor  = 3 * time.Second
	DefaultGossipEvery = 200 * time.Millisecond
	DefaultLeaseFor    = 6 * time.Second
	DefaultOwnerDelay  = 10 * time.Second
)

const (
	// partnerCount is the number of members that each daemon probes, and is probed by.
	partnerCount = 3
	// gossipFanout is the number of members that a new event is passed on to.
	gossipFanout = 3
	// farGossipShare is the share of gossip that crosses to other regions, which is paid by
	// volume; one in 16 still means over 100 crossings per event in a region of 2,500.
	farGossipShare = 16
	// echoEvery and echoFanout bound the second round of gossip, whose targets are new each
	// time: 2 connections a second, of which about 30 are open at once while it lasts.
	echoEvery  = time.Second
	echoFanout = 2
	// rotateEvery is how often one of the targets of gossip is exchanged.
	rotateEvery = 10 * time.Second
	// farAnnounced is the number of members of each other region that a member tells of its
	// own changes itself.
	farAnnounced = 2
	// maxBatch bounds the events of one message, about 64 KB.
	maxBatch = 512
	// recentEvents bounds the events kept for repair by digest exchange.
	recentEvents = 256
	// probeEvents and repairEvents bound what the answers to probes and to the digest
	// exchange every 5 s add while views differ, about 4 and 8 KB.
	probeEvents  = 32
	repairEvents = 64
	// unheardFor is the age after which a host that only the host list ever named is
	// dropped once the list no longer names it.
	unheardFor = 60 * time.Second
	// tombstoneFor is how long a dead or left member is remembered, so that late messages
	// about it are recognised. Messages do not live longer than a minute.
	tombstoneFor = 10 * time.Minute
	// fullViewEvery bounds how often differing views are repaired by sending all events.
	fullViewEvery = 30 * time.Second
)

// Action is what the driver has to do: SendProbe, SendIndirect, SendGossip or Changed.
type Action any

// SendProbe asks for an Exchange with Probe set; the outcome goes to HandleProbeResult.
type SendProbe struct {
	Target core.Host
	Events []core.MemberEvent
}

// SendIndirect asks Via to probe Target; the outcome goes to HandleProbeResult.
type SendIndirect struct {
	Via    core.Host
	Target core.Host
}

// SendGossip passes events on; the outcome does not matter.
type SendGossip struct {
	To     core.Host
	Events []core.MemberEvent
}

// Changed reports a member whose state differs from before.
type Changed struct {
	Member core.Member
}

// ProbeResult is the outcome of SendProbe or SendIndirect.
type ProbeResult struct {
	Target core.HostName
	// Via is empty for a direct probe.
	Via core.HostName
	// ViaReached tells whether Via answered at all.
	ViaReached bool
	// Reached tells whether Target answered.
	Reached bool
	// Digest is that of Target if it was reached.
	Digest core.Digest
	// Events came with the answer.
	Events []core.MemberEvent
}

// record is what the tracker knows of one member.
type record struct {
	event core.MemberEvent
	// since is the local time at which the state began.
	since time.Time
	// listed tells whether the host list names the member.
	listed bool
}

// Tracker is the membership view of one daemon. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	records map[core.HostName]*record
	self    core.MemberEvent
	rings   rings
	// hash combines the live members; see memberHash.
	hash uint64
	// live holds the names of the live members, and alive caches the result of Alive, nil
	// when stale.
	live  sortedSet[core.HostName]
	alive []core.Member
	// suspects holds the members whose suspicion has to end.
	suspects map[core.HostName]time.Time
	// tombstones holds dead and left members with the time at which to forget them.
	tombstones map[core.HostName]time.Time
	// outbox holds events that were not yet passed on.
	outbox     []core.MemberEvent
	lastGossip time.Time
	// isAnnounced is set once the own start was told to the other regions.
	isAnnounced bool
	// echoes holds events for the second round of gossip.
	echoes   []core.MemberEvent
	lastEcho time.Time
	// targets are the members of the own region that events go to.
	targets      []core.Host
	lastRotation time.Time
	recent       []core.MemberEvent
	probes       probing
	lease        leasing
	lastFull     time.Time
}

// New returns a tracker that knows only its own host.
func New(config Config) *Tracker {
	setDefault(&config.ProbeEvery, DefaultProbeEvery)
	setDefault(&config.SuspectFor, DefaultSuspectFor)
	setDefault(&config.GossipEvery, DefaultGossipEvery)
	setDefault(&config.LeaseFor, DefaultLeaseFor)
	setDefault(&config.OwnerDelay, DefaultOwnerDelay)
	t := &Tracker{
		config:  config,
		records: map[core.HostName]*record{},
		live: sortedSet[core.HostName]{
			compare: cmp.Compare[core.HostName],
		},
		suspects:   map[core.HostName]time.Time{},
		tombstones: map[core.HostName]time.Time{},
		probes:     newProbing(),
		lease:      newLeasing(),
	}
	started := time.UnixMilli(int64(config.Incarnation))
	t.self = core.MemberEvent{
		Host:        config.Self,
		Incarnation: config.Incarnation,
		State:       core.MemberAlive,
		EligibleAt:  started.Add(config.OwnerDelay).UnixMilli(),
	}
	t.put(started, t.self)
	t.queue(t.self)
	return t
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Tick does what is due; the driver calls it several times a second.
func (t *Tracker) Tick(now time.Time) []Action {
	var actions []Action
	if !t.isAnnounced && len(t.Alive()) > 1 {
		t.isAnnounced = true
		actions = append(actions, t.tellRegions()...)
	}
	actions = append(actions, t.endSuspicions(now)...)
	actions = append(actions, t.probe(now)...)
	actions = append(actions, t.rejoin(now)...)
	actions = append(actions, t.gossip(now)...)
	actions = append(actions, t.echo(now)...)
	t.forget(now)
	return actions
}

// forget removes members that are gone for long, except those that the host list still
// names, which may come back after a long partition.
func (t *Tracker) forget(now time.Time) {
	for name, until := range t.tombstones {
		if now.After(until) && !t.records[name].listed {
			delete(t.tombstones, name)
			delete(t.records, name)
		}
	}
}

// HandleExchange takes in a message of another daemon.
func (t *Tracker) HandleExchange(now time.Time, message core.ExchangeMessage) []Action {
	var actions []Action
	if message.Probe {
		t.probed(now, message.Digest.Sender)
		actions = t.contact(now)
	}
	return append(actions, t.mergeAll(now, message.Events)...)
}

// Reply returns the events for the answer to a message, which HandleExchange has taken in:
// none between equal views, all for a newcomer, else the recent ones and now and then all.
func (t *Tracker) Reply(now time.Time, message core.ExchangeMessage) []core.MemberEvent {
	if message.Digest.MembersHash == t.hash {
		return nil
	}
	if !message.Digest.Ready {
		return t.FullEvents()
	}
	if message.Probe {
		return t.Events(probeEvents)
	}
	if len(message.Events) > 0 {
		// Gossip gets no events in return. While many members join, the views differ all the
		// time; an answer to each batch cost 200 joining daemons 75 KB/s each.
		return nil
	}
	if now.Sub(t.lastFull) >= fullViewEvery {
		t.lastFull = now
		return t.FullEvents()
	}
	return t.Events(repairEvents)
}

// HandleHosts takes in the platform's host list, which is a hint: it adds candidates, and
// drops those that nobody has heard from.
func (t *Tracker) HandleHosts(now time.Time, list core.HostList) {
	named := make(map[core.HostName]bool, len(list.Hosts))
	for _, host := range list.Hosts {
		named[host.Name] = true
		known, ok := t.records[host.Name]
		if ok {
			known.listed = true
			continue
		}
		t.put(now, core.MemberEvent{
			Host:  host,
			State: core.MemberAlive,
		})
		t.records[host.Name].listed = true
	}
	for name, known := range t.records {
		if named[name] {
			continue
		}
		known.listed = false
		if known.event.Incarnation == 0 && now.Sub(known.since) >= unheardFor {
			t.remove(name)
		}
	}
}

// Leave announces the planned stop of the own daemon.
func (t *Tracker) Leave(now time.Time) []Action {
	t.self.State = core.MemberLeaving
	t.self.LeavingAt = now.Add(LeaveNotice).UnixMilli()
	t.self.Incarnation = t.nextIncarnation(now, t.self.Incarnation)
	return t.announceSelf(now)
}

// Left announces the end of the own process.
func (t *Tracker) Left(now time.Time) []Action {
	t.self.State = core.MemberLeft
	return t.announceSelf(now)
}

// announceSelf records the own state and sends it at once.
func (t *Tracker) announceSelf(now time.Time) []Action {
	t.put(now, t.self)
	t.queue(t.self)
	t.lastGossip = time.Time{}
	return append(t.gossip(now), t.tellRegions()...)
}

// nextIncarnation is above the given one and not below the time, so that the incarnation of
// a later process of the same host is above both.
func (t *Tracker) nextIncarnation(now time.Time, above uint64) uint64 {
	return max(above+1, uint64(now.UnixMilli()))
}

// Alive returns the members that are alive, leaving or suspect, sorted by name. Callers do
// not modify the result.
func (t *Tracker) Alive() []core.Member {
	if t.alive != nil {
		return t.alive
	}
	t.alive = make([]core.Member, 0, len(t.live.items))
	for _, name := range t.live.items {
		t.alive = append(t.alive, t.records[name].member())
	}
	return t.alive
}

// Member returns what is known of one host.
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

// Events returns up to limit recent events, newest last.
func (t *Tracker) Events(limit int) []core.MemberEvent {
	return slices.Clone(t.recent[max(0, len(t.recent)-limit):])
}

// FullEvents returns the whole view, without hosts that only the host list named.
func (t *Tracker) FullEvents() []core.MemberEvent {
	events := make([]core.MemberEvent, 0, len(t.records))
	for _, known := range t.records {
		if known.event.Incarnation > 0 {
			events = append(events, known.event)
		}
	}
	return events
}

// Hash is equal for equal sets of live members with equal incarnations.
func (t *Tracker) Hash() uint64 {
	return t.hash
}

// Incarnation returns the own incarnation.
func (t *Tracker) Incarnation() uint64 {
	return t.self.Incarnation
}
