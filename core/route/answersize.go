package route

import (
	"iter"
	"sync"
	"sync/atomic"

	"verbenaway/core"
)

// answerSizeWeight is the weight of the latest answer in the moving average of a route; about the last
// 20 answers count.
const answerSizeWeight = 0.1

// answerSizes holds the mean size of the answers of each route that has had one. Its methods are safe
// for concurrent use.
type answerSizes struct {
	mu     sync.RWMutex
	routes map[core.RouteName]*atomic.Int64
}

// of returns the mean size of a route's answers in bytes, 0 if none is known.
func (s *answerSizes) of(route core.RouteName) int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if mean, ok := s.routes[route]; ok {
		return mean.Load()
	}
	return 0
}

// record adds the size of an answer. Of simultaneous answers, one may be lost to the mean.
func (s *answerSizes) record(route core.RouteName, bytes int64) {
	s.mu.RLock()
	mean, ok := s.routes[route]
	s.mu.RUnlock()
	if ok {
		known := mean.Load()
		mean.Store(known + int64(answerSizeWeight*float64(bytes-known)))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[core.RouteName]*atomic.Int64{}
	}
	mean = &atomic.Int64{}
	mean.Store(bytes)
	s.routes[route] = mean
}

// prune removes routes that the snapshot lacks.
func (s *answerSizes) prune(snapshot *core.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.routes {
		if _, ok := snapshot.Routes[name]; !ok {
			delete(s.routes, name)
		}
	}
}

// RecordAnswerBytes records the size of a complete answer of a route.
func (b *Balancer) RecordAnswerBytes(route core.RouteName, bytes int64) {
	b.answers.record(route, bytes)
}

// ExpectedAnswerBytes returns the mean size of a route's answers, 0 if none is known.
func (b *Balancer) ExpectedAnswerBytes(route core.RouteName) int64 {
	return b.answers.of(route)
}

// ExpectedAnswers yields the mean size of the answers of each route that has had one, in bytes.
func (b *Balancer) ExpectedAnswers() iter.Seq2[core.RouteName, int64] {
	return func(yield func(core.RouteName, int64) bool) {
		b.answers.mu.RLock()
		defer b.answers.mu.RUnlock()
		for name, mean := range b.answers.routes {
			if !yield(name, mean.Load()) {
				return
			}
		}
	}
}

// ForgetRoutes removes what is known of routes that the snapshot lacks.
func (b *Balancer) ForgetRoutes(snapshot *core.Snapshot) {
	b.answers.prune(snapshot)
	b.serviceTimes.prune(snapshot)
}
