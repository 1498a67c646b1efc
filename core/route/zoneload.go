package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// zoneLoadWeight is the weight of the latest report in the mean utilization of a zone.
	zoneLoadWeight = 0.2
	// maxZoneLoadAge is the age at which the mean utilization of a zone no longer counts. The load of a
	// zone changes more slowly than that of one upstream.
	maxZoneLoadAge = 4 * time.Second
	// maxZoneUtilization bounds the part of a single report, such as that of an upstream in trouble.
	maxZoneUtilization = 2.0
)

// zoneLoad is the mean utilization that the upstreams of a service in one availability zone reported. It
// is assumed for those without a recent report: otherwise they would look empty, and each entry would
// send its requests to one full upstream after the other during a wave of load.
type zoneLoad struct {
	utilizationBits atomic.Uint64
	reportedAt      atomic.Int64
}

// record adds the utilization of one upstream. Of simultaneous reports, one may be lost to the mean.
func (z *zoneLoad) record(now moment, utilization float64) {
	utilization = min(utilization, maxZoneUtilization)
	if mean := z.mean(now); mean > 0 {
		utilization = mean + zoneLoadWeight*(utilization-mean)
	}
	z.utilizationBits.Store(math.Float64bits(utilization))
	z.reportedAt.Store(int64(now))
}

// mean returns the mean utilization, which fades over maxZoneLoadAge.
func (z *zoneLoad) mean(now moment) float64 {
	at := z.reportedAt.Load()
	if at == 0 {
		return 0
	}
	return math.Float64frombits(z.utilizationBits.Load()) * remaining(now, at, maxZoneLoadAge)
}

// remaining returns which share of a report from a time on the monotonic scale still counts, if it fades
// over maxAge.
func remaining(now moment, at int64, maxAge time.Duration) float64 {
	age := int64(now) - at
	if age < 0 || age >= int64(maxAge) {
		return 0
	}
	return 1 - float64(age)/float64(maxAge)
}
