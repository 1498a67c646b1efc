package events

import (
	"sync"

	"verbenaway/core"
)

// DefaultCapacity is the default number of events that a daemon keeps.
const DefaultCapacity = 4096

// JournalConfig configures a Journal.
type JournalConfig struct {
	Self  core.Host
	Clock *HybridClock
	// Capacity is the number of events kept, DefaultCapacity if 0.
	Capacity int
	// Sink also receives each event, for example to log it; it may be nil.
	Sink func(core.Event)
}

// Journal keeps the newest events of one daemon. It is safe for concurrent use.
type Journal struct {
	config JournalConfig
	mu     sync.Mutex
	ring   []core.Event
	// recorded is the number of events ever recorded.
	recorded int
}

// NewJournal returns an empty journal.
func NewJournal(config JournalConfig) *Journal {
	if config.Capacity == 0 {
		config.Capacity = DefaultCapacity
	}
	return &Journal{
		config: config,
	}
}

// Record sets time, host and availability zone of an event and stores it. It implements
// core.Journal.
func (j *Journal) Record(event core.Event) {
	j.mu.Lock()
	event.Time = j.config.Clock.Now()
	event.Host = j.config.Self.Name
	event.AvailabilityZone = j.config.Self.AvailabilityZone
	if len(j.ring) < j.config.Capacity {
		j.ring = append(j.ring, event)
	} else {
		j.ring[j.recorded%j.config.Capacity] = event
	}
	j.recorded++
	j.mu.Unlock()
	if j.config.Sink != nil {
		j.config.Sink(event)
	}
}

// Events returns the stored events, oldest first.
func (j *Journal) Events() []core.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.ring) < j.config.Capacity {
		return append([]core.Event(nil), j.ring...)
	}
	oldest := j.recorded % j.config.Capacity
	return append(append([]core.Event(nil), j.ring[oldest:]...), j.ring[:oldest]...)
}
