package proxy

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"verbenaway/core"
)

// refusalWindow is the time in which refusals of one kind are combined into one event.
const refusalWindow = time.Second

// EntryCounters holds counters since the start of an entry. They are expvar variables that the
// owner of the entry publishes under names of its choice.
type EntryCounters struct {
	// Requests counts the requests of callers, Attempts the attempts sent to gatekeepers.
	Requests expvar.Int
	Attempts expvar.Int
	// Returned counts the requests that their callers had tried before.
	Returned expvar.Int
	// Answers counts the complete answers of upstreams, Aborted the incomplete ones.
	Answers expvar.Int
	Aborted expvar.Int
	// LocalAttempts counts the attempts sent to the gatekeeper in the same process.
	LocalAttempts expvar.Int
	// Probes counts the probes of hosts that seem unresponsive.
	Probes expvar.Int
	// OtherRegionBytes counts the request bytes that were sent to other regions.
	OtherRegionBytes expvar.Int
	// Refusals counts refusals by kind.
	Refusals *expvar.Map
}

// refusalLog counts refusals and records one event per kind and refusalWindow.
type refusalLog struct {
	config   *EntryConfig
	counters *EntryCounters
	mu       sync.Mutex
	pending  map[core.ErrorKind]*pendingRefusals
}

type pendingRefusals struct {
	count  int
	detail string
	timer  *time.Timer
}

func newRefusalLog(config *EntryConfig, counters *EntryCounters) *refusalLog {
	return &refusalLog{
		config:   config,
		counters: counters,
		pending:  map[core.ErrorKind]*pendingRefusals{},
	}
}

// add counts one refusal. The first of a kind starts a window, and all refusals of the kind in it
// are recorded at its end.
func (l *refusalLog) add(kind core.ErrorKind, detail string) {
	l.counters.Refusals.Add(string(kind), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending, ok := l.pending[kind]; ok {
		pending.count++
		return
	}
	l.pending[kind] = &pendingRefusals{
		count:  1,
		detail: detail,
		timer: time.AfterFunc(refusalWindow, func() {
			l.record(kind)
		}),
	}
}

// record ends the window of one kind and records its event.
func (l *refusalLog) record(kind core.ErrorKind) {
	l.mu.Lock()
	pending, ok := l.pending[kind]
	delete(l.pending, kind)
	l.mu.Unlock()
	if !ok {
		return
	}
	pending.timer.Stop()
	l.config.Journal.Record(core.Event{
		Host:             l.config.Self.Name,
		AvailabilityZone: l.config.Self.AvailabilityZone,
		Kind:             core.EventRequestRefused,
		Subject:          string(kind),
		Detail:           strconv.Itoa(pending.count) + " refused, the first: " + pending.detail,
	})
}

// flush ends all windows.
func (l *refusalLog) flush() {
	for _, info := range core.ErrorKinds {
		l.record(info.Kind)
	}
}
