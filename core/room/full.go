package room

import (
	"slices"
	"time"

	"verbenaway/core"
)

const (
	// maxFull bounds the number of upstreams that are remembered as full for a route.
	maxFull = 256
	// fullLife is the time after which one request asks a full upstream again: requests that are
	// canceled and upstreams that start free room before the time that a refusal gave.
	fullLife = time.Second
)

// Full remembers until when the gatekeepers of upstreams expect no room for requests of a route, as
// their refusals say. Requests whose deadline comes sooner do not try these: after a common start of all
// upstreams, say, each of their attempts would only take time from the gatekeepers. Its zero value
// remembers nothing.
type Full struct {
	upstreams map[core.RouteName][]fullUpstream
}

// FullKey holds what the room for a request depends on.
type FullKey struct {
	Route core.RouteName
	// Priority is the rank of the request, lower first.
	Priority int
	// HasBody says that the body may be held back until the link has room for it.
	HasBody bool
}

type fullUpstream struct {
	key   FullKey
	host  core.HostName
	until time.Time
	// askAt is the time from which one request asks the upstream again.
	askAt time.Time
}

// Record records a refusal with the time after which there may be room.
func (f *Full) Record(now time.Time, key FullKey, host core.HostName, roomAfter time.Duration) {
	if f.upstreams == nil {
		f.upstreams = map[core.RouteName][]fullUpstream{}
	}
	upstreams := slices.DeleteFunc(f.upstreams[key.Route], func(u fullUpstream) bool {
		return u.key == key && u.host == host || !now.Before(u.until)
	})
	if len(upstreams) >= maxFull {
		upstreams = slices.Delete(upstreams, 0, 1)
	}
	f.upstreams[key.Route] = append(upstreams, fullUpstream{
		key:   key,
		host:  host,
		until: now.Add(roomAfter),
		askAt: now.Add(fullLife),
	})
}

// Forget forgets what an answer to a request has shown to be over: a request that is as urgent or more, and
// holds back no body unless this one did, may find room too.
func (f *Full) Forget(key FullKey, host core.HostName) {
	upstreams := f.upstreams[key.Route]
	if len(upstreams) == 0 {
		return
	}
	f.upstreams[key.Route] = slices.DeleteFunc(upstreams, func(u fullUpstream) bool {
		return u.host == host && u.key.Priority <= key.Priority && (key.HasBody || !u.key.HasBody)
	})
}

// WithoutRoom appends to hosts those of the upstreams without room for a request within the time that is
// left for it, and returns the shortest time after which one of them may have room. If asks is true, the
// request may be the one that asks one of them again.
func (f *Full) WithoutRoom(now time.Time, key FullKey, left time.Duration, asks bool, hosts []core.HostName) ([]core.HostName, time.Duration) {
	var roomAfter time.Duration
	upstreams := f.upstreams[key.Route]
	for i := range upstreams {
		u := &upstreams[i]
		after := u.until.Sub(now)
		if u.key != key || after <= 0 || after < left {
			continue
		}
		if asks && !now.Before(u.askAt) {
			u.askAt = now.Add(fullLife)
			asks = false
			continue
		}
		hosts = append(hosts, u.host)
		if roomAfter == 0 || after < roomAfter {
			roomAfter = after
		}
	}
	return hosts, roomAfter
}
