package follow

import (
	"context"
	"math/rand/v2"
	"time"
)

// beat asks for the revision of the store from time to time while this daemon reads it. A
// watch that does not deliver what two pulses in a row have shown is given up.
func (f *Follower) beat(ctx context.Context) {
	defer close(f.beatDone)
	for ctx.Err() == nil {
		pause(ctx, pulseInterval*3/4+rand.N(pulseInterval/2))
		f.mu.Lock()
		isWatching := f.interrupt != nil
		f.mu.Unlock()
		if !isWatching || ctx.Err() != nil {
			continue
		}
		if f.endWatchFor(f.config.Clock.Now()) {
			continue
		}
		f.Counters.Pulses.Add(1)
		revision, err := f.config.Registry.Revision(ctx)
		if err != nil {
			if ctx.Err() == nil {
				f.failed(err)
			}
			continue
		}
		f.pulse(revision)
	}
}

// endWatchFor ends the watch of the store if there is a daemon to ask again.
func (f *Follower) endWatchFor(now time.Time) bool {
	if f.config.Relay == nil {
		return false
	}
	if _, _, ok := f.source(now); !ok {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt == nil {
		return false
	}
	f.wantsWatch = true
	f.interrupt()
	return true
}

// pulse compares the revision of a stale read with the watch.
func (f *Follower) pulse(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.state.Revision()
	isSilent := f.behind > known || f.isLost
	if !f.isLost {
		f.contactAt = f.config.Clock.Now()
	}
	f.behind = 0
	if revision > known {
		f.behind = revision
	}
	// After an outage the watch that was parked through it may never answer.
	if isSilent && f.interrupt != nil {
		f.wantsWatch = true
		f.interrupt()
	}
}
