package quota

import (
	"time"

	"verbenaway/core"
)

const (
	// PermitLifetime is how long a permit can be used, counted from the time at which it was asked
	// for. It bounds the requests that follow a decrease of the quota or the end of a granter.
	PermitLifetime = 300 * time.Millisecond
	// minBurstTime is the time for which a granter saves up permits at least, so that a tenant with
	// a small burst gets its rate although its requests arrive at random.
	minBurstTime = 250 * time.Millisecond
	// minSavings is the number of permits that a granter saves up at least, for the same reason.
	minSavings = 2
	// Fence is how long a daemon that takes over from another granter, or learns of the end of a zone,
	// waits before it grants. It is longer than a change takes to reach all daemons that have
	// contact with the store.
	Fence = 2 * time.Second
	// startShare is the part of its rate that a daemon grants within startTime of its start. It cannot
	// know whether it was the granter before.
	startShare = 0.5
	startTime  = 1400 * time.Millisecond
	// extraShare is the part of the overage that is granted in addition to the rate. It makes up for
	// permits that are not used within their lifetime, so that a tenant at its quota gets it.
	extraShare = 0.4
	// startPermits is the number of permits that a granter has at its start, as far as the slack allows.
	startPermits = 1
)

// Bounds are what callers accept beyond a quota: in no time of length Window more requests than
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	// Window is 0 if there are no bounds; then no quota is enforced.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// IsSet reports whether quotas are enforced.
func (b Bounds) IsSet() bool {
	return b.Window > 0
}

// Limit returns the highest number of requests within Window.
func (b Bounds) Limit(spec core.QuotaSpec) float64 {
	return (spec.RequestsPerSecond*b.Window.Seconds()+float64(spec.Burst))*(1+b.Overage) + b.Slack
}

// reserve returns the number of requests within Window that all daemons together may serve without
// permits: what the bounds leave over above the permits that can exist at once.
func (b Bounds) reserve(spec core.QuotaSpec, zones int) int {
	burst := float64(spec.Burst)
	saved := b.savings(spec, zones) - burst
	late := spec.RequestsPerSecond * (PermitLifetime.Seconds() + startShare*startTime.Seconds())
	extra := (b.rate(spec) - spec.RequestsPerSecond) * b.Window.Seconds()
	overage := b.Overage * (spec.RequestsPerSecond*b.Window.Seconds() + burst)
	return max(int(min(overage-extra-saved-late, 0)+b.Slack-b.startLevel(zones)*float64(zones)), 0)
}

// savings is the number of permits that all granters together may save up. It is the burst, but at least
// minSavings in each zone, as far as half of the slack allows.
func (b Bounds) savings(spec core.QuotaSpec, zones int) float64 {
	burst := float64(spec.Burst)
	return max(burst, spec.RequestsPerSecond*minBurstTime.Seconds(), min(minSavings*float64(zones), burst+b.Slack/2), float64(zones))
}

// startLevel is the number of permits that a granter has at its start.
func (b Bounds) startLevel(zones int) float64 {
	return min(startPermits, b.Slack/2/float64(zones))
}

// rate returns the number of permits a second that all granters together hand out. The overage of the
// burst pays for what exceeds the rate.
func (b Bounds) rate(spec core.QuotaSpec) float64 {
	return spec.RequestsPerSecond + extraShare*b.Overage*min(spec.RequestsPerSecond, float64(spec.Burst))
}
