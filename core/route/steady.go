package route

import "time"

// origin relates the steady clock to the time of day once.
var origin = time.Now()

// steady returns a time in nanoseconds on a scale that steps of the time of day do not move:
// after a step of two seconds all hosts would look silent, or passed over for two seconds
// more.
func steady(now time.Time) int64 {
	return origin.UnixNano() + int64(now.Sub(origin))
}
