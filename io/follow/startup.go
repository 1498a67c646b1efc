package follow

import (
	"context"
	"math/rand/v2"

	"verbenaway/core"
)

// isStarting reports whether the daemon has just started, or has just learned of the others. It then
// keeps asking daemons that may be about to confirm their content, so that not each of them calls the
// store.
func (f *Follower) isStarting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.startedAt.Add(startupPeriod)
	if !f.lookedAt.IsZero() {
		end = f.lookedAt.Add(maxLookInterval + startupPeriod)
	}
	return !f.ready.Load() && f.config.Clock.Now().Before(end)
}

// isLoneStart reports whether the daemon has just started and knows no daemon of its region that could
// confirm content for the others. The first one to register does that itself.
func (f *Follower) isLoneStart() bool {
	if f.config.Relay == nil || f.ready.Load() || f.config.Clock.Now().Sub(f.startedAt) >= loneStartPeriod {
		return false
	}
	for _, member := range f.view.Load().ByName {
		if member.Host.Region == f.config.Self.Region {
			return false
		}
	}
	return true
}

// lookForOthers lists the content again once a stale read shows a change. Either may be of an earlier
// epoch.
func (f *Follower) lookForOthers(ctx context.Context) error {
	pause(ctx, minLookInterval+rand.N(maxLookInterval-minLookInterval))
	f.Counters.RevisionReads.Add(1)
	position, err := f.config.Registry.Position(ctx, true)
	if err != nil {
		return err
	}
	f.observePosition(position)
	f.mu.Lock()
	isChanged := position.IsAfter(f.state.Position())
	f.mu.Unlock()
	if !isChanged {
		return nil
	}
	err = f.list(ctx, true)
	f.mu.Lock()
	f.lookedAt = f.config.Clock.Now()
	f.mu.Unlock()
	if core.KindOf(err) == core.StoreStale {
		return nil
	}
	return err
}
