package room

import "time"

// maxLinkBacklog is the time for which the bodies of admitted requests may occupy a link. A link
// carries packets in the order in which they were sent, so every short request behind the bodies
// waits that long; the callers with the shortest deadlines, upstreams that run a request
// themselves, give their calls a few hundred milliseconds.
const maxLinkBacklog = 80 * time.Millisecond

// UnknownBodyBytes is the size assumed for bodies without a declared length.
const UnknownBodyBytes = 64 << 10

// Link is the share of a host's link that request bodies may occupy. Its zero value is a link of
// unknown speed, which has room for any body.
type Link struct {
	// BytesPerSecond is the speed of the link, 0 if it is unknown.
	BytesPerSecond float64
	// arriving is the sum of the bodies that were let in and have not arrived yet.
	arriving int64
}

// HasRoom reports whether a body of a size may be sent now. One body may always be on its way.
func (l *Link) HasRoom(bytes int64) bool {
	if bytes == 0 || l.BytesPerSecond <= 0 || l.arriving == 0 {
		return true
	}
	return l.transferTime(l.arriving+bytes) <= maxLinkBacklog
}

// Wait returns the expected time until a body of a size may be sent, if the given number of bytes is
// let in before it.
func (l *Link) Wait(bytes, ahead int64) time.Duration {
	if bytes == 0 || l.BytesPerSecond <= 0 || l.arriving+ahead == 0 {
		return 0
	}
	// A body that exceeds the bound on its own waits until the link is empty.
	return max(l.transferTime(l.arriving+ahead)-max(maxLinkBacklog-l.transferTime(bytes), 0), 0)
}

// Begin counts a body that is let in.
func (l *Link) Begin(bytes int64) {
	l.arriving += bytes
}

// End ends the count of a body that has arrived or whose request has ended.
func (l *Link) End(bytes int64) {
	l.arriving -= bytes
}

func (l *Link) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second))
}
