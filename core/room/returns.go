package room

import "time"

const (
	// maxReturns bounds the failed requests that are remembered, the latest ones.
	maxReturns = 256
	// returnTolerance is the difference between the deadlines of two attempts of a request, since their
	// way from the caller does not always take equally long.
	returnTolerance = 30 * time.Millisecond
)

// Returns recognizes requests that come back after they failed. A caller that tries again asks for the
// same as before until the same deadline, so a request with the path and deadline of a failed one is
// taken for another attempt of it. The zero value remembers none.
type Returns struct {
	// base is the time from which deadlines count, so that a step of the clock does not matter.
	base time.Time
	// deadlines holds the time from base to the deadline of each failed request, apart from the rest
	// because every new request is compared with all of them; 0 once the request has returned.
	deadlines [maxReturns]time.Duration
	failed    [maxReturns]failedRequest
	next      int
}

type failedRequest struct {
	path string
	// first is the arrival of the first attempt.
	first time.Time
}

// Add remembers a request that failed, with the arrival of its first attempt.
func (r *Returns) Add(path string, deadline, first time.Time) {
	if r.base.IsZero() {
		r.base = first.Add(-time.Second)
	}
	r.deadlines[r.next] = deadline.Sub(r.base)
	r.failed[r.next] = failedRequest{
		path:  path,
		first: first,
	}
	r.next = (r.next + 1) % maxReturns
}

// Take returns the arrival of the first attempt of a request and forgets the failed one; ok is false for
// a new request.
func (r *Returns) Take(path string, deadline time.Time) (first time.Time, ok bool) {
	wanted := deadline.Sub(r.base)
	found, closest := -1, returnTolerance+1
	for i := range r.deadlines {
		off := wanted - r.deadlines[i]
		if off = max(off, -off); off < closest && r.deadlines[i] != 0 && r.failed[i].path == path {
			found, closest = i, off
		}
	}
	if found < 0 {
		return time.Time{}, false
	}
	r.deadlines[found] = 0
	return r.failed[found].first, true
}
