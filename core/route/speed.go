package route

import (
	"math"
	"sync"
	"time"

	"verbenaway/core"
)

const (
	// routeTimeWeight and usualSlownessWeight are the weights of the latest report in the moving averages.
	routeTimeWeight     = 0.05 // Its inverse is a whole number.
	usualSlownessWeight = 0.1
	// maxUsualSlownessAge is the age at which the usual slowness of an upstream no longer counts. Hosts
	// differ for good, but an upstream that was in trouble has to get requests again.
	maxUsualSlownessAge = 20 * time.Second
	// maxSlowness bounds what one report says: the part beyond it is trouble, not speed.
	maxSlowness = 4.0
)

// routeTimes holds the mean service time of each route over the reports of all upstreams. Its methods
// are safe for concurrent use.
type routeTimes struct {
	mu     sync.Mutex
	routes map[core.RouteName]routeTime
}

type routeTime struct {
	mean time.Duration
	// reports is the number of reports in the mean, at most 1/routeTimeWeight.
	reports int
}

// add adds a report, which is above 0, and returns how it compares with the mean.
func (r *routeTimes) add(route core.RouteName, reported time.Duration) (slowness float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = map[core.RouteName]routeTime{}
	}
	known := r.routes[route]
	// The first reports are averaged: the very first one may come from the slowest upstream.
	known.reports = min(known.reports+1, 1/routeTimeWeight)
	known.mean += (reported - known.mean) / time.Duration(known.reports)
	r.routes[route] = known
	return reported.Seconds() / known.mean.Seconds()
}

// prune removes routes that the snapshot lacks.
func (r *routeTimes) prune(snapshot *core.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.routes {
		if _, ok := snapshot.Routes[name]; !ok {
			delete(r.routes, name)
		}
	}
}

// recordUsualSlowness adds the service time of a report compared with that of other upstreams.
func (u *upstream) recordUsualSlowness(now moment, slowness float64) {
	slowness = min(max(slowness, 1/maxSlowness), maxSlowness)
	usual := u.usualSlowness(now)
	// The first reports are averaged with the assumption that the upstream is like the others.
	weight := max(usualSlownessWeight, 1/float64(u.slownessReports.Add(1)+1))
	u.usualSlownessBits.Store(math.Float64bits(usual + weight*(slowness-usual)))
	u.usualSlownessAt.Store(int64(now))
}

// usualSlowness returns the service time of the upstream compared with others, 1 if unknown.
func (u *upstream) usualSlowness(now moment) float64 {
	at := u.usualSlownessAt.Load()
	if at == 0 {
		return 1
	}
	return 1 + (math.Float64frombits(u.usualSlownessBits.Load())-1)*remaining(now, at, maxUsualSlownessAge)
}

// slowness returns the factor by which work takes longer at this moment than reported as service time.
func (u *upstream) slowness(now moment) float64 {
	reported := math.Float64frombits(u.slownessBits.Load())
	if reported <= 0 {
		return 1
	}
	reported = min(max(reported, 1/maxSlowness), maxSlowness)
	return 1 + (reported-1)*remaining(now, u.loadAt.Load(), core.MaxSlownessAge)
}

// transferTime returns the time that data takes between the upstream's host and another one whose link
// has the given speed: that of the slower link, after the data that is already on the upstream's.
func (u *upstream) transferTime(now moment, bytes, ownRate int64) time.Duration {
	rate := u.linkRate.Load()
	if rate <= 0 || ownRate > 0 && ownRate < rate {
		rate = ownRate
	}
	wait := max(u.linkFreeAt.Load()-int64(now), 0)
	return time.Duration(wait) + transferTime(bytes, rate)
}

// expectedLoad returns the requests in flight including one more, and the limit. Where projectedLoad
// lets the load of other entries fade, the mean of the availability zone takes its place.
func (u *upstream) expectedLoad(now moment, slots int) (inFlight, limit float64) {
	inFlight, limit = u.projectedLoad(now, slots)
	unknown := 1 - remaining(now, u.loadAt.Load(), maxLoadAge)
	return inFlight + unknown*u.zone.mean(now)*limit, limit
}
