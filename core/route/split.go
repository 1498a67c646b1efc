package route

import (
	"math"
	"sync/atomic"

	"verbenaway/core"
)

// splitter divides the requests of a route between services.
type splitter struct {
	parts []core.SplitSpec
	total int
	next  atomic.Uint64
}

// goldenStep is the golden ratio as a fraction of 2^64. Multiples of it are spread evenly, so
// that any run of requests keeps the shares better than random draws.
const goldenStep = 0x9e3779b97f4a7c15

func newSplitter(parts []core.SplitSpec) *splitter {
	s := &splitter{
		parts: parts,
	}
	for _, part := range parts {
		s.total += max(part.Weight, 0)
	}
	return s
}

// choose returns the service of the next request.
func (s *splitter) choose() core.ServiceName {
	if s.total == 0 {
		return s.parts[0].Service
	}
	point := float64(s.next.Add(goldenStep)) / math.MaxUint64 * float64(s.total)
	for _, part := range s.parts {
		point -= float64(max(part.Weight, 0))
		if point < 0 {
			return part.Service
		}
	}
	return s.parts[len(s.parts)-1].Service
}

// has tells whether a service has a share.
func (s *splitter) has(service core.ServiceName) bool {
	for _, part := range s.parts {
		if part.Service == service && part.Weight > 0 {
			return true
		}
	}
	return false
}

// Choose returns the service for a request: the former one, if the request already has one
// and the route still leads to it, else the next one by the shares of the route.
func (r *Route) Choose(former core.ServiceName) core.ServiceName {
	if r.split == nil {
		return r.Spec.Service
	}
	if former != "" && r.split.has(former) {
		return former
	}
	return r.split.choose()
}

// inherit goes on with the shares of the same route in the snapshot before, so that a change
// elsewhere does not begin them anew.
func (s *splitter) inherit(before *splitter) {
	if before != nil {
		s.next.Store(before.next.Load())
	}
}
