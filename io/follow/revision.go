package follow

import (
	"context"
	"fmt"
	"math/rand/v2"

	"verbenaway/core"
	"verbenaway/core/follow"
)

// checkRevisions periodically reads the revision of the store while this daemon watches the store.
// If the watch does not deliver a revision that a read has shown, the content is listed.
func (f *Follower) checkRevisions(ctx context.Context) {
	defer close(f.checkDone)
	staleReads := 0
	for ctx.Err() == nil {
		pause(ctx, revisionReadInterval*3/4+rand.N(revisionReadInterval/2))
		watch, isWatching := f.currentWatch()
		if !isWatching || ctx.Err() != nil || f.hasFreshAnswer() {
			continue
		}
		if f.cancelWatchForSource(ctx) {
			continue
		}
		mayBeStale := staleReads < staleRevisionReads
		staleReads++
		if !mayBeStale {
			staleReads = 0
		}
		f.Counters.RevisionReads.Add(1)
		position, err := f.config.Registry.Position(ctx, mayBeStale)
		if err != nil {
			if ctx.Err() == nil {
				f.markStoreDown(err)
			}
			continue
		}
		f.observePosition(position)
		if f.requestListIfRestored(position) {
			continue
		}
		f.recordContact()
		if f.isMissing(watch, position) {
			pause(ctx, deliveryTime)
			f.listMissing(watch, position)
		}
	}
}

// currentWatch returns the number of the current watch of the store; ok is false if there is none.
func (f *Follower) currentWatch() (number uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchNumber, f.cancelWatch != nil
}

// cancelWatchForSource cancels the watch of the store once another daemon to follow has answered, unless
// the answer of the store is arriving. A watch canceled for a daemon that does not answer would have to
// be started again, which costs a call.
func (f *Follower) cancelWatchForSource(ctx context.Context) bool {
	if f.config.Relay == nil {
		return false
	}
	now := f.config.Clock.Now()
	host, isRandom, ok := f.source(now)
	if !ok {
		return false
	}
	f.mu.Lock()
	if isRandom {
		f.randomAskedAt = now
	}
	after := f.state.Position()
	f.mu.Unlock()
	isLate, err := f.followHost(ctx, host, core.FollowRequest{
		After: after,
	})
	if err != nil && core.KindOf(err) != core.StoreCompacted {
		if !isLate {
			f.backOff(host.Name, now, err)
		}
		return false
	}
	return f.cancelParkedWatch()
}

// cancelParkedWatch cancels the watch of the store unless its answer is arriving.
func (f *Follower) cancelParkedWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch == nil || f.watchCall.IsBegun() {
		return false
	}
	f.isRewatchRequested = true
	f.cancelWatch()
	return true
}

// hasFreshAnswer reports whether the watch answered so recently that a read would show nothing more.
func (f *Follower) hasFreshAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now().Sub(f.watchAnsweredAt) < revisionReadInterval
}

// recordContact records that the store has answered. A watch that was parked during an outage may
// never answer, so it is canceled.
func (f *Follower) recordContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isStoreDown {
		f.contactAt = f.config.Clock.Now()
		return
	}
	if f.cancelWatch != nil {
		f.isRewatchRequested = true
		f.cancelWatch()
	}
}

// requestListIfRestored requests a listing if an answer shows a newer epoch of the store, in which the
// current watch cannot continue.
func (f *Follower) requestListIfRestored(position core.StorePosition) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.state.Position()
	if known == (core.StorePosition{}) || position.Epoch <= known.Epoch {
		return false
	}
	f.requestList()
	return true
}

// requestList makes run list the content next. The caller holds the mutex.
func (f *Follower) requestList() {
	f.isListRequested = true
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// isMissing reports whether a watch is still parked although the store has a newer position. A watch
// whose answer is arriving is not.
func (f *Follower) isMissing(watch uint64, position core.StorePosition) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelWatch != nil && f.watchNumber == watch && !f.watchCall.IsBegun() &&
		position.IsAfter(f.state.Position())
}

// listMissing requests a listing if a watch has not delivered a revision. Another watch might not
// deliver it either.
func (f *Follower) listMissing(watch uint64, position core.StorePosition) {
	if !f.isMissing(watch, position) {
		return
	}
	f.record(follow.Event{
		Kind:     core.EventWatchSilent,
		Revision: position.Revision,
		Detail:   fmt.Sprintf("not delivered after %v", deliveryTime),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestList()
}
