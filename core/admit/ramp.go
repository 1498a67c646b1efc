package admit

import (
	"time"

	"verbenaway/core"
)

// Signal is what an upstream showed while it ran a request.
type Signal int

// The signals.
const (
	// SignalNone says nothing about the state of the upstream.
	SignalNone Signal = iota
	// SignalAnswered is the start of an answer.
	SignalAnswered
	// SignalFailed is the start of an answer that tells of a failure of the upstream.
	SignalFailed
	// SignalShed is an answer that refuses the request because of load.
	SignalShed
	// SignalRefused is a connection that could not be opened.
	SignalRefused
	// SignalReset is a connection that ended before its answer was complete.
	SignalReset
)

// RampChange is a change of the limit that is worth an event.
type RampChange struct {
	Before int
	Limit  int
	Slots  int
	Reason string
}

// ramp is the limit of an upstream during and after its cold start.
//
// A successful answer raises the level by the slope (slots-coldSlots)/warmUp times the time
// since the answer before it, but by at most one slot. So the way from coldSlots to slots
// takes at least warmUp, and idle time, which warms no upstream, does not count.
type ramp struct {
	service core.ServiceSpec
	// level is from ColdSlots to Slots; its whole part is the limit.
	level float64
	// raised is the time of the last counted answer, zero before the first since a fall.
	raised time.Time
	// epoch changes with each fall; answers to requests of an earlier epoch say nothing
	// about the present state.
	epoch  uint64
	bootID string
	slow   slowness
	// isDoubted holds the limit at ColdSlots until an answer to a request of the present
	// doubt confirms the boot id.
	isDoubted bool
	doubts    uint64

	isChanged bool
	change    RampChange
}

func (r *ramp) limit() int {
	if r.isDoubted {
		return min(int(r.level), r.service.ColdSlots)
	}
	return int(r.level)
}

func (r *ramp) doubt() {
	r.isDoubted = true
	r.doubts++
}

// confirm ends the doubt if an answer shows that the upstream still is the same process.
func (r *ramp) confirm(bootID string, doubts uint64) {
	if !r.isDoubted || doubts != r.doubts {
		return
	}
	if bootID == "" {
		r.fall("a lost connection may mean a restart, and the upstream reports no boot id")
		return
	}
	r.isDoubted = false
}

// configure keeps the level where the new bounds allow it.
func (r *ramp) configure(service core.ServiceSpec) {
	before := r.service
	r.service = service
	r.level = min(max(r.level, float64(service.ColdSlots)), float64(service.Slots))
	if service.Slots != before.Slots || service.ColdSlots != before.ColdSlots {
		r.note(before.Slots, "the service was configured")
	}
}

func (r *ramp) succeed(now time.Time) {
	slots := float64(r.service.Slots)
	if r.level >= slots {
		return
	}
	last := r.raised
	r.raised = now
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
		r.note(before, "the upstream is warm")
	}
}

// fall returns to the limit of a cold start.
func (r *ramp) fall(reason string) {
	// A doubt may hold the limit down already; the event tells of the level.
	before := int(r.level)
	r.level = float64(r.service.ColdSlots)
	r.raised = time.Time{}
	r.epoch++
	r.isDoubted = false
	r.slow.reset()
	if before != r.limit() {
		r.note(before, reason)
	}
}

func (r *ramp) observeBoot(bootID string) {
	if bootID == "" || bootID == r.bootID {
		return
	}
	isFirst := r.bootID == ""
	r.bootID = bootID
	if !isFirst {
		r.fall("the upstream restarted")
	}
}

func (r *ramp) note(before int, reason string) {
	r.isChanged = true
	r.change = RampChange{
		Before: before,
		Limit:  r.limit(),
		Slots:  r.service.Slots,
		Reason: reason,
	}
}
