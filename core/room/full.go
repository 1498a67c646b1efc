package room

import (
	"time"

	"verbenaway/core"
)

// maxFull bounds the number of upstreams and routes that are remembered as full.
const maxFull = 4096

// Full remembers until when the gatekeepers of upstreams expect no room for requests of a route, as
// their refusals say. A request whose deadline comes sooner is then refused at once: after a common
// start of all upstreams, say, each of its attempts would only take time from the gatekeepers. Its zero
// value remembers nothing.
type Full struct {
	until map[fullKey]time.Time
}

type fullKey struct {
	route core.RouteName
	host  core.HostName
}

// Record records a refusal with the time after which there may be room.
func (f *Full) Record(now time.Time, route core.RouteName, host core.HostName, roomAfter time.Duration) {
	if f.until == nil || len(f.until) >= maxFull {
		f.until = map[fullKey]time.Time{}
	}
	f.until[fullKey{route: route, host: host}] = now.Add(roomAfter)
}

// RoomAfter returns the time after which an upstream may have room for a request of a route, 0 if it may
// have some now.
func (f *Full) RoomAfter(now time.Time, route core.RouteName, host core.HostName) time.Duration {
	return max(f.until[fullKey{route: route, host: host}].Sub(now), 0)
}
