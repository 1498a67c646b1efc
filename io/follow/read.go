package follow

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/pace"
)

// listAll reads the whole content. The first listing may be stale, as the next call continues from
// its revision; this costs less.
func (f *Follower) listAll(ctx context.Context) error {
	f.mu.Lock()
	isFirst := f.state.Position() == (core.StorePosition{})
	f.mu.Unlock()
	return f.list(ctx, isFirst)
}

func (f *Follower) list(ctx context.Context, mayBeStale bool) error {
	f.Counters.Lists.Add(1)
	listing, err := f.config.Registry.List(ctx, mayBeStale)
	if err != nil {
		return err
	}
	f.observePosition(listing.StorePosition)
	if err = f.checkEpoch(listing.StorePosition); err != nil && core.KindOf(err) != core.StoreRestored {
		return err
	}
	f.applyListing(listing, mayBeStale)
	return nil
}

// awaitWatch waits until the next watch may begin. It returns false earlier if another daemon can be
// asked again, which may make the watch unnecessary. One that had no contact with the store before
// the last watch is asked before the next one.
func (f *Follower) awaitWatch(ctx context.Context) bool {
	now := f.config.Clock.Now()
	f.mu.Lock()
	gap, answeredAt, sourceAt := f.watchGap(), f.watchAnsweredAt, f.nextSourceAt(now)
	f.mu.Unlock()
	if sourceAt.IsZero() || sourceAt.After(answeredAt.Add(max(gap, shortSourceBackoff))) {
		pause(ctx, answeredAt.Add(gap).Sub(now))
		return true
	}
	pause(ctx, sourceAt.Sub(now))
	return false
}

// watch asks the store for the next changes. It waits only briefly for them while the content has
// to be confirmed.
func (f *Follower) watch(ctx context.Context) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchCtx, call := pace.Track(watchCtx)
	f.mu.Lock()
	f.cancelWatch, f.watchCall = cancel, call
	f.watchNumber++
	after := f.state.Position().Revision
	wait := f.config.WatchWait
	if f.isStale {
		wait = confirmWatchWait
	}
	f.mu.Unlock()
	f.Counters.Watches.Add(1)
	answer, err := f.config.Registry.Watch(watchCtx, after, wait)
	f.mu.Lock()
	f.cancelWatch = nil
	if kind := core.KindOf(err); kind == core.StoreCompacted || kind == core.StoreTooLarge {
		// The watch after the next listing may get the same answer.
		f.watchAnsweredAt = f.config.Clock.Now()
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	f.observePosition(answer.StorePosition)
	if err = f.checkEpoch(answer.StorePosition); err != nil {
		return err
	}
	changes := f.decode(answer)
	f.update(0, func(now time.Time) {
		f.isStale = false
		// The store has had the time of the transfer to collect changes.
		if f.watchAnsweredAt = call.BegunAt(); f.watchAnsweredAt.IsZero() {
			f.watchAnsweredAt = now
		}
		f.state.ApplyWatch(now, changes, answer.StorePosition)
	})
	return nil
}

// applyListing applies the whole content. The daemon becomes ready only once the content is
// confirmed.
func (f *Follower) applyListing(listing core.RegistryAnswer, isStale bool) {
	changes := f.decode(listing)
	f.mu.Lock()
	f.isStale = isStale
	f.mu.Unlock()
	f.update(0, func(now time.Time) {
		f.state.ApplyListing(now, changes, listing.StorePosition)
	})
}

func (f *Follower) decode(answer core.RegistryAnswer) []core.RegistryChange {
	changes := make([]core.RegistryChange, len(answer.Items))
	for i, item := range answer.Items {
		changes[i] = f.decodeItem(item)
	}
	return changes
}

// decodeItem decodes an item. A panic means that the item cannot be decoded; it must not end the
// process, which would start again and read the same item.
func (f *Follower) decodeItem(item core.RegistryItem) (change core.RegistryChange) {
	defer func() {
		if cause := recover(); cause != nil {
			change = core.RegistryChange{
				RegistryItem: item,
			}
			f.record(follow.Event{
				Kind:     core.EventValueRefused,
				Subject:  item.Key,
				Revision: item.Revision,
				Detail:   fmt.Sprintf("panic: %v at %s", cause, debug.Stack()),
			})
		}
	}()
	return f.config.Registry.Decode(item)
}

// watchGap returns the minimum time between two watches. All daemons, one beside each upstream,
// see each change at the same time; without the gap they would exceed the store's read rate.
func (f *Follower) watchGap() time.Duration {
	if f.config.ReadsPerSecond <= 0 {
		return minWatchGap
	}
	seconds := float64(f.UpstreamCount()) / (watchRateShare * f.config.ReadsPerSecond)
	return max(minWatchGap, time.Duration(seconds*float64(time.Second)))
}

// observePosition records the position of the store in an answer, for metrics, and a restoration as
// an event. The first answer shows none.
func (f *Follower) observePosition(position core.StorePosition) {
	f.mu.Lock()
	last := f.seenPosition
	if position.IsAfter(last) {
		f.seenPosition = position
	}
	f.mu.Unlock()
	if last == (core.StorePosition{}) || position.Epoch <= last.Epoch {
		return
	}
	f.record(follow.Event{
		Kind:     core.EventStoreRestored,
		Revision: position.Revision,
		Detail:   fmt.Sprintf("epoch %d at revision %d follows epoch %d at revision %d", position.Epoch, position.Revision, last.Epoch, last.Revision),
	})
}

// checkEpoch returns an error if an answer of the store is not of the epoch of the known content:
// StoreRestored for a newer one, StoreStale for an older one.
func (f *Follower) checkEpoch(position core.StorePosition) error {
	f.mu.Lock()
	known := f.state.Position()
	f.mu.Unlock()
	switch {
	case known == (core.StorePosition{}) || position.Epoch == known.Epoch:
		return nil
	case position.Epoch < known.Epoch:
		return core.Errorf(core.StoreStale, "the answer is of epoch %d, before %d", position.Epoch, known.Epoch)
	}
	return core.Errorf(core.StoreRestored, "the answer is of epoch %d, after %d", position.Epoch, known.Epoch)
}

// probeStore makes the cheapest call to a store that is down, because all daemons make it during
// an outage and the platform charges each call.
func (f *Follower) probeStore(ctx context.Context) error {
	f.mu.Lock()
	isStoreDown := f.isStoreDown
	f.mu.Unlock()
	if !isStoreDown {
		return nil
	}
	f.Counters.RevisionReads.Add(1)
	position, err := f.config.Registry.Position(ctx, true)
	if err != nil {
		return err
	}
	f.observePosition(position)
	if err = f.checkEpoch(position); core.KindOf(err) == core.StoreStale {
		// A stale read may be of an earlier epoch; it shows that the store answers.
		return nil
	}
	return err
}
