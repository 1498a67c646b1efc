package route

import (
	"sync/atomic"
	"time"
)

// LinkQueue estimates how long data that is sent now waits behind earlier data on the link of a host. The
// send buffers of the connections hide this time from the sender. It is safe for concurrent use.
type LinkQueue struct {
	// rate is in bytes per second, 0 if unknown.
	rate int64
	// freeAt is when the data so far has left, on the monotonic scale. It is allocated so that a LinkQueue can
	// be copied.
	freeAt *atomic.Int64
}

// NewLinkQueue returns the queue of a link of the given speed in bytes per second, 0 if it is unknown.
func NewLinkQueue(bytesPerSecond int64) LinkQueue {
	return LinkQueue{
		rate:   bytesPerSecond,
		freeAt: &atomic.Int64{},
	}
}

// Rate returns the speed in bytes per second, 0 if it is unknown.
func (l *LinkQueue) Rate() int64 {
	return l.rate
}

// Add records data that is sent now. A negative size means that it is unknown and is not counted.
func (l *LinkQueue) Add(now time.Time, bytes int64) {
	if l.rate <= 0 || bytes <= 0 {
		return
	}
	taken := int64(transferTime(bytes, l.rate))
	for {
		before := l.freeAt.Load()
		if l.freeAt.CompareAndSwap(before, max(before, int64(momentOf(now)))+taken) {
			return
		}
	}
}

// Wait returns how long data that is sent now waits for the earlier data.
func (l *LinkQueue) Wait(now time.Time) time.Duration {
	return time.Duration(max(l.freeAt.Load()-int64(momentOf(now)), 0))
}

// transferTime returns how long bytes take on a link of the given speed in bytes per second; 0 if the
// speed is unknown.
func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}
