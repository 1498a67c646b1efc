package route

import "time"

// origin anchors the monotonic scale to the wall clock at process start.
var origin = time.Now()

// moment is a time in nanoseconds on a scale that steps of the wall clock do not affect. With
// wall-clock times, a step of two seconds would make all hosts look unresponsive or extend their
// backoff by two seconds.
type moment int64

func momentOf(now time.Time) moment {
	return moment(origin.UnixNano() + int64(now.Sub(origin)))
}

// add returns the moment after a time.
func (m moment) add(d time.Duration) moment {
	return m + moment(d)
}
