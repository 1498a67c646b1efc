package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// ranked returns the members that fit, in the order in which they read the store. Daemons
// whose lists differ choose other readers, which costs a few reads more.
func ranked(members map[core.HostName]core.Member, fits func(core.Host) bool) []core.Host {
	var hosts []core.Host
	for _, member := range members {
		if fits(member.Host) {
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

// source returns the daemon to ask; ok is false if this daemon is to read the store itself.
// Most daemons ask the first of their availability zone, which asks the first of the region. A
// daemon that has lost the store also asks a stray one, whatever its rank: the store may turn
// the others away and serve that one.
func (f *Follower) source(now time.Time) (host core.Host, isStray, ok bool) {
	zone, region := f.ranks()
	if host, ok = f.before(now, zone, mostSources); ok {
		return host, false, true
	}
	if host, ok = f.before(now, region, 1); ok {
		return host, false, true
	}
	f.mu.Lock()
	mayStray := f.isLost && !now.Before(f.strayAt.Add(shortRest))
	f.mu.Unlock()
	if !mayStray {
		return core.Host{}, false, false
	}
	others := slices.DeleteFunc(append(zone, region...), func(host core.Host) bool {
		return host.Name == f.config.Self.Name
	})
	if len(others) == 0 {
		return core.Host{}, false, false
	}
	host, ok = f.before(now, others[rand.N(len(others)):], 1)
	return host, true, ok
}

// ranks returns the daemons of the own zone, and the first of each zone of the region with this
// one, in the order in which they read the store.
func (f *Follower) ranks() (zone, region []core.Host) {
	members := f.view.Load().ByName
	zone = ranked(members, func(host core.Host) bool {
		return host.AvailabilityZone == f.config.Self.AvailabilityZone
	})
	leaders := map[core.AvailabilityZone]bool{}
	region = ranked(members, func(host core.Host) bool {
		return host.Region == f.config.Self.Region
	})
	region = slices.DeleteFunc(region, func(host core.Host) bool {
		isLeader := !leaders[host.AvailabilityZone]
		leaders[host.AvailabilityZone] = true
		return !isLeader && host.Name != f.config.Self.Name
	})
	return zone, region
}

// isReader tells whether this daemon is the first of its region.
func (f *Follower) isReader() bool {
	zone, region := f.ranks()
	isFirst := func(hosts []core.Host) bool {
		return len(hosts) == 0 || hosts[0].Name == f.config.Self.Name
	}
	return isFirst(zone) && isFirst(region)
}

// before returns the first daemon that can be asked among those that rank before this one.
func (f *Follower) before(now time.Time, hosts []core.Host, most int) (host core.Host, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, candidate := range hosts {
		if i == most || candidate.Name == f.config.Self.Name {
			return core.Host{}, false
		}
		if !now.Before(f.restUntil[candidate.Name]) && candidate.PeerAddress != "" {
			return candidate, true
		}
	}
	return core.Host{}, false
}

// followRelay asks another daemon of the zone for changes. It returns false if the store is to
// be read instead.
func (f *Follower) followRelay(ctx context.Context) bool {
	if f.config.Relay == nil {
		return false
	}
	now := f.config.Clock.Now()
	host, isStray, ok := f.source(now)
	if !ok {
		return false
	}
	f.mu.Lock()
	if isStray {
		f.strayAt = now
	}
	after, wait := f.state.Revision(), relayWait
	if f.isStale {
		// Even an answer without changes confirms the content.
		wait = 0
	}
	f.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	f.Counters.Relayed.Add(1)
	answer, err := f.config.Relay.Follow(callCtx, host.PeerAddress, core.FollowRequest{
		After: after,
		Wait:  wait,
	})
	if err == nil && answer.ContactAge >= 0 && answer.ContactAge < contactLimit && answer.Revision >= after {
		changes := f.decode(answer.RegistryAnswer)
		f.update(answer.ContactAge, func(now time.Time) {
			f.isStale = false
			f.state.ApplyWatch(now, changes, answer.Revision)
		})
		return true
	}
	if ctx.Err() != nil {
		return true
	}
	if f.isStarting() {
		pause(ctx, startPause)
		return true
	}
	rest := sourceRest
	if core.KindOf(err) != core.PeerUnreachable {
		rest = shortRest
	}
	f.mu.Lock()
	f.restUntil[host.Name] = f.config.Clock.Now().Add(rest)
	f.mu.Unlock()
	// Another candidate, or the store, is asked at once.
	return f.followRelay(ctx)
}

// isStarting tells whether the daemon has just started and others may be about to confirm their
// content, which spares the store a call of each of them.
func (f *Follower) isStarting() bool {
	return !f.ready.Load() && f.config.Clock.Now().Sub(f.startedAt) < startPatience
}

// Follow implements core.RelayServer.
func (f *Follower) Follow(ctx context.Context, request core.FollowRequest) (core.FollowAnswer, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		answer, changed, err := f.answer(request)
		if err != nil || len(answer.Items) > 0 || request.IsWhole || answer.ContactAge < 0 {
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

// answer returns what this daemon knows now, and a channel that is closed at the next change.
func (f *Follower) answer(request core.FollowRequest) (core.FollowAnswer, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := request.After
	if request.IsWhole {
		after = 0
	}
	known, ok := f.state.ChangesSince(after)
	if !ok {
		return core.FollowAnswer{}, nil, core.Errorf(core.StoreCompacted, "revision %d is too old", request.After)
	}
	answer := core.FollowAnswer{
		RegistryAnswer: known,
		ContactAge:     f.config.Clock.Now().Sub(f.contactAt),
	}
	if f.isLost || f.isStale {
		answer.ContactAge = -1
	}
	return answer, f.changed, nil
}
