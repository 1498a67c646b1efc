package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/pace"
)

const (
	// DefaultWatchWait is how long a watch is parked. The platform counts each call, and the
	// reads of the revision detect an unresponsive connection long before the wait ends.
	DefaultWatchWait = 20 * time.Second
	// minWatchGap is the minimum time from the beginning of a watch's answer to the next watch, so that
	// changes in quick succession share a call. It is small against the two seconds within which
	// requests must stop going to a zone or an upstream that is taken out.
	minWatchGap = 450 * time.Millisecond
	// confirmWatchWait is how long the watch that confirms the first, stale content is parked.
	confirmWatchWait = 10 * time.Millisecond
	// watchRateShare is the maximum share of the store's read rate that watches use.
	watchRateShare = 0.5
	// revisionReadInterval is the time between a reader's reads of the revision. They tell it
	// whether its watch is still served, and its followers that it still has contact with the
	// store.
	revisionReadInterval = 400 * time.Millisecond
	// staleRevisionReads is the number of cheap, possibly stale reads between two that are not.
	// Around a compaction, a watch may miss a change while stale reads are seconds behind.
	staleRevisionReads = 1
	// deliveryTime is how long the watch may take to deliver a revision that a read has shown.
	deliveryTime = 150 * time.Millisecond
	// maxContactAge is the time after a daemon's last contact with the store at which others stop
	// following it. With relayWait and a read it stays below the two seconds within which a
	// change has to be in force.
	maxContactAge = time.Second
	// relayWait is how long a request to another daemon is parked.
	relayWait = 400 * time.Millisecond
	// relayTimeout is the time beyond its wait after which a request to another daemon is late and the
	// next one is asked.
	relayTimeout = 250 * time.Millisecond
	// maxRelayPause bounds the time without another byte of an answer, of which many may share a link,
	// and maxRelayTransferTime the transfer of one that keeps arriving.
	maxRelayPause        = 800 * time.Millisecond
	maxRelayTransferTime = 2 * time.Second
	// sourceBackoff is how long a daemon that gives no answer is not asked again, and
	// shortSourceBackoff how long one that has no contact with the store, as after its start. The
	// latter is also the minimum time between requests to random daemons.
	sourceBackoff      = 2 * time.Second
	shortSourceBackoff = 500 * time.Millisecond
	// incompatibleBackoff is how long a daemon is not asked again whose answers are malformed or lack
	// the epoch of the store, as those of earlier releases do. A watch of the store ends when there is
	// a daemon to ask.
	incompatibleBackoff = 20 * time.Second
	// maxSources bounds the daemons of the zone that are asked before the store is.
	maxSources = 2
	// firstBackoff and maxBackoff are the first and the longest backoff after failed calls; a pause
	// lasts at least half the backoff. The longest is small against the seconds within which a
	// change has to be in force.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// firstFollowerBackoff and maxFollowerBackoff are those of daemons that follow another one.
	// The longest is what the three seconds until a store counts as stable allow.
	firstFollowerBackoff = 400 * time.Millisecond
	maxFollowerBackoff   = 3200 * time.Millisecond
	// relayRetryInterval is how often other daemons are asked during a backoff of the store,
	// subject to their own backoffs.
	relayRetryInterval = 100 * time.Millisecond
	// hintDelay is how long a newer version that requests show may take to arrive as usual: the
	// gap between two watches and the path over two daemons. With a listing it stays below the
	// two seconds within which a change has to be in force.
	hintDelay = 900 * time.Millisecond
	// minHintListInterval is the minimum time between listings because of such versions.
	minHintListInterval = time.Second
	// startupPeriod is how long a daemon that has just started asks others before it confirms
	// its content at the store; daemons that start together are all up within it.
	startupPeriod = 500 * time.Millisecond
	// loneStartPeriod is how long a daemon that has just started and knows none of its region looks
	// for others by stale reads, at random intervals. When the whole system starts, the upstreams
	// register within it; without it, every daemon would watch the store meanwhile. Daemons learn of
	// the same upstream up to maxLookInterval apart.
	loneStartPeriod = 2 * time.Second
	minLookInterval = 300 * time.Millisecond
	maxLookInterval = 500 * time.Millisecond
	// startupRetryInterval is the pause between its requests while the daemons that it asks do
	// not listen yet.
	startupRetryInterval = 80 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Self     core.Host
	Registry core.Registry
	// Relay asks other daemons; if it is nil, the daemon always reads the store itself.
	Relay       core.RelayClient
	Clock       core.Clock
	Journal     core.Journal
	StateConfig follow.Config
	// WatchWait is how long a watch is parked; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// ReadsPerSecond is the read rate that the store allows all daemons together, 0 if unlimited.
	ReadsPerSecond float64
	// ContactGap is the time without contact to the store after which other daemons may have taken this
	// one for gone; 0 means never.
	ContactGap time.Duration
	// OnChange is called after each change of what the request path uses. Optional.
	OnChange func()
}

// Counters count the calls of a Follower since its start. RevisionReads include the probes of a
// store that does not answer.
type Counters struct {
	Lists          atomic.Int64
	RevisionReads  atomic.Int64
	Watches        atomic.Int64
	FollowRequests atomic.Int64
	Failures       atomic.Int64
	// SourceFailures are requests to other daemons without a usable answer.
	SourceFailures atomic.Int64
	// OlderChanges are those that were not applied because of their revision, although they differ
	// from what is known.
	OlderChanges atomic.Int64
}

// Follower follows a registry. It implements core.ConfigView, core.MemberView and
// core.RelayServer.
//
// In each region the first daemon by rank, the reader, reads the store. The first of each other
// zone follows the reader, and the others follow the first of their zone. A daemon reads the
// store itself if those that it asks do not answer or have no contact with the store.
type Follower struct {
	Counters Counters

	config Config
	view   atomic.Pointer[follow.View]
	ready  atomic.Bool

	mu          sync.Mutex
	state       *follow.State
	expiryTimer *time.Timer
	// changed is closed and replaced at each change of the state.
	changed     chan struct{}
	isStoreDown bool
	// isStale is set while the content comes from a stale read and has not been confirmed.
	isStale bool
	// contactAt is the last contact with the store, by this daemon or the one that it follows.
	contactAt time.Time
	// contactSince is the end of the last gap between contacts of at least ContactGap.
	contactSince time.Time
	// seenPosition is the newest position of the store in an answer to this daemon.
	seenPosition    core.StorePosition
	watchAnsweredAt time.Time
	startedAt       time.Time
	// lookedAt is when this daemon, still starting, last listed the content to find others of its
	// region, zero if it knew some from the beginning.
	lookedAt time.Time
	// hintedVersion is a newer version that requests have shown since hintedAt, 0 if none.
	hintedVersion core.Version
	hintedAt      time.Time
	// hintListedAt is when a hint last led to a listing.
	hintListedAt time.Time
	// cancelWatch ends the current watch of the store; nil while there is none. watchNumber
	// increases with each watch.
	cancelWatch context.CancelFunc
	watchNumber uint64
	// watchCall is the call of the last watch.
	watchCall       *pace.Call
	isListRequested bool
	// isRewatchRequested is set when the current watch is canceled because it seems unresponsive
	// or another daemon can be followed.
	isRewatchRequested bool
	// randomAskedAt is when a daemon was last asked regardless of its rank.
	randomAskedAt time.Time
	// backoffUntil holds the time until which a daemon is not asked.
	backoffUntil map[core.HostName]time.Time
	// mergedEpochs holds the epoch in which a daemon last answered with what it keeps from earlier
	// epochs.
	mergedEpochs map[core.HostName]uint64

	cancel    context.CancelFunc
	runDone   chan struct{}
	checkDone chan struct{}
	// requests are those to other daemons that have not ended.
	requests sync.WaitGroup
}

// New returns a follower, which has no content before Start.
func New(config Config) *Follower {
	if config.WatchWait <= 0 {
		config.WatchWait = DefaultWatchWait
	}
	f := &Follower{
		config:    config,
		state:     follow.New(config.StateConfig),
		runDone:   make(chan struct{}),
		checkDone: make(chan struct{}),

		changed:      make(chan struct{}),
		backoffUntil: map[core.HostName]time.Time{},
		mergedEpochs: map[core.HostName]uint64{},
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
	go f.checkRevisions(ctx)
	return nil
}

// Stop implements core.Service.
func (f *Follower) Stop(context.Context) error {
	f.cancel()
	<-f.runDone
	<-f.checkDone
	f.requests.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
	}
	return nil
}

// run lists the content once and then follows changes. After a failure it continues from the last
// known revision, or lists again if the store has compacted the changes since then or was restored, or
// if there are too many of them for one answer.
// The next listing after one with pages of two epochs follows a pause, though the store is not down.
func (f *Follower) run(ctx context.Context) {
	defer close(f.runDone)
	var retry backoff
	var retryAt time.Time
	isComplete := false
	for ctx.Err() == nil {
		if f.takeListRequest() {
			isComplete = false
		}
		// A daemon whose listing fails can still get the content from another one.
		if (isComplete || retry.next > 0 && f.hasContent()) && f.followRelay(ctx) {
			isComplete = true
			retry, retryAt = backoff{}, time.Time{}
			continue
		}
		if wait := retryAt.Sub(f.config.Clock.Now()); wait > 0 {
			pause(ctx, min(wait, relayRetryInterval))
			continue
		}
		err := f.probeStore(ctx)
		if core.KindOf(err) == core.StoreRestored {
			err, isComplete = nil, false
		}
		switch {
		case err != nil:
		case !isComplete:
			err = f.listAll(ctx)
		case f.isLoneStart():
			err = f.lookForOthers(ctx)
		case !f.awaitWatch(ctx):
			continue
		default:
			err = f.watch(ctx)
		}
		switch {
		case err == nil:
			isComplete = true
			retry, retryAt = backoff{}, time.Time{}
			continue
		case ctx.Err() != nil:
			return
		case isComplete && needsListing(err):
			isComplete = false
			continue
		case f.takeWatchCanceled():
			continue
		}
		if core.KindOf(err) != core.StoreRestored {
			f.markStoreDown(err)
		}
		if retry.next == 0 {
			retry = f.newBackoff()
		}
		retryAt = f.config.Clock.Now().Add(retry.next/2 + rand.N(retry.next/2))
		retry.next = min(retry.next*2, retry.max)
	}
}

// needsListing reports whether the changes since the last known revision cannot be had.
func needsListing(err error) bool {
	switch core.KindOf(err) {
	case core.StoreCompacted, core.StoreRestored, core.StoreTooLarge:
		return true
	}
	return false
}

// hasContent reports whether any content was listed.
func (f *Follower) hasContent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Position() != (core.StorePosition{})
}

// backoff is the pause after a failed call to the store.
type backoff struct {
	// next is zero before the first failure.
	next time.Duration
	max  time.Duration
}

// newBackoff returns the backoff of this daemon after the first failure. A daemon that learns of
// the store's recovery from others calls it less often, since the platform charges each call.
func (f *Follower) newBackoff() backoff {
	if f.config.Relay == nil || f.isReader() {
		return backoff{
			next: firstBackoff,
			max:  maxBackoff,
		}
	}
	return backoff{
		next: firstFollowerBackoff,
		max:  maxFollowerBackoff,
	}
}

// update applies an answer and publishes the view; age is the time since the contact with the
// store that the answer reflects.
func (f *Follower) update(age time.Duration, apply func(now time.Time)) {
	f.mu.Lock()
	now := f.config.Clock.Now()
	if contactAt := now.Add(-age); contactAt.After(f.contactAt) {
		if f.config.ContactGap > 0 && contactAt.Sub(f.contactAt) >= f.config.ContactGap {
			f.contactSince = now
		}
		f.contactAt = contactAt
	}
	wasStoreDown := f.isStoreDown
	f.isStoreDown = false
	f.state.MarkStoreUp(now)
	apply(now)
	f.Counters.OlderChanges.Store(f.state.OlderChanges())
	f.publish(now)
	events := f.state.TakeEvents()
	f.mu.Unlock()
	if wasStoreDown {
		f.record(follow.Event{
			Kind: core.EventStoreRecovered,
		})
	}
	f.report(events)
}

// report records changes of the state and passes them on.
func (f *Follower) report(events []follow.Event) {
	for _, event := range events {
		f.record(event)
	}
	if len(events) > 0 && f.config.OnChange != nil {
		f.config.OnChange()
	}
}

// publish stores the view and sets the timer for the next upstream whose grace period ends. The
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
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
	}
	f.expiryTimer = time.AfterFunc(next.Sub(now), func() {
		f.mu.Lock()
		f.publish(f.config.Clock.Now())
		events := f.state.TakeEvents()
		f.mu.Unlock()
		f.report(events)
	})
}

// markStoreDown records that a call to the store failed. Only the first failure of an outage is
// an event.
func (f *Follower) markStoreDown(err error) {
	f.Counters.Failures.Add(1)
	f.mu.Lock()
	wasStoreDown := f.isStoreDown
	f.isStoreDown = true
	f.state.MarkStoreDown()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	if !wasStoreDown {
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

// takeListRequest reports whether ObserveVersion requested a listing, and clears the request.
func (f *Follower) takeListRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isRequested := f.isListRequested
	f.isListRequested = false
	return isRequested
}

// takeWatchCanceled reports whether this daemon itself canceled the last watch. A requested
// listing stays requested.
func (f *Follower) takeWatchCanceled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isCanceled := f.isListRequested || f.isRewatchRequested
	f.isRewatchRequested = false
	return isCanceled
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
