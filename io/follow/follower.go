package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/follow"
)

const (
	// DefaultWatchWait is how long a watch is parked. The platform counts each call, and the
	// pulse notices a silent connection long before the wait ends.
	DefaultWatchWait = 20 * time.Second
	// watchGap is the least time between the answers of two watches, so that changes in quick
	// succession share a call. It is small against the two seconds within which a zone or an
	// upstream has to be left.
	watchGap = 450 * time.Millisecond
	// firstWatchWait is how long the watch is parked that confirms the first, stale content.
	firstWatchWait = 10 * time.Millisecond
	// watchShare is the part of the store's rate that watches use at the most.
	watchShare = 0.5
	// pulseInterval spaces the cheap stale reads of a reader. They show whether its watch is
	// still served, and to those who follow it that it still hears the store.
	pulseInterval = 400 * time.Millisecond
	// contactLimit is the age of the last contact with the store at which a reader is left.
	// With relayWait and a read it stays below the two seconds within which a change has to
	// be in force.
	contactLimit = time.Second
	// relayWait is how long a question to another daemon is parked.
	relayWait = 400 * time.Millisecond
	// relayTimeout bounds the answer of another daemon beyond that.
	relayTimeout = 250 * time.Millisecond
	// sourceRest is how long a daemon that gave no answer is not asked again, shortRest how
	// long one that does not hear the store, as after its start.
	sourceRest = 2 * time.Second
	shortRest  = 500 * time.Millisecond
	// mostSources bounds the daemons that are asked before the store is.
	mostSources = 2
	// firstBackoff and longestBackoff bound the pause after a failed call. The longest is
	// small against the seconds within which a change has to be in force.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// firstFollowerBackoff and longestFollowerBackoff are those of daemons that follow another
	// one. The longest is what the three seconds until a store counts as stable leave.
	firstFollowerBackoff   = 400 * time.Millisecond
	longestFollowerBackoff = 3200 * time.Millisecond
	// relayRetry is how often others are asked meanwhile, within the rests between questions.
	relayRetry = 100 * time.Millisecond
	// hintPatience is how long a newer version that requests show may take to arrive on the
	// usual way: the gap between two watches and the way over two daemons. With a listing after
	// it, it stays below the two seconds within which a change has to be in force.
	hintPatience = 900 * time.Millisecond
	// leastListGap spaces the listings that hints of newer versions ask for.
	leastListGap = time.Second
	// startPatience is how long a daemon that has just started asks others before it confirms
	// its content at the store; daemons that start together are all up within it.
	startPatience = 500 * time.Millisecond
	// startPause spaces its questions while those that it asks do not listen yet.
	startPause = 80 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Self     core.Host
	Registry core.Registry
	// Relay asks other daemons; nil makes every daemon read the store itself.
	Relay   core.RelayClient
	Clock   core.Clock
	Journal core.Journal
	State   follow.Config
	// WatchWait is how long a watch is parked; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// ReadsPerSecond is what the store allows all daemons together, 0 if it is not bounded.
	ReadsPerSecond float64
	// Changed is called after each change of what the request path uses. Optional.
	Changed func()
}

// Counters count what a Follower did since it began.
type Counters struct {
	Lists    atomic.Int64
	Pulses   atomic.Int64
	Watches  atomic.Int64
	Relayed  atomic.Int64
	Failures atomic.Int64
}

// Follower follows a registry. It implements core.ConfigView, core.MemberView and
// core.RelayServer.
//
// In each region the first daemon by rank reads the store, the first of each other zone asks
// it, and the others ask the first of their zone. A daemon turns to the store itself if those
// that it asks do not answer or do not hear the store.
type Follower struct {
	Counters Counters

	config Config
	view   atomic.Pointer[follow.View]
	ready  atomic.Bool

	mu     sync.Mutex
	state  *follow.State
	expiry *time.Timer
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	isLost  bool
	// isStale says that the content has not been confirmed since a stale read.
	isStale bool
	// contactAt is when the store was heard last, by this daemon or the one it follows.
	contactAt time.Time
	watchedAt time.Time
	startedAt time.Time
	// hinted is the version that requests have shown since hintedAt, 0 if none.
	hinted   core.Version
	hintedAt time.Time
	// askedAt is when a hint led to a listing last.
	askedAt time.Time
	// interrupt ends the current watch of the store; nil while there is none.
	interrupt context.CancelFunc
	wantsList bool
	// wantsWatch says that the current watch was ended because it seemed to be silent.
	wantsWatch bool
	// behind is the revision that a pulse showed and the watch has not delivered, 0 if none.
	behind uint64
	// strayAt is when a daemon was asked last regardless of its rank.
	strayAt time.Time
	// restUntil holds the daemons that are not asked for now.
	restUntil map[core.HostName]time.Time

	cancel   context.CancelFunc
	done     chan struct{}
	beatDone chan struct{}
}

// New returns a follower that knows nothing until Start.
func New(config Config) *Follower {
	if config.WatchWait <= 0 {
		config.WatchWait = DefaultWatchWait
	}
	f := &Follower{
		config:   config,
		state:    follow.New(config.State),
		done:     make(chan struct{}),
		beatDone: make(chan struct{}),

		changed:   make(chan struct{}),
		restUntil: map[core.HostName]time.Time{},
	}
	f.view.Store(&follow.View{})
	return f
}

// Name implements core.Service.
func (f *Follower) Name() string {
	return "follower"
}

// Start implements core.Service.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.startedAt = f.config.Clock.Now()
	go f.run(ctx)
	go f.beat(ctx)
	return nil
}

// Stop implements core.Service.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.done
	<-f.beatDone
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expiry != nil {
		f.expiry.Stop()
	}
	return nil
}

// run lists once and goes on from there; after a failure it goes on from the last known
// revision.
func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	var retry backoff
	var retryAt time.Time
	isComplete := false
	for ctx.Err() == nil {
		if f.takeWish() {
			isComplete = false
		}
		if isComplete && f.followRelay(ctx) {
			retry, retryAt = backoff{}, time.Time{}
			continue
		}
		if rest := retryAt.Sub(f.config.Clock.Now()); rest > 0 {
			pause(ctx, min(rest, relayRetry))
			continue
		}
		err := f.probe(ctx)
		if err == nil && isComplete {
			err = f.watch(ctx)
		} else if err == nil {
			err = f.listAll(ctx)
		}
		switch {
		case err == nil:
			isComplete = true
			retry, retryAt = backoff{}, time.Time{}
			continue
		case ctx.Err() != nil:
			return
		case core.KindOf(err) == core.StoreCompacted:
			isComplete = false
			continue
		case f.takeInterrupt():
			continue
		}
		f.failed(err)
		if retry.next == 0 {
			retry = f.pace()
		}
		retryAt = f.config.Clock.Now().Add(retry.next/2 + rand.N(retry.next/2))
		retry.next = min(retry.next*2, retry.longest)
	}
}

// backoff is the pause after a failed call of the store.
type backoff struct {
	// next is zero before the first failure.
	next    time.Duration
	longest time.Duration
}

// pace returns the pauses of this daemon. Those that have others to tell them of the store's
// return ask it more seldom, since each call is priced.
func (f *Follower) pace() backoff {
	if f.config.Relay == nil || f.isReader() {
		return backoff{
			next:    firstBackoff,
			longest: longestBackoff,
		}
	}
	return backoff{
		next:    firstFollowerBackoff,
		longest: longestFollowerBackoff,
	}
}

// probe asks the cheapest question of the store after a failure: all daemons turn to it in an
// outage, and each call is priced.
func (f *Follower) probe(ctx context.Context) error {
	f.mu.Lock()
	isLost := f.isLost
	f.mu.Unlock()
	if !isLost {
		return nil
	}
	f.Counters.Pulses.Add(1)
	_, err := f.config.Registry.Revision(ctx)
	return err
}

// listAll reads the whole content. The first one may be stale, which costs less, because the
// next call continues from its revision.
func (f *Follower) listAll(ctx context.Context) error {
	f.mu.Lock()
	isFirst := f.state.Revision() == 0
	f.mu.Unlock()
	f.Counters.Lists.Add(1)
	listing, err := f.config.Registry.List(ctx, isFirst)
	if err != nil {
		return err
	}
	f.list(listing, isFirst)
	return nil
}

// watch asks the store for the next changes. It does not wait for them if the content has to
// be confirmed.
func (f *Follower) watch(ctx context.Context) error {
	f.mu.Lock()
	rest := f.gap() - f.config.Clock.Now().Sub(f.watchedAt)
	f.mu.Unlock()
	pause(ctx, rest)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	after := f.state.Revision()
	wait := f.config.WatchWait
	if f.isStale {
		wait = firstWatchWait
	}
	f.mu.Unlock()
	f.Counters.Watches.Add(1)
	answer, err := f.config.Registry.Watch(watchCtx, after, wait)
	f.mu.Lock()
	f.interrupt = nil
	f.mu.Unlock()
	if err != nil {
		return err
	}
	changes := f.decode(answer)
	f.update(0, func(now time.Time) {
		f.isStale = false
		f.watchedAt = now
		f.state.ApplyWatch(now, changes, answer.Revision)
	})
	return nil
}

// list takes over the whole content. The daemon serves only from content that is not stale.
func (f *Follower) list(listing core.RegistryAnswer, isStale bool) {
	changes := f.decode(listing)
	f.mu.Lock()
	f.isStale = isStale
	f.mu.Unlock()
	f.update(0, func(now time.Time) {
		f.state.ApplyListing(now, changes, listing.Revision)
	})
}

func (f *Follower) decode(answer core.RegistryAnswer) []core.RegistryChange {
	changes := make([]core.RegistryChange, len(answer.Items))
	for i, item := range answer.Items {
		changes[i] = f.config.Registry.Decode(item)
	}
	return changes
}

// gap returns the least time between two watches: all daemons, of which there is one beside
// each upstream, see each change at the same time and would exceed the store's rate together.
func (f *Follower) gap() time.Duration {
	if f.config.ReadsPerSecond <= 0 {
		return watchGap
	}
	fair := float64(f.Size()) / (watchShare * f.config.ReadsPerSecond)
	return max(watchGap, time.Duration(fair*float64(time.Second)))
}

// update applies an answer, which the store gave the given time ago, and publishes the view.
func (f *Follower) update(age time.Duration, apply func(now time.Time)) {
	f.mu.Lock()
	now := f.config.Clock.Now()
	if heard := now.Add(-age); heard.After(f.contactAt) {
		f.contactAt = heard
	}
	wasLost := f.isLost
	f.isLost = false
	f.state.MarkStoreUp(now)
	apply(now)
	f.publish(now)
	events := f.state.TakeEvents()
	f.mu.Unlock()
	if wasLost {
		f.record(follow.Event{
			Kind: core.EventStoreRecovered,
		})
	}
	for _, event := range events {
		f.record(event)
	}
	if len(events) > 0 && f.config.Changed != nil {
		f.config.Changed()
	}
}

// publish stores the view and sets the timer for the next upstream whose grace ends. The
// caller holds the mutex.
func (f *Follower) publish(now time.Time) {
	next := f.state.Expire(now)
	view := f.state.View()
	f.view.Store(&view)
	close(f.changed)
	f.changed = make(chan struct{})
	if f.state.IsReady() && !f.isStale && !f.ready.Swap(true) {
		f.record(follow.Event{
			Kind: core.EventReady,
		})
	}
	if next.IsZero() {
		return
	}
	if f.expiry != nil {
		f.expiry.Stop()
	}
	f.expiry = time.AfterFunc(next.Sub(now), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.publish(f.config.Clock.Now())
	})
}

// failed notes that the store does not answer.
func (f *Follower) failed(err error) {
	f.Counters.Failures.Add(1)
	f.mu.Lock()
	wasLost := f.isLost
	f.isLost = true
	f.state.MarkStoreDown()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	if !wasLost {
		f.record(follow.Event{
			Kind:   core.EventStoreFailed,
			Detail: err.Error(),
		})
	}
}

func (f *Follower) record(event follow.Event) {
	var version core.Version
	if snapshot := f.view.Load().Snapshot; snapshot != nil {
		version = snapshot.Version
	}
	f.config.Journal.Record(core.Event{
		Host:             f.config.Self.Name,
		AvailabilityZone: f.config.Self.AvailabilityZone,
		Kind:             event.Kind,
		Version:          version,
		Revision:         event.Revision,
		Subject:          event.Subject,
		Detail:           event.Detail,
	})
}

// takeWish tells whether ObserveVersion asked for a listing.
func (f *Follower) takeWish() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wish := f.wantsList
	f.wantsList = false
	return wish
}

// takeInterrupt tells whether the last watch was ended from here.
func (f *Follower) takeInterrupt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isEnded := f.wantsList || f.wantsWatch
	f.wantsWatch = false
	return isEnded
}

func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
