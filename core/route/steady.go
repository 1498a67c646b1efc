package route

import "time"

// origin anchors the monotonic scale to the wall clock at process start.
var origin = time.Now()

// monotonicNanos returns a time in nanoseconds on a scale that steps of the wall clock do not
// affect. With wall-clock times, a step of two seconds would make all hosts look unresponsive
// or extend their backoff by two seconds.
func monotonicNanos(now time.Time) int64 {
	return origin.UnixNano() + int64(now.Sub(origin))
}
