package admit

import (
	"time"

	"verbenaway/core"
)

// slownessWeight is the weight of the latest report in the mean; about the last 100 reports count.
const slownessWeight = 0.02

// slowness is how many times as long as usual work takes on the host of the upstream, as the upstream
// reports it.
type slowness struct {
	latest     float64
	reportedAt time.Time
	// mean is the mean over the time in which the service times were measured, 0 before the first report.
	mean float64
}

// record adds a report.
func (s *slowness) record(now time.Time, factor float64) {
	if s.mean == 0 {
		s.mean = 1
	}
	s.mean += slownessWeight * (factor - s.mean)
	s.latest, s.reportedAt = factor, now
}

// relative returns the factor by which work takes longer now than when the service times were measured.
// It fades to 1 with the age of the report; 0 means that the upstream reports no slowness.
func (s *slowness) relative(now time.Time) float64 {
	if s.mean == 0 {
		return 0
	}
	age := min(max(now.Sub(s.reportedAt), 0), core.MaxSlownessAge)
	return 1 + (s.latest/s.mean-1)*(1-age.Seconds()/core.MaxSlownessAge.Seconds())
}

// RecordSlowness records how many times as long as usual work takes on the upstream's host; it must be
// above 0.
func (c *Controller) RecordSlowness(now time.Time, factor float64) {
	c.slowness.record(now, factor)
}
