package proxy

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// GateCounters holds the counters of a gatekeeper since its start.
type GateCounters struct {
	// Requests counts all requests, Admitted those that got a slot.
	Requests expvar.Int
	Admitted expvar.Int
	// Sent counts the requests that were passed on to the upstream, also those that it refused.
	Sent expvar.Int
	// Answered counts complete answers of the upstream, Aborted those that broke off.
	Answered expvar.Int
	Aborted  expvar.Int
	// Joined counts duplicates that got the answer of another request.
	Joined expvar.Int
	// Delegated counts requests with a claimed key that were sent to another upstream.
	Delegated expvar.Int
	// Replayed counts idempotent requests that net/http sent again on a new connection.
	Replayed expvar.Int
	// HealthChecks counts the health checks of the upstream.
	HealthChecks expvar.Int
	// Probes counts the probes of entries.
	Probes expvar.Int
	// Refused counts refusals by error kind.
	Refused expvar.Map
	// Waits counts the requests that got a slot after a wait, by priority, and WaitedMs sums up their
	// waits.
	Waits    expvar.Map
	WaitedMs expvar.Map
}

// gateRefusals aggregates refusals into one event per kind and second.
type gateRefusals struct {
	record func(kind core.EventKind, subject, detail string)

	mu     sync.Mutex
	counts map[core.ErrorKind]int
	timer  *time.Timer
}

// add counts a refusal. The first one starts a timer that records the counts after one second.
func (r *gateRefusals) add(kind core.ErrorKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[core.ErrorKind]int{}
	}
	r.counts[kind]++
	if r.timer == nil {
		r.timer = time.AfterFunc(time.Second, r.flush)
	}
}

// flush records the counted refusals as events.
func (r *gateRefusals) flush() {
	r.mu.Lock()
	counts := r.counts
	r.counts = nil
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	r.mu.Unlock()
	for kind, count := range counts {
		r.record(core.EventRequestRefused, string(kind), strconv.Itoa(count)+" requests")
	}
}

// recordRamp records a change of the upstream's limit in the journal.
func (g *Gate) recordRamp(change admit.RampChange) {
	g.record(core.EventRampChanged, string(g.config.Self.Service),
		fmt.Sprintf("limit %d of %d, was %d: %s", change.Limit, change.Slots, change.Before, change.Reason))
}
