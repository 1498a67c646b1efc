package room

import "time"

// returnShare is the share of the time left within which callers that were refused come back; many do
// not wait for longer, and later the answer might come after the deadline.
const returnShare = 0.25

// ReturnAfter returns when the caller of a refused request should come back, given when room is expected,
// the time that its answer takes, and the times left until its target and deadline. A caller that can
// still be in time comes back once there is room. Any other one is late anyway: those come back spread
// over the time that they have, so that they do not press on the requests that can be in time, and
// random, from 0 to 1, says where.
func ReturnAfter(roomAfter, answerTime, targetLeft, deadlineLeft time.Duration, random float64) time.Duration {
	latest := time.Duration(returnShare * float64(deadlineLeft))
	if roomAfter+answerTime <= targetLeft || latest <= roomAfter {
		return roomAfter
	}
	return roomAfter + time.Duration(random*float64(latest-roomAfter))
}
