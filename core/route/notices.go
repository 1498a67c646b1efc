package route

import (
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

const (
	// maxNotices bounds the memory for notices. It is above the number of upstreams that an entry uses,
	// even while all of them are replaced; beyond it, the least recent notice is forgotten.
	maxNotices = 4096
	// noticeHold is how long a limit holds on without being named, since not every answer of an upstream
	// may name it.
	noticeHold = time.Second
)

// notices keeps what upstream processes said of themselves in answers that were passed on to callers. It
// is safe for concurrent use.
type notices struct {
	// leavingCount is the number of processes so far that have said that they leave.
	leavingCount atomic.Int64

	mu         sync.RWMutex
	byInstance map[string]notice
}

// notice is what one process said.
type notice struct {
	// ratePerSecond is the number of requests that it takes from all hosts together; valid if hasRate is set.
	ratePerSecond float64
	hasRate       bool
	// isLeaving is never reset: a process that leaves does not come back.
	isLeaving bool
	// at is the time of the latest answer that said so.
	at time.Time
}

// RecordNotice records what a process said of itself in an answer that is passed on.
func (b *Balancer) RecordNotice(now time.Time, instance string, said core.UpstreamNotice) {
	b.notices.record(now, instance, said)
}

// NamedRate returns the number of requests a second that a process takes from all hosts together; ok is
// false if it named no limit.
func (b *Balancer) NamedRate(instance string) (perSecond float64, ok bool) {
	known := b.notices.of(instance)
	return known.ratePerSecond, known.hasRate
}

func (n *notices) of(instance string) notice {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.byInstance[instance]
}

func (n *notices) record(now time.Time, instance string, said core.UpstreamNotice) {
	known := n.of(instance)
	if said == (core.UpstreamNotice{}) && !known.hasRate || instance == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known = n.byInstance[instance]
	switch {
	case said.HasRateLimit:
		known.ratePerSecond, known.hasRate, known.at = said.RateLimit, true, now
	case !said.IsRateLimitInvalid && now.Sub(known.at) >= noticeHold:
		known.hasRate = false
	}
	if said.IsLeaving {
		known.at = now
		if !known.isLeaving {
			known.isLeaving = true
			n.leavingCount.Add(1)
		}
	}
	if !known.hasRate && !known.isLeaving {
		delete(n.byInstance, instance)
		return
	}
	if n.byInstance == nil {
		n.byInstance = map[string]notice{}
	}
	n.byInstance[instance] = known
	if len(n.byInstance) > maxNotices {
		n.forgetOldest()
	}
}

func (n *notices) forgetOldest() {
	var oldest string
	var oldestAt time.Time
	for instance, known := range n.byInstance {
		if oldest == "" || known.at.Before(oldestAt) {
			oldest, oldestAt = instance, known.at
		}
	}
	delete(n.byInstance, oldest)
}
