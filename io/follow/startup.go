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
	since := f.startedAt
	if f.loneAt.After(since) {
		since = f.loneAt
	}
	return !f.ready.Load() && f.config.Clock.Now().Sub(since) < startupPeriod
}

// isLoneStart reports whether the daemon has just started and knows no other one of its region.
func (f *Follower) isLoneStart() bool {
	now := f.config.Clock.Now()
	if f.config.Relay == nil || f.ready.Load() || now.Sub(f.startedAt) >= loneStartPeriod {
		return false
	}
	for _, member := range f.view.Load().ByName {
		if member.Host.Region == f.config.Self.Region && member.Host.Name != f.config.Self.Name {
			return false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loneAt = now
	return true
}

// lookForOthers lists the content again once a stale read shows a change. Either may be of an earlier
// epoch.
func (f *Follower) lookForOthers(ctx context.Context) error {
	pause(ctx, loneReadInterval*3/4+rand.N(loneReadInterval/2))
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
	if err = f.list(ctx, true); core.KindOf(err) == core.StoreStale {
		return nil
	}
	return err
}
