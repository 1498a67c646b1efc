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

// Agent is the driver of the control plane in one daemon. It implements core.Service,
// core.ConfigView, core.MemberView and core.PeerServer.
type Agent struct {
	config  Config
	timings Timings
	// base is the origin of lastBeat.
	base time.Time

	// machine, tracker and the fields up to the blank line belong to the loop.
	machine *spread.Machine
	tracker *member.Tracker
	leaving bool
	// dirty is set while the published members are older than the tracker's.
	dirty        bool
	published    time.Time
	fullViewSent map[core.HostName]time.Time

	inbox chan func(now time.Time)
	// view is what Snapshot returns.
	view atomic.Pointer[configView]
	// lastBeat is the time of the last turn of the loop, since base, in nanoseconds.
	lastBeat atomic.Int64
	members  atomic.Pointer[memberView]
	lease    atomic.Pointer[time.Time]
	// known is the highest version that is in force or was passed on by ObserveVersion.
	known atomic.Uint64

	peerSlots chan struct{}
	// probeSlots are apart, since a probe that finds no slot would raise a false suspicion.
	probeSlots  chan struct{}
	storeSlots  chan struct{}
	encodeSlots chan struct{}
	encoded     encodedSnapshots

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

// New returns an agent that rejects requests with Starting until Start was called and the
// version floor is reached.
func New(config Config) *Agent {
	now := config.Clock.Now()
	memberConfig := config.Member
	memberConfig.Self = config.Self
	memberConfig.Incarnation = uint64(now.UnixMilli())
	memberConfig.Random = split(config.Random)
	a := &Agent{
		config:  config,
		timings: config.Timings.withDefaults(),
		base:    now,
		machine: spread.New(spread.Config{
			Self:    config.Self,
			Seeds:   config.Seeds,
			Random:  split(config.Random),
			Way:     config.Way,
			Timings: config.Spread,
		}),
		tracker:      member.New(memberConfig),
		fullViewSent: map[core.HostName]time.Time{},
		inbox:        make(chan func(time.Time), inboxSize),
		peerSlots:    make(chan struct{}, peerJobs),
		probeSlots:   make(chan struct{}, probeJobs),
		storeSlots:   make(chan struct{}, storeJobs),
		encodeSlots:  make(chan struct{}, encodeJobs),
		stopped:      make(chan struct{}),
	}
	a.publishView()
	a.publishMembers()
	return a
}

func split(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Name returns the name in the registry of services.
func (a *Agent) Name() string {
	return "agent"
}

// Start begins the loop. It does not wait for the first configuration.
func (a *Agent) Start(context.Context) error {
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.beat(a.config.Clock.Now())
	go a.loop()
	return nil
}

// Stop announces the end of the process if it was leaving, ends the loop and waits for its goroutines.
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
		a.dirty = true
		a.input(now, spread.LeaveAnnounced{})
		a.carryOut(now, a.tracker.AnnounceLeaving(now))
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
			a.beat(now)
			a.tick(now)
		case handle := <-a.inbox:
			now := a.config.Clock.Now()
			a.beat(now)
			handle(now)
		}
		a.settle()
	}
}

// beat notices a pause of the process. The suspect view is published before the time of the
// beat, so that no request sees the new time with the old view.
func (a *Agent) beat(now time.Time) {
	at := int64(now.Sub(a.base))
	last := a.lastBeat.Load()
	if last > 0 && time.Duration(at-last) > a.timings.PauseGap {
		a.input(now, spread.Resumed{})
		a.publishView()
	}
	a.lastBeat.Store(max(1, at))
}

func (a *Agent) tick(now time.Time) {
	a.known.Store(uint64(a.machine.Served().Version))
	a.carryOut(now, a.tracker.Tick(now))
	a.syncMembers(now)
	a.input(now, spread.Tick{})
}

// settle publishes what changed during one turn of the loop.
func (a *Agent) settle() {
	a.publishView()
	a.publishLease()
}

// input passes an input to the spread decisions and carries out the actions.
func (a *Agent) input(now time.Time, input spread.Input) {
	for _, action := range a.machine.Handle(now, input) {
		a.act(now, action)
	}
}

// syncMembers passes changed members on in batches, since that costs time in proportion to
// their number. A starting daemon does not wait, because its ranks and the peers that it
// asks depend on the view.
func (a *Agent) syncMembers(now time.Time) {
	if !a.dirty || a.machine.Refusal() != core.Starting && now.Sub(a.published) < a.timings.Tick {
		return
	}
	a.dirty = false
	a.published = now
	a.publishMembers()
	a.input(now, spread.MembersChanged{Members: heardOf(a.tracker.Alive())})
}

// heardOf leaves out members that only the host list named so far. A daemon without any
// contact would otherwise assume that the whole fleet is alive.
func heardOf(members []core.Member) []core.Member {
	heard := make([]core.Member, 0, len(members))
	for _, m := range members {
		if m.EligibleAt != 0 {
			heard = append(heard, m)
		}
	}
	return heard
}

// post runs a function on the loop; it reports false once the agent has stopped.
func (a *Agent) post(handle func(now time.Time)) bool {
	select {
	case a.inbox <- handle:
		return true
	case <-a.stopped:
		return false
	}
}

// call runs a function on the loop and waits for its end.
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

func (a *Agent) seeTimestamp(digest core.Digest) {
	if a.config.SeeTimestamp != nil {
		a.config.SeeTimestamp(digest.Time)
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
