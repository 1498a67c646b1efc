package room

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReturns bounds the failed requests that are remembered, the latest ones.
	maxReturns = 256
	// returnTolerance is the difference between the deadlines of two attempts of a request, since their
	// way from the caller does not always take equally long.
	returnTolerance = 30 * time.Millisecond
)

// Returns recognizes requests that come back after they failed. A caller that tries again asks for the
// same as before until the same deadline, so a request with the key and deadline of a failed one is
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
	key   ReturnKey
	first FirstAttempt
}

// ReturnKey is a hash of what the attempts of a request have in common.
type ReturnKey uint64

// ReturnKeyOf returns the key of a request.
func ReturnKeyOf(method, tenant, host, uri string) ReturnKey {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{method, tenant, host, uri} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(keySeparator)
	}
	return ReturnKey(digest.Sum64())
}

var keySeparator = []byte{0}

// FirstAttempt is what the later attempts of a request are measured by.
type FirstAttempt struct {
	// Start is the arrival of the attempt.
	Start time.Time
	// Deadline is that of the attempt. All later ones are compared with it rather than with each
	// other: otherwise, different requests whose deadlines follow each other closely would be a
	// chain of attempts without end.
	Deadline time.Time
}

// Add remembers a request that failed, with its first attempt.
func (r *Returns) Add(key ReturnKey, first FirstAttempt) {
	if r.base.IsZero() {
		r.base = first.Start.Add(-time.Second)
	}
	r.deadlines[r.next] = first.Deadline.Sub(r.base)
	r.failed[r.next] = failedRequest{
		key:   key,
		first: first,
	}
	r.next = (r.next + 1) % maxReturns
}

// Take returns the first attempt of a request and forgets the failed one; ok is false for a new request.
func (r *Returns) Take(key ReturnKey, deadline time.Time) (first FirstAttempt, ok bool) {
	wanted := deadline.Sub(r.base)
	found, closest := -1, returnTolerance+1
	for i := range r.deadlines {
		off := wanted - r.deadlines[i]
		if off = max(off, -off); off < closest && r.deadlines[i] != 0 && r.failed[i].key == key {
			found, closest = i, off
		}
	}
	if found < 0 {
		return FirstAttempt{}, false
	}
	r.deadlines[found] = 0
	return r.failed[found].first, true
}
