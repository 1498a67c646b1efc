package room

import (
	"slices"
	"time"
)

const (
	// maxLinkBacklog is the time for which the bodies of admitted requests may occupy a link. A link
	// carries packets in the order in which they were sent, so every short request behind the bodies
	// waits that long; the callers with the shortest deadlines, upstreams that run a request
	// themselves, give their calls a few hundred milliseconds.
	maxLinkBacklog = 80 * time.Millisecond
	// bodyDelay is the time until the first byte of a body that was let in may arrive, and stallFactor
	// how many times longer than it needs a body may take after that. The caller of a slower one does
	// not send at the speed of the link, so that others have room beside it.
	bodyDelay   = 200 * time.Millisecond
	stallFactor = 4
)

// UnknownBodyBytes is the size assumed for bodies without a declared length.
const UnknownBodyBytes = 64 << 10

// Link is the share of a host's link that request bodies may occupy. Its zero value is a link of
// unknown speed, which has room for any body.
type Link struct {
	// BytesPerSecond is the speed of the link, 0 if it is unknown.
	BytesPerSecond float64
	// arriving holds the bodies that were let in and have not arrived yet.
	arriving []*Body
}

// Body is a body on its way over a link.
type Body struct {
	bytes int64
	// until is the time from which the body no longer counts.
	until time.Time
}

// HasRoom reports whether a body of a size may be sent now. One body may always be on its way.
func (l *Link) HasRoom(now time.Time, bytes int64) bool {
	if bytes == 0 || l.BytesPerSecond <= 0 {
		return true
	}
	arriving := l.arrivingBytes(now)
	return arriving == 0 || l.transferTime(arriving+bytes) <= maxLinkBacklog
}

// Wait returns the expected time until a body of a size may be sent, if the given number of bytes is
// let in before it.
func (l *Link) Wait(now time.Time, bytes, ahead int64) time.Duration {
	if bytes == 0 || l.BytesPerSecond <= 0 {
		return 0
	}
	// A body that exceeds the bound on its own waits until the link is empty.
	return max(l.transferTime(l.arrivingBytes(now)+ahead)-max(maxLinkBacklog-l.transferTime(bytes), 0), 0)
}

// Begin counts a body that is let in; it returns nil if there is nothing to count.
func (l *Link) Begin(now time.Time, bytes int64) *Body {
	if bytes == 0 || l.BytesPerSecond <= 0 {
		return nil
	}
	body := &Body{
		bytes: bytes,
		until: now.Add(bodyDelay + stallFactor*l.transferTime(l.arrivingBytes(now)+bytes)),
	}
	l.arriving = append(l.arriving, body)
	return body
}

// Abort ends the count of a body whose request has ended before it arrived. What its sender has sent
// already is still on the link.
func (l *Link) Abort(now time.Time, body *Body) {
	if sent := now.Add(l.transferTime(l.arrivingBytes(now))); sent.Before(body.until) {
		body.until = sent
	}
}

// End ends the count of a body that has arrived.
func (l *Link) End(body *Body) {
	l.arriving = slices.DeleteFunc(l.arriving, func(other *Body) bool { return other == body })
}

// NextRoom returns the time at which a body that takes too long gives up its room, zero if none is on
// its way.
func (l *Link) NextRoom() time.Time {
	var next time.Time
	for _, body := range l.arriving {
		if next.IsZero() || body.until.Before(next) {
			next = body.until
		}
	}
	return next
}

func (l *Link) arrivingBytes(now time.Time) int64 {
	l.arriving = slices.DeleteFunc(l.arriving, func(body *Body) bool { return !now.Before(body.until) })
	var bytes int64
	for _, body := range l.arriving {
		bytes += body.bytes
	}
	return bytes
}

func (l *Link) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second))
}
