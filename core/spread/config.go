package spread

import (
	"math/rand/v2"
	"time"

	"verbenaway/core"
)

// Way selects how versions are distributed to the daemons.
type Way string

// In WayDirectWatch, the baseline for comparisons, every daemon watches the store.
const (
	WayVerbenaway  Way = "verbenaway"
	WayDirectWatch Way = "directWatch"
)

const (
	// fanOut is the number of children of a node of the push tree.
	fanOut = 8
	// permanentReaders is the number of reader ranks that always watch the store.
	permanentReaders = 2
	// maxReaders is the number of reader ranks that may watch the store. It bounds the store
	// operations of a region.
	maxReaders = 6
	// maxInlineBytes is the size above which a push carries the version without its slices.
	maxInlineBytes = 64 << 10
	// maxSliceLag is the number of missing notes above which a pull returns a snapshot.
	maxSliceLag = 64
	// maxRecentSlices and maxRecentBytes bound the slices kept for pulls. The bound in
	// bytes keeps the process within its 64 MB when notes are large.
	maxRecentSlices = 256
	maxRecentBytes  = 8 << 20
	// maxBufferedSlices and maxBufferedBytes bound the slices that wait for a missing earlier one.
	maxBufferedSlices = 64
	maxBufferedBytes  = 4 << 20
	// pullAnswerBytes is the size at which a pull answer takes no further slice.
	pullAnswerBytes = 1 << 20
	// maxFoldBatch bounds the notes folded per store result, so that the event loop stays
	// responsive while a reader catches up.
	maxFoldBatch = 100
	// maxPollsPerSecond bounds the polls of a whole fleet in which each daemon sees no other.
	// A poll takes up to three of the store's 2,000 operations per second.
	maxPollsPerSecond = 500
	// floorPeers is the number of peers that are asked for their version at start and after
	// a pause.
	floorPeers = 3
)

// Config configures a Machine.
type Config struct {
	Self core.Host
	// Seeds are peer addresses that are contacted at start.
	Seeds  []string
	Random *rand.Rand
	// Way defaults to WayVerbenaway.
	Way Way
	// Timings that are zero get their defaults.
	Timings Timings
}

// Timings are the intervals and delays of a Machine, with their defaults.
type Timings struct {
	// ReaderAgeStep times the rank of a daemon is the reader age above which it starts to
	// read: 1 s.
	ReaderAgeStep time.Duration
	// WatchWait is the long-poll time of a watch: 1 s. It bounds the reader age of a healthy
	// region and the time until a rollback is detected. A parked watch costs one operation
	// per second whatever its length.
	WatchWait time.Duration
	// HostsWatchWait is the long-poll time of a watch of the host list: 5 s.
	HostsWatchWait time.Duration
	// ExchangeInterval is the time between anti-entropy digest exchanges: 5 s.
	ExchangeInterval time.Duration
	// PullDelay is how long a pull of a newer version waits for a push: 250 ms.
	PullDelay time.Duration
	// RegionPullDelay is how long a pull from another region waits for the readers of the
	// local region to deliver the version: 3 s.
	RegionPullDelay time.Duration
	// StartDelay bounds the random delay of the first store read: 5 s.
	StartDelay time.Duration
	// FloorWait is the time after which fewer peers than required, or the store alone if no
	// peer is ready, decide the version floor: 3 s.
	FloorWait time.Duration
	// IsolatedInterval is the minimum time between polls of a daemon without peers: 10 s.
	IsolatedInterval time.Duration
	// BackoffBase and BackoffMax bound the full jitter after a failed read: 200 ms and 4 s.
	// The maximum leaves two thirds of the 12 s convergence bound after an outage.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// RoleLossDelay is how long a daemon keeps reading after it lost its rank: 5 s. Without
	// it one false suspicion would discard and rebuild the full configuration.
	RoleLossDelay time.Duration
}

func (t Timings) withDefaults() Timings {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.ReaderAgeStep, time.Second)
	set(&t.WatchWait, time.Second)
	set(&t.HostsWatchWait, 5*time.Second)
	set(&t.ExchangeInterval, 5*time.Second)
	set(&t.PullDelay, 250*time.Millisecond)
	set(&t.RegionPullDelay, 3*time.Second)
	set(&t.StartDelay, 5*time.Second)
	set(&t.FloorWait, 3*time.Second)
	set(&t.IsolatedInterval, 10*time.Second)
	set(&t.BackoffBase, 200*time.Millisecond)
	set(&t.BackoffMax, 4*time.Second)
	set(&t.RoleLossDelay, 5*time.Second)
	return t
}
