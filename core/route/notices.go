package route

import "time"

const (
	// maxNotices bounds the memory for notices. It is far above the number of upstreams in trouble at
	// once; beyond it, the one that was renewed least recently is forgotten.
	maxNotices = 1024
	// noticeHold is how long a limit holds on without being named, since not every answer of an upstream
	// may name it.
	noticeHold = time.Second
)

// Notices keeps what upstream processes said of themselves in answers that were passed on to callers. It
// is not safe for concurrent use.
type Notices struct {
	byInstance map[string]notice
}

// notice is what one process said.
type notice struct {
	// ratePerSecond is the number of requests that it takes from all hosts together.
	ratePerSecond float64
	at            time.Time
}

// RecordRate records an answer of a process that takes a number of requests a second.
func (n *Notices) RecordRate(now time.Time, instance string, perSecond float64) {
	if n.byInstance == nil {
		n.byInstance = map[string]notice{}
	}
	n.byInstance[instance] = notice{
		ratePerSecond: perSecond,
		at:            now,
	}
	if len(n.byInstance) > maxNotices {
		n.forgetOldest()
	}
}

// RecordNoRate records an answer of a process that names no limit.
func (n *Notices) RecordNoRate(now time.Time, instance string) {
	if known, ok := n.byInstance[instance]; ok && now.Sub(known.at) >= noticeHold {
		delete(n.byInstance, instance)
	}
}

// Rate returns the number of requests a second that a process takes; ok is false if it named no limit.
func (n *Notices) Rate(instance string) (perSecond float64, ok bool) {
	known, ok := n.byInstance[instance]
	return known.ratePerSecond, ok
}

func (n *Notices) forgetOldest() {
	var oldest string
	var oldestAt time.Time
	for instance, known := range n.byInstance {
		if oldest == "" || known.at.Before(oldestAt) {
			oldest, oldestAt = instance, known.at
		}
	}
	delete(n.byInstance, oldest)
}
