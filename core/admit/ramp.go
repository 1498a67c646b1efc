package admit

import (
	"time"

	"verbenaway/core"
)

// Signal is an observation of the upstream while it ran a request.
type Signal int

// The signals.
const (
	// SignalNone says nothing about the state of the upstream.
	SignalNone Signal = iota
	// SignalAnswered is the start of an answer.
	SignalAnswered
	// SignalFailed is the start of an answer that reports a failure of the upstream.
	SignalFailed
	// SignalShed is an answer that refuses the request because of load.
	SignalShed
	// SignalRefused is a connection that could not be opened.
	SignalRefused
	// SignalReset is a connection that ended before its answer was complete.
	SignalReset
)

// RampChange is a change of the concurrency limit that is to be recorded as an event.
type RampChange struct {
	Before int
	Limit  int
	Slots  int
	Reason string
}

// ramp is the concurrency limit of an upstream during and after its cold start.
//
// A successful answer raises the level by the slope (slots-coldSlots)/warmUp times the time
// since the previous answer, but by at most one slot. The rise from coldSlots to slots thus
// takes at least warmUp, and idle time, which warms no upstream, counts for one slot at most.
type ramp struct {
	service core.ServiceSpec
	// level is from ColdSlots to Slots; its whole part is the limit.
	level float64
	// lastSuccess is the time of the last counted answer, zero at the beginning of an epoch.
	lastSuccess time.Time
	// epoch changes with each drop to the cold limit; answers to requests of an earlier epoch
	// say nothing about the present state.
	epoch   uint64
	bootID  string
	latency latencyDetector
	// isSuspect means a suspected restart: the limit stays at ColdSlots until an answer to a
	// request started since then confirms the boot id. suspicion counts the suspected restarts.
	isSuspect bool
	suspicion uint64

	isChanged bool
	change    RampChange
}

func (r *ramp) limit() int {
	if r.isSuspect {
		return min(int(r.level), r.service.ColdSlots)
	}
	return int(r.level)
}

func (r *ramp) suspectRestart() {
	r.isSuspect = true
	r.suspicion++
}

// confirmBoot ends the suspicion of a restart if an answer shows that the upstream still is the
// same process.
func (r *ramp) confirmBoot(bootID string, suspicion uint64) {
	if !r.isSuspect || suspicion != r.suspicion {
		return
	}
	if bootID == "" {
		r.dropToCold("a lost connection may mean a restart, and the upstream reports no boot id")
		return
	}
	r.isSuspect = false
}

// configure applies a service spec and keeps the level within the new bounds.
func (r *ramp) configure(service core.ServiceSpec) {
	before := r.service
	r.service = service
	r.level = min(max(r.level, float64(service.ColdSlots)), float64(service.Slots))
	if service.Slots != before.Slots || service.ColdSlots != before.ColdSlots {
		r.setChange(before.Slots, "the service configuration changed")
	}
}

// observeSuccess raises the level after a complete answer.
func (r *ramp) observeSuccess(now time.Time) {
	slots := float64(r.service.Slots)
	if r.level >= slots {
		return
	}
	last := r.lastSuccess
	r.lastSuccess = now
	if last.IsZero() {
		return
	}
	span := slots - float64(r.service.ColdSlots)
	step := 1.0
	if warmUp := time.Duration(r.service.WarmUp); warmUp > 0 {
		step = min(step, span*float64(now.Sub(last))/float64(warmUp))
	}
	before := r.limit()
	r.level = min(r.level+max(step, 0), slots)
	if r.level >= slots {
		r.setChange(before, "the upstream is warm")
	}
}

// dropToCold reduces the limit to that of a cold start and begins a new epoch.
func (r *ramp) dropToCold(reason string) {
	// A suspected restart may have reduced the limit already; the change reports the level.
	before := int(r.level)
	r.level = float64(r.service.ColdSlots)
	r.lastSuccess = time.Time{}
	r.epoch++
	r.isSuspect = false
	r.latency.resetStreak()
	if before != r.limit() {
		r.setChange(before, reason)
	}
}

func (r *ramp) observeBoot(bootID string) {
	if bootID == "" || bootID == r.bootID {
		return
	}
	isFirst := r.bootID == ""
	r.bootID = bootID
	if !isFirst {
		r.dropToCold("the upstream restarted")
	}
}

func (r *ramp) setChange(before int, reason string) {
	r.isChanged = true
	r.change = RampChange{
		Before: before,
		Limit:  r.limit(),
		Slots:  r.service.Slots,
		Reason: reason,
	}
}
