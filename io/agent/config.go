package agent

import (
	"math/rand/v2"
	"time"

	"verbenaway/core"
	"verbenaway/core/member"
	"verbenaway/core/spread"
)

// Config configures an Agent.
type Config struct {
	Self core.Host
	// Seeds are peer addresses that are contacted at start, except the daemon's own.
	Seeds   []string
	Store   core.Store
	Peers   core.PeerClient
	Journal core.Journal
	Clock   core.Clock
	// Random seeds the random sources of the state machines.
	Random *rand.Rand
	// Way defaults to spread.WayVerbenaway.
	Way spread.Way
	// Timestamp returns the timeline timestamp for outgoing digests, and ObserveTimestamp
	// receives that of incoming ones. Both may be nil.
	Timestamp        func() core.Timestamp
	ObserveTimestamp func(core.Timestamp)
	// Spread and Member override timings; zero fields take the defaults.
	Spread  spread.Timings
	Member  member.Config
	Timings Timings
}

// Timings are the intervals and timeouts of the agent. Zero fields take their defaults.
type Timings struct {
	// Tick is the interval between ticks of the state machines: 200 ms.
	Tick time.Duration
	// PauseThreshold is the time without a loop iteration after which the view is suspect: 2 s.
	PauseThreshold time.Duration
	// ExchangeTimeout bounds exchanges and probes: 1 s.
	ExchangeTimeout time.Duration
	// PushTimeout bounds pushes: 400 ms. It is short, because the parent takes over the children
	// only after it.
	PushTimeout time.Duration
	// PullTimeout bounds pulls, whose answer may hold a snapshot: 5 s.
	PullTimeout time.Duration
	// StoreTimeout is the time that a store read may take beyond its wait: 2 s.
	StoreTimeout time.Duration
	// LeaveTimeout bounds the announcement of the exit: 500 ms.
	LeaveTimeout time.Duration
}

func (t Timings) withDefaults() Timings {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.Tick, 200*time.Millisecond)
	set(&t.PauseThreshold, 2*time.Second)
	set(&t.ExchangeTimeout, time.Second)
	set(&t.PushTimeout, 400*time.Millisecond)
	set(&t.PullTimeout, 5*time.Second)
	set(&t.StoreTimeout, 2*time.Second)
	set(&t.LeaveTimeout, 500*time.Millisecond)
	return t
}

const (
	// inboxSize keeps senders from blocking while the loop handles a burst.
	inboxSize = 256
	// maxPeerJobs, maxProbeJobs and maxStoreJobs bound the goroutines that wait for peers and for
	// the store. One probe per second with two indirect probes takes about 8 of the probe slots.
	maxPeerJobs  = 128
	maxProbeJobs = 32
	maxStoreJobs = 8
	// maxEncodeJobs bounds the snapshot pulls that are served concurrently.
	maxEncodeJobs = 8
)
