package room

import (
	"cmp"
	"time"
)

// Claim is what decides on the place of a waiting request. Requests with the same claim are served in
// the order of their arrival.
type Claim struct {
	// Priority is the rank that the operator gave, lower first.
	Priority int
	// IsLookup puts a request ahead of others with the same priority: lookups are short, and callers
	// that wait for one often hold a slot elsewhere.
	IsLookup bool
	// Target is the time from which an answer is late, zero if there is none.
	Target time.Time
	// Deadline is the time from which an answer is useless.
	Deadline time.Time
	// ServiceTime is the mean time for which such a request occupies a slot.
	ServiceTime time.Duration
	// Margin is the time that has to be left until the target when the request starts.
	Margin time.Duration
}

// LatestStart returns the time until which the request has to start to be answered in time.
func (c *Claim) LatestStart() time.Time {
	return c.Target.Add(-c.Margin)
}

// IsLate reports whether an answer may miss the target.
func (c *Claim) IsLate(now time.Time) bool {
	return !c.Target.IsZero() && now.After(c.LatestStart())
}

// Compare orders requests that wait at a given time, those to be served first before the others: by
// priority, and within a priority those that can still be answered in time. A late answer is worth
// less, and serving one does not make any other late. Among requests in time, the one that has to
// start first is served first, among late ones the one whose deadline is next.
func Compare(now time.Time, a, b *Claim) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	isLate := a.IsLate(now)
	if isLate != b.IsLate(now) {
		return falseFirst(isLate)
	}
	if a.IsLookup != b.IsLookup {
		return falseFirst(b.IsLookup)
	}
	switch {
	case a.Target.IsZero() || b.Target.IsZero():
		return 0
	case isLate:
		return a.Deadline.Compare(b.Deadline)
	}
	return a.LatestStart().Compare(b.LatestStart())
}

// falseFirst orders two different values by that of the first.
func falseFirst(first bool) int {
	if first {
		return 1
	}
	return -1
}
