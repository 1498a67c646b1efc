package reach

import (
	"sync"
	"time"
)

const (
	// DefaultSilence is above what a daemon that follows another one waits for an answer and
	// for a connection to the next one, 0.95 s.
	DefaultSilence = 1500 * time.Millisecond
	// leastOthers is the number of other daemons without which nothing can be told: a single
	// one may itself be gone.
	leastOthers = 2
)

// Config configures a Monitor.
type Config struct {
	// Silence is how long no other daemon was reached until this one counts as cut off; 0 means
	// DefaultSilence.
	Silence time.Duration
}

// Monitor notes when another daemon was reached last. Its methods may be called from many
// goroutines.
type Monitor struct {
	config Config

	mu sync.Mutex
	// reachedAt is zero until another daemon was reached for the first time.
	reachedAt time.Time
	isCutOff  bool
}

// New returns a monitor of a daemon that has reached nobody yet.
func New(config Config) *Monitor {
	if config.Silence <= 0 {
		config.Silence = DefaultSilence
	}
	return &Monitor{
		config: config,
	}
}

// Reached notes that another daemon answered or asked.
func (m *Monitor) Reached(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.After(m.reachedAt) {
		m.reachedAt = now
	}
}

// Look tells whether the daemon is cut off, given the number of other daemons that should be
// there, whether that has changed since the last look, and for how long nobody was reached. A
// daemon that has not reached anybody since its start is not cut off: the others may be about
// to start too.
func (m *Monitor) Look(now time.Time, others int) (isCutOff, isChanged bool, silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reachedAt.IsZero() {
		silence = now.Sub(m.reachedAt)
	}
	before := m.isCutOff
	m.isCutOff = others >= leastOthers && silence > m.config.Silence
	return m.isCutOff, m.isCutOff != before, silence
}
