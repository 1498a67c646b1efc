package admit

import (
	"time"

	"verbenaway/core"
)

// An unannounced cold start shows as a rise of latency: consecutive answers take several times
// as long as usual on their routes. A single slow answer, or several that waited for the same
// pause, must not count, so a streak has to be long and its requests must have started over a
// span of time. minSlowExcess keeps the scheduling delays of a busy machine from counting on fast
// routes. The values trade the time to detection against false detections, which cost a warm-up.
const (
	slowFactor         = 5
	minSlowExcess      = 20 * time.Millisecond
	minSlowAnswers     = 32
	minSlowSpan        = 500 * time.Millisecond
	minBaselineAnswers = 64
)

// latencyBaseline is the usual time to the first byte of an answer on one route.
type latencyBaseline struct {
	mean    float64 // in nanoseconds
	answers int
}

// latencyDetector detects a sudden rise of latency while the upstream is warm.
type latencyDetector struct {
	routes map[core.RouteName]*latencyBaseline
	// streak counts consecutive slow answers; first is the earliest start of their requests.
	streak int
	first  time.Time
}

func (d *latencyDetector) resetStreak() {
	d.streak = 0
}

// resetBaselines discards the usual latencies, so that a permanently slower service causes only
// one drop of the limit.
func (d *latencyDetector) resetBaselines() {
	d.routes = nil
}

// observe returns true once the streak of slow answers is long enough.
func (d *latencyDetector) observe(now, startedAt time.Time, route core.RouteName) bool {
	if d.routes == nil {
		d.routes = map[core.RouteName]*latencyBaseline{}
	}
	baseline := d.routes[route]
	if baseline == nil {
		baseline = &latencyBaseline{}
		d.routes[route] = baseline
	}
	taken := float64(now.Sub(startedAt))
	isSlow := baseline.answers >= minBaselineAnswers && taken > slowFactor*baseline.mean+float64(minSlowExcess)
	if !isSlow {
		d.streak = 0
		baseline.answers = min(baseline.answers+1, minBaselineAnswers)
		baseline.mean += (taken - baseline.mean) / float64(baseline.answers)
		return false
	}
	if d.streak == 0 || startedAt.Before(d.first) {
		d.first = startedAt
	}
	d.streak++
	return d.streak >= minSlowAnswers && startedAt.Sub(d.first) >= minSlowSpan
}

func (r *ramp) observeLatency(now, startedAt time.Time, route core.RouteName) {
	if r.level < float64(r.service.Slots) {
		// The latency of a cold upstream must not enter the baseline.
		return
	}
	if r.latency.observe(now, startedAt, route) {
		r.dropToCold("the latency rose as in a cold start")
		r.latency.resetBaselines()
	}
}
