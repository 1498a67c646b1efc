package admit

import (
	"time"

	"verbenaway/core"
)

// averageWeight is the weight of the latest request in the moving averages; about the last 20
// requests count.
const averageWeight = 0.1

// serviceTimes holds moving averages of how long requests hold a slot.
type serviceTimes struct {
	overall time.Duration
	routes  map[core.RouteName]routeTime
	// failureRatio is the share of the latest requests that failed, from 0 to 1.
	failureRatio float64
}

// routeTime holds moving averages of the service time of one route and of its deviation from the mean.
type routeTime struct {
	mean      time.Duration
	deviation time.Duration
}

func (s *serviceTimes) reset() {
	*s = serviceTimes{}
}

// recordOutcome counts a request in the failure ratio.
func (s *serviceTimes) recordOutcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.failureRatio += averageWeight * (value - s.failureRatio)
}

// recordDuration adds the service time of a finished request.
func (s *serviceTimes) recordDuration(route core.RouteName, taken time.Duration) {
	if s.routes == nil {
		s.routes = map[core.RouteName]routeTime{}
	}
	s.overall = movingAverage(s.overall, taken)
	known := s.routes[route]
	if known.mean > 0 {
		known.deviation += time.Duration(averageWeight * float64((taken-known.mean).Abs()-known.deviation))
	}
	known.mean = movingAverage(known.mean, taken)
	s.routes[route] = known
}

func movingAverage(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(averageWeight*float64(value-mean))
}

// of returns the average of a route, or that of all routes if the route has none yet.
func (s *serviceTimes) of(route core.RouteName) time.Duration {
	if known, ok := s.routes[route]; ok {
		return known.mean
	}
	return s.overall
}

// deviationOf returns the mean deviation of a route's service times, 0 if it has none yet.
func (s *serviceTimes) deviationOf(route core.RouteName) time.Duration {
	return s.routes[route].deviation
}

// prune removes routes that no longer exist.
func (s *serviceTimes) prune(routes map[core.RouteName]core.RouteSpec) {
	for name := range s.routes {
		if _, ok := routes[name]; !ok {
			delete(s.routes, name)
		}
	}
}
