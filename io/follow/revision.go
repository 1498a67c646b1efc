package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// checkRevisions periodically reads the revision of the store while this daemon watches the store.
// It cancels a watch that has not delivered the revision of one read by the time of the next.
func (f *Follower) checkRevisions(ctx context.Context) {
	defer close(f.checkDone)
	for ctx.Err() == nil {
		pause(ctx, revisionReadInterval*3/4+rand.N(revisionReadInterval/2))
		f.mu.Lock()
		isWatching := f.cancelWatch != nil
		f.mu.Unlock()
		if !isWatching || ctx.Err() != nil {
			continue
		}
		if f.cancelWatchForSource(f.config.Clock.Now()) {
			continue
		}
		f.Counters.RevisionReads.Add(1)
		revision, err := f.config.Registry.Revision(ctx)
		if err != nil {
			if ctx.Err() == nil {
				f.markStoreDown(err)
			}
			continue
		}
		f.compareRevision(revision)
	}
}

// cancelWatchForSource cancels the watch of the store if there is a daemon to follow again.
func (f *Follower) cancelWatchForSource(now time.Time) bool {
	if f.config.Relay == nil {
		return false
	}
	if _, _, ok := f.source(now); !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch == nil {
		return false
	}
	f.isRewatchRequested = true
	f.cancelWatch()
	return true
}

// compareRevision compares the revision of a stale read with what the watch has delivered, and
// cancels an unresponsive watch.
func (f *Follower) compareRevision(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.state.Revision()
	isUnresponsive := f.missedRevision > known || f.isStoreDown
	if !f.isStoreDown {
		f.contactAt = f.config.Clock.Now()
	}
	f.missedRevision = 0
	if revision > known {
		f.missedRevision = revision
	}
	// A watch that was parked during an outage may never answer.
	if isUnresponsive && f.cancelWatch != nil {
		f.isRewatchRequested = true
		f.cancelWatch()
	}
}
