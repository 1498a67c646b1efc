package room

import "time"

const (
	// minMargin is the margin of a request in shares of its mean service time, where there is no more
	// work than room. It lets requests wait that will mostly be answered in time, since there may be no
	// better place for them.
	minMargin = 1.5
	// safeDeviations is how many mean deviations of the service time are added to the mean for a margin
	// that about nine in ten requests keep.
	safeDeviations = 2
	// fullPressure is the ratio of work offered to room above which the slots stay in use with the
	// shortest queue, so that any further wait only makes answers late. One request is offered to
	// several upstreams if some refuse it.
	fullPressure = 1.25
)

// Margin returns how long before its target a request has to start, given the mean and mean deviation of
// its service time and the ratio of work offered to room.
func Margin(mean, deviation time.Duration, pressure float64) time.Duration {
	margin := time.Duration(minMargin * float64(mean))
	if pressure >= fullPressure {
		margin = max(margin, mean+safeDeviations*deviation)
	}
	return margin
}
