package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/pace"
)

// rankedHosts returns the hosts of the members that are candidates, ordered by a hash of their
// names. Daemons whose member lists differ choose different readers, which costs only a few more
// reads.
func rankedHosts(members map[core.HostName]core.Member, isCandidate func(core.Host) bool) []core.Host {
	var hosts []core.Host
	for _, member := range members {
		if isCandidate(member.Host) {
			hosts = append(hosts, member.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b core.Host) int {
		x, y := xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return hosts
}

// source returns the daemon to follow; ok is false if this daemon is to read the store itself.
// Most daemons follow the first of their availability zone, which follows the first of the
// region. A daemon without contact with the store also asks a random one, whatever its rank,
// because the store may reject the others and serve that one. So does a daemon whose listing lacked a
// version that requests show: others may keep it from before a restoration.
func (f *Follower) source(now time.Time) (host core.Host, isRandom, ok bool) {
	zone, region := f.ranks()
	if host, ok = f.availableSource(now, zone, maxSources); ok {
		return host, false, true
	}
	if host, ok = f.availableSource(now, region, 1); ok {
		return host, false, true
	}
	f.mu.Lock()
	mayAskRandom := (f.isStoreDown || f.isHintUnresolved(now)) && !now.Before(f.randomAskedAt.Add(shortSourceBackoff))
	f.mu.Unlock()
	if !mayAskRandom {
		return core.Host{}, false, false
	}
	others := slices.DeleteFunc(append(zone, region...), func(host core.Host) bool {
		return host.Name == f.config.Self.Name
	})
	if len(others) == 0 {
		return core.Host{}, false, false
	}
	host, ok = f.availableSource(now, others[rand.N(len(others)):], 1)
	return host, true, ok
}

// ranks returns two lists by rank: the daemons of the own zone, and this daemon together with the
// first daemon of each zone of the region.
func (f *Follower) ranks() (zone, region []core.Host) {
	members := f.view.Load().ByName
	zone = rankedHosts(members, func(host core.Host) bool {
		return host.AvailabilityZone == f.config.Self.AvailabilityZone
	})
	seenZones := map[core.AvailabilityZone]bool{}
	region = rankedHosts(members, func(host core.Host) bool {
		return host.Region == f.config.Self.Region
	})
	region = slices.DeleteFunc(region, func(host core.Host) bool {
		isFirst := !seenZones[host.AvailabilityZone]
		seenZones[host.AvailabilityZone] = true
		return !isFirst && host.Name != f.config.Self.Name
	})
	return zone, region
}

// isReader reports whether this daemon is the first of its zone and of its region.
func (f *Follower) isReader() bool {
	zone, region := f.ranks()
	isFirst := func(hosts []core.Host) bool {
		return len(hosts) == 0 || hosts[0].Name == f.config.Self.Name
	}
	return isFirst(zone) && isFirst(region)
}

// availableSource returns the first daemon that can be asked among those of the first limit hosts
// that rank before this one.
func (f *Follower) availableSource(now time.Time, hosts []core.Host, limit int) (host core.Host, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, candidate := range hosts {
		if i == limit || candidate.Name == f.config.Self.Name {
			return core.Host{}, false
		}
		if !now.Before(f.backoffUntil[candidate.Name]) && candidate.PeerAddress != "" {
			return candidate, true
		}
	}
	return core.Host{}, false
}

// nextSourceAt returns when the first of the backoffs of other daemons ends, zero if there is none. The
// caller holds the mutex.
func (f *Follower) nextSourceAt(now time.Time) time.Time {
	var next time.Time
	for _, until := range f.backoffUntil {
		if until.After(now) && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	return next
}

// followRelay asks another daemon of the region for changes. It returns false if the store is to
// be read instead.
func (f *Follower) followRelay(ctx context.Context) bool {
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
	after, wait := f.state.Position(), relayWait
	epoch, isMerged := f.mergedEpochs[host.Name]
	isMerged = isMerged && epoch == after.Epoch
	if f.isStale || !isMerged || isRandom && f.isHintUnresolved(now) {
		// Even an answer without changes confirms the content, and has what the daemon keeps from
		// earlier epochs.
		wait = 0
	}
	f.mu.Unlock()
	isLate, err := f.followHost(ctx, host, core.FollowRequest{
		After: after,
		Wait:  wait,
	})
	if core.KindOf(err) == core.StoreCompacted {
		isLate, err = f.followHost(ctx, host, core.FollowRequest{
			After:  after,
			IsFull: true,
		})
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return true
	}
	if f.isStarting() {
		pause(ctx, startupRetryInterval)
		return true
	}
	if !isLate {
		f.backOff(host.Name, now, err)
	}
	// The next candidate, or else the store, is asked without a pause.
	return f.followRelay(ctx)
}

// backOff keeps a daemon from being asked for a while after an error.
func (f *Follower) backOff(name core.HostName, askedAt time.Time, err error) {
	delay := shortSourceBackoff
	switch core.KindOf(err) {
	case core.PeerUnreachable:
		delay = sourceBackoff
	case core.PeerMalformed:
		delay = incompatibleBackoff
	}
	failedAt := f.config.Clock.Now()
	f.mu.Lock()
	f.backoffUntil[name] = failedAt.Add(delay)
	f.mu.Unlock()
	f.Counters.SourceFailures.Add(1)
	f.record(follow.Event{
		Kind:    core.EventSourceFailed,
		Subject: string(name),
		Detail:  fmt.Sprintf("asked %v ago and not again for %v: %v", failedAt.Sub(askedAt).Round(time.Millisecond), delay, err),
	})
}

// followHost asks a daemon once and applies its answer. If the answer does not begin in time, it backs
// off and returns an error, but does not cancel the request. A late answer is applied too, and ends the
// backoff.
func (f *Follower) followHost(ctx context.Context, host core.Host, request core.FollowRequest) (isLate bool, _ error) {
	callCtx, call, cancel := pace.WithLimits(ctx, pace.Limits{
		Begin: request.Wait + sourceBackoff,
		Idle:  maxRelayPause,
		Total: maxRelayTransferTime,
	})
	askedAt := f.config.Clock.Now()
	result, late := make(chan error), make(chan struct{})
	f.requests.Go(func() {
		defer cancel()
		err := f.askHost(callCtx, host, request)
		select {
		case result <- err:
		case <-late:
			f.endBackoff(host, err)
		}
	})
	timer := time.NewTimer(request.Wait + relayTimeout)
	defer timer.Stop()
	select {
	case err := <-result:
		return false, err
	case <-timer.C:
	}
	if call.IsBegun() {
		return false, <-result
	}
	err := core.Errorf(core.PeerUnreachable, "%s has not answered yet", host.Name)
	if !f.isStarting() {
		f.backOff(host.Name, askedAt, err)
	}
	close(late)
	return true, err
}

// endBackoff lets a daemon be asked again that has answered late, and cancels the watch of the store
// that replaced it.
func (f *Follower) endBackoff(host core.Host, err error) {
	if err != nil && core.KindOf(err) != core.StoreCompacted {
		return
	}
	f.mu.Lock()
	delete(f.backoffUntil, host.Name)
	f.mu.Unlock()
	if _, _, ok := f.source(f.config.Clock.Now()); ok {
		f.cancelParkedWatch()
	}
}

// askHost asks a daemon once and applies its answer.
func (f *Follower) askHost(ctx context.Context, host core.Host, request core.FollowRequest) error {
	f.Counters.FollowRequests.Add(1)
	sentAt := f.config.Clock.Now()
	answer, err := f.config.Relay.Follow(ctx, host.PeerAddress, request)
	switch {
	case err != nil:
		return err
	case answer.Epoch == 0 && request.After.Epoch > 0:
		// Its revisions may be of a history that the store has lost.
		return core.Errorf(core.PeerMalformed, "%s sends no epoch", host.Name)
	case answer.ContactAge < 0 || answer.ContactAge >= maxContactAge:
		return core.Errorf(core.StoreDown, "%s has no contact with the store", host.Name)
	case request.After.IsAfter(answer.StorePosition):
		return core.Errorf(core.StoreStale, "%s knows less", host.Name)
	case answer.Epoch != request.After.Epoch && !request.IsFull:
		return core.Errorf(core.StoreCompacted, "%s knows a newer epoch", host.Name)
	}
	// What exceeds the wait passed on the way.
	age := answer.ContactAge + max(f.config.Clock.Now().Sub(sentAt)-request.Wait, 0)
	changes := f.decode(answer.RegistryAnswer)
	f.update(age, func(now time.Time) {
		known := f.state.Position()
		if answer.Epoch < known.Epoch || answer.Epoch > known.Epoch && !request.IsFull {
			// A late answer; the content is of another epoch by now.
			return
		}
		f.isStale = f.isStale && known.IsAfter(answer.StorePosition)
		if request.Wait == 0 {
			f.mergedEpochs[host.Name] = answer.Epoch
		}
		if request.IsFull {
			f.state.ApplyListing(now, changes, answer.StorePosition)
			return
		}
		f.state.RecordGap(answer.GapBefore)
		f.state.ApplyAnswer(now, changes, request.After.Revision, answer.StorePosition)
	})
	return nil
}

// Follow implements core.RelayServer.
func (f *Follower) Follow(ctx context.Context, request core.FollowRequest) (core.FollowAnswer, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	f.mu.Lock()
	keptChanges := f.state.KeptChanges()
	f.mu.Unlock()
	for {
		answer, changed, err := f.currentAnswer(request, keptChanges)
		if err != nil || len(answer.Items) > 0 || request.IsFull || answer.ContactAge < 0 {
			return answer, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, nil
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
}

// currentAnswer returns what this daemon knows now, and a channel that is closed at the next
// change. What it keeps from earlier epochs follows if the request has no wait, or if it has grown
// since keptChanges.
func (f *Follower) currentAnswer(request core.FollowRequest, keptChanges uint64) (core.FollowAnswer, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, epoch := request.After.Revision, f.state.Position().Epoch
	if request.IsFull {
		after = 0
	}
	known, ok := f.state.ChangesSince(after)
	// A daemon of an earlier release sends no epoch.
	isEarlierEpoch := request.After.Epoch != 0 && request.After.Epoch < epoch
	if !ok || isEarlierEpoch && !request.IsFull {
		return core.FollowAnswer{}, nil, core.Errorf(core.StoreCompacted, "epoch %d, revision %d is too old", request.After.Epoch, request.After.Revision)
	}
	if request.Wait <= 0 || f.state.KeptChanges() > keptChanges {
		known.Items = append(known.Items, f.state.KeptItems()...)
	}
	answer := core.FollowAnswer{
		RegistryAnswer: known,
		ContactAge:     f.config.Clock.Now().Sub(f.contactAt),
		GapBefore:      f.state.GapBefore(after),
	}
	if f.isStoreDown || f.isStale || request.After.Epoch > epoch {
		answer.ContactAge = -1
	}
	return answer, f.changed, nil
}
