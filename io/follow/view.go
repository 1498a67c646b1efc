package follow

import (
	"time"

	"verbenaway/core"
)

// Snapshot implements core.ConfigView.
func (f *Follower) Snapshot() (*core.Snapshot, core.ErrorKind) {
	if !f.ready.Load() {
		return nil, core.Starting
	}
	return f.view.Load().Snapshot, ""
}

// ObserveVersion implements core.ConfigView. A version that another daemon already uses makes this
// daemon list the store if it has not begun to arrive within hintDelay. Listing at once would cost one
// listing per daemon and change, since requests carry a version faster than watches do.
func (f *Follower) ObserveVersion(_ core.HostName, version core.Version) {
	snapshot := f.view.Load().Snapshot
	if snapshot == nil || version <= snapshot.Version {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock.Now()
	if f.hintedVersion <= snapshot.Version {
		f.hintedVersion, f.hintedAt = version, now
		return
	}
	if now.Sub(f.hintedAt) < hintDelay || now.Sub(f.hintListedAt) < minHintListInterval {
		return
	}
	if f.cancelWatch != nil && f.watchCall.IsBegun() {
		return
	}
	f.hintListedAt = now
	f.requestList()
}

// isHintUnresolved reports whether requests show a newer version than the store did when it was listed
// because of them. The caller holds the mutex.
func (f *Follower) isHintUnresolved(now time.Time) bool {
	snapshot := f.view.Load().Snapshot
	return snapshot != nil && f.hintedVersion > snapshot.Version && f.hintListedAt.After(f.hintedAt) &&
		now.Sub(f.hintListedAt) < 2*minHintListInterval
}

// Self implements core.MemberView.
func (f *Follower) Self() core.Host {
	return f.config.Self
}

// ServiceMembers implements core.MemberView.
func (f *Follower) ServiceMembers(service core.ServiceName) []core.Member {
	return f.view.Load().Members[service]
}

// OwnerLease implements core.MemberView: a Follower owns no idempotency keys.
func (f *Follower) OwnerLease() time.Time {
	return time.Time{}
}

// Departures implements core.MemberView.
func (f *Follower) Departures(core.ServiceName) []core.Departure {
	return nil
}

// Upstream returns the upstream with a host name, which is its address.
func (f *Follower) Upstream(name core.HostName) (core.Member, bool) {
	member, ok := f.view.Load().ByName[name]
	return member, ok
}

// UpstreamCount returns the number of upstreams in use.
func (f *Follower) UpstreamCount() int {
	return len(f.view.Load().ByName)
}

// Hosts returns the hosts of the upstreams in use, none before the daemon is ready.
func (f *Follower) Hosts() []core.Host {
	if !f.ready.Load() {
		return nil
	}
	view := f.view.Load()
	hosts := make([]core.Host, 0, len(view.ByName))
	for _, member := range view.ByName {
		hosts = append(hosts, member.Host)
	}
	return hosts
}

// ContactAge returns the time since the last contact with the store.
func (f *Follower) ContactAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Clock.Now().Sub(f.contactAt)
}

// ContactSince returns the time since which the daemon has had contact with the store without a gap of
// ContactGap.
func (f *Follower) ContactSince() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contactSince
}

// SeenPosition returns the newest position of the store in an answer to this daemon.
func (f *Follower) SeenPosition() core.StorePosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seenPosition
}

// IsReady reports whether the daemon has had confirmed configuration and upstreams.
func (f *Follower) IsReady() bool {
	return f.ready.Load()
}
