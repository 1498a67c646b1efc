package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/member"
	"verbenaway/core/spread"
)

// Agent drives the control plane of one daemon. It implements core.Service,
// core.ConfigView, core.MemberView and core.PeerServer.
type Agent struct {
	config  Config
	timings Timings
	// base is the origin of lastIteration.
	base time.Time

	// machine, tracker and the fields up to the blank line belong to the event loop.
	machine *spread.Machine
	tracker *member.Tracker
	leaving bool
	// membersDirty is set while the published members are out of date.
	membersDirty       bool
	membersPublishedAt time.Time
	// fullViewSent holds when each starting daemon last got the full member view.
	fullViewSent map[core.HostName]time.Time

	inbox chan func(now time.Time)
	// view is the configuration that Snapshot returns.
	view atomic.Pointer[configView]
	// lastIteration is the time of the last loop iteration in nanoseconds since base, 0 before Start.
	lastIteration atomic.Int64
	members       atomic.Pointer[memberView]
	lease         atomic.Pointer[time.Time]
	// highestVersion is the highest version in force or observed since the last tick.
	highestVersion atomic.Uint64

	peerSlots chan struct{}
	// probeSlots are separate, because a probe without a slot would raise a false suspicion.
	probeSlots  chan struct{}
	storeSlots  chan struct{}
	encodeSlots chan struct{}
	snapshots   snapshotCache

	ctx     context.Context
	cancel  context.CancelFunc
	jobs    sync.WaitGroup
	stopped chan struct{}
}

var (
	_ core.Service    = (*Agent)(nil)
	_ core.ConfigView = (*Agent)(nil)
	_ core.MemberView = (*Agent)(nil)
	_ core.PeerServer = (*Agent)(nil)
)

// New returns an agent. Its Snapshot refuses requests with Starting until Start was called and the
// version floor is reached.
func New(config Config) *Agent {
	now := config.Clock.Now()
	memberConfig := config.Member
	memberConfig.Self = config.Self
	memberConfig.Incarnation = uint64(now.UnixMilli())
	memberConfig.Random = splitRandom(config.Random)
	a := &Agent{
		config:  config,
		timings: config.Timings.withDefaults(),
		base:    now,
		machine: spread.New(spread.Config{
			Self:    config.Self,
			Seeds:   config.Seeds,
			Random:  splitRandom(config.Random),
			Way:     config.Way,
			Timings: config.Spread,
		}),
		tracker:      member.New(memberConfig),
		fullViewSent: map[core.HostName]time.Time{},
		inbox:        make(chan func(time.Time), inboxSize),
		peerSlots:    make(chan struct{}, maxPeerJobs),
		probeSlots:   make(chan struct{}, maxProbeJobs),
		storeSlots:   make(chan struct{}, maxStoreJobs),
		encodeSlots:  make(chan struct{}, maxEncodeJobs),
		stopped:      make(chan struct{}),
	}
	a.publishView()
	a.publishMembers()
	return a
}

func splitRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Name returns the name in the registry of services.
func (a *Agent) Name() string {
	return "agent"
}

// Start starts the event loop. It does not wait for the first configuration.
func (a *Agent) Start(context.Context) error {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.recordIteration(a.config.Clock.Now())
	go a.loop()
	return nil
}

// Stop stops the event loop and waits for the jobs. A leaving agent first announces the exit.
func (a *Agent) Stop(ctx context.Context) error {
	if a.cancel == nil {
		return nil
	}
	announced := make(chan struct{})
	err := a.call(ctx, func(now time.Time) {
		if !a.leaving {
			close(announced)
			return
		}
		a.announceLeft(now, announced)
	})
	if err == nil {
		select {
		case <-announced:
		case <-ctx.Done():
		}
	}
	a.cancel()
	<-a.stopped
	a.jobs.Wait()
	return nil
}

// SetLeaving announces to the members that this daemon is about to stop.
func (a *Agent) SetLeaving() {
	a.post(func(now time.Time) {
		if a.leaving {
			return
		}
		a.leaving = true
		a.membersDirty = true
		a.handleInput(now, spread.LeaveAnnounced{})
		a.executeMemberActions(now, a.tracker.AnnounceLeaving(now))
	})
}

func (a *Agent) loop() {
	defer close(a.stopped)
	ticker := time.NewTicker(a.timings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
			now := a.config.Clock.Now()
			a.recordIteration(now)
			a.tick(now)
		case handle := <-a.inbox:
			now := a.config.Clock.Now()
			a.recordIteration(now)
			handle(now)
		}
		a.publishChanges()
	}
}

// recordIteration stores the time of a loop iteration and detects a pause of the process. The
// suspect view is published first, so that no request sees the new time with the old view.
func (a *Agent) recordIteration(now time.Time) {
	at := int64(now.Sub(a.base))
	last := a.lastIteration.Load()
	if last > 0 && time.Duration(at-last) > a.timings.PauseThreshold {
		a.handleInput(now, spread.Resumed{})
		a.publishView()
	}
	a.lastIteration.Store(max(1, at))
}

func (a *Agent) tick(now time.Time) {
	a.highestVersion.Store(uint64(a.machine.Served().Version))
	a.executeMemberActions(now, a.tracker.Tick(now))
	a.syncMembers(now)
	a.handleInput(now, spread.Tick{})
}

// publishChanges publishes the configuration and the owner lease after a loop iteration.
func (a *Agent) publishChanges() {
	a.publishView()
	a.publishLease()
}

// handleInput passes an input to the spread machine and executes its actions.
func (a *Agent) handleInput(now time.Time, input spread.Input) {
	for _, action := range a.machine.Handle(now, input) {
		a.executeAction(now, action)
	}
}

// syncMembers publishes changed members at most once per tick interval, because the cost is
// proportional to their number. A starting daemon does not wait, because its ranks and the
// peers that it contacts depend on the members.
func (a *Agent) syncMembers(now time.Time) {
	if !a.membersDirty || a.machine.Refusal() != core.Starting && now.Sub(a.membersPublishedAt) < a.timings.Tick {
		return
	}
	a.membersDirty = false
	a.membersPublishedAt = now
	a.publishMembers()
	a.handleInput(now, spread.MembersChanged{Members: gossipedMembers(a.tracker.Live())})
}

// gossipedMembers leaves out members known only from the host list, whose EligibleAt is 0. A
// daemon without any contact would otherwise assume that the whole fleet is alive.
func gossipedMembers(members []core.Member) []core.Member {
	gossiped := make([]core.Member, 0, len(members))
	for _, m := range members {
		if m.EligibleAt != 0 {
			gossiped = append(gossiped, m)
		}
	}
	return gossiped
}

// post queues a function for the loop; it returns false once the agent has stopped.
func (a *Agent) post(handle func(now time.Time)) bool {
	select {
	case a.inbox <- handle:
		return true
	case <-a.stopped:
		return false
	}
}

// call runs a function on the event loop and waits until it returns.
func (a *Agent) call(ctx context.Context, handle func(now time.Time)) error {
	done := make(chan struct{})
	run := func(now time.Time) {
		handle(now)
		close(done)
	}
	select {
	case a.inbox <- run:
	case <-ctx.Done():
		return core.Errorf(core.PeerUnreachable, "agent is busy: %v", ctx.Err())
	case <-a.stopped:
		return core.Errorf(core.PeerUnreachable, "agent has stopped")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return core.Errorf(core.PeerUnreachable, "agent is busy: %v", ctx.Err())
	case <-a.stopped:
		return core.Errorf(core.PeerUnreachable, "agent has stopped")
	}
}

// digest returns the digest for an outgoing message.
func (a *Agent) digest(now time.Time) core.Digest {
	digest := a.machine.Digest(now)
	digest.Incarnation = a.tracker.Incarnation()
	digest.MembersHash = a.tracker.Hash()
	if a.config.Timestamp != nil {
		digest.Time = a.config.Timestamp()
	}
	return digest
}

func (a *Agent) observeTimestamp(digest core.Digest) {
	if a.config.ObserveTimestamp != nil {
		a.config.ObserveTimestamp(digest.Time)
	}
}

func (a *Agent) record(kind core.EventKind, version core.Version, subject, detail string) {
	a.config.Journal.Record(core.Event{
		Host:             a.config.Self.Name,
		AvailabilityZone: a.config.Self.AvailabilityZone,
		Kind:             kind,
		Version:          version,
		Subject:          subject,
		Detail:           detail,
	})
}
