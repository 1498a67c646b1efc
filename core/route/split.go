package route

import (
	"math"
	"sync/atomic"

	"verbenaway/core"
)

// splitter distributes the requests of a route over services by weight.
type splitter struct {
	parts []core.SplitSpec
	total int
	next  atomic.Uint64
}

// goldenRatioStep is the golden ratio as a fraction of 2^64. Its multiples are spread evenly, so
// that any run of requests is closer to the shares than with random draws.
const goldenRatioStep = 0x9e3779b97f4a7c15

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
	point := float64(s.next.Add(goldenRatioStep)) / math.MaxUint64 * float64(s.total)
	for _, part := range s.parts {
		point -= float64(max(part.Weight, 0))
		if point < 0 {
			return part.Service
		}
	}
	return s.parts[len(s.parts)-1].Service
}

// hasShare reports whether a service has a share.
func (s *splitter) hasShare(service core.ServiceName) bool {
	for _, part := range s.parts {
		if part.Service == service && part.Weight > 0 {
			return true
		}
	}
	return false
}

// ChooseService returns the service for a request: the previous one, if the request already has one
// with a share in the route, else the next one by the shares of the route.
func (r *Route) ChooseService(previous core.ServiceName) core.ServiceName {
	if r.split == nil {
		return r.Spec.Service
	}
	if previous != "" && r.split.hasShare(previous) {
		return previous
	}
	return r.split.choose()
}

// inherit continues the sequence of the same route in the previous snapshot, so that a change
// elsewhere does not restart it.
func (s *splitter) inherit(previous *splitter) {
	if previous != nil {
		s.next.Store(previous.next.Load())
	}
}
