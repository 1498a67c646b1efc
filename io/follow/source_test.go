package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/io/kernel"
)

// fakeSource is a daemon of the same zone that answers requests from a store.
type fakeSource struct {
	registry *fakeRegistry
	// isCutOff says that the daemon has no contact with the store, isUnreachable that it does not
	// answer.
	isCutOff      atomic.Bool
	isUnreachable atomic.Bool
}

func (s *fakeSource) Follow(ctx context.Context, _ string, request core.FollowRequest) (core.FollowAnswer, error) {
	if s.isUnreachable.Load() {
		<-ctx.Done()
		return core.FollowAnswer{}, core.Errorf(core.PeerUnreachable, "no answer")
	}
	// The daemon answers in time even if the test process is stopped for a while.
	watched, err := s.registry.watch(context.WithoutCancel(ctx), request.After.Revision, request.Wait)
	answer := core.FollowAnswer{
		RegistryAnswer: watched,
	}
	if s.isCutOff.Load() {
		answer.ContactAge = -1
	}
	return answer, err
}

const (
	// firstHost ranks before ownHost.
	firstHost core.HostName = "d02"
	ownHost   core.HostName = "d07"
)

func newOwnHost() core.Host {
	return core.Host{
		Name:             ownHost,
		AvailabilityZone: "a",
	}
}

// startWithSource starts a daemon that follows a source. The store allows a number of reads per second.
func startWithSource(t *testing.T, source *fakeSource, readsPerSecond float64) *Follower {
	t.Helper()
	registry := source.registry
	registry.register(firstHost)
	registry.register(ownHost)
	registry.write(1)
	f := New(Config{
		Self:           newOwnHost(),
		Registry:       registry,
		Relay:          source,
		Clock:          kernel.SystemClock{},
		Journal:        nopJournal{},
		ReadsPerSecond: readsPerSecond,
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, f.Stop(context.Background()), qt.IsNil)
		goleak.VerifyNone(t)
	})
	waitVersion(t, f, 1, applyDeadline)
	return f
}

// TestOneWatchWithoutSource guards against a second watch by each daemon of a zone that has watched
// the store because the one that it follows had no contact with it, and against changes that arrive
// late in a long gap between watches.
func TestOneWatchWithoutSource(t *testing.T) {
	cases := []struct {
		name string
		// isStart says that the source has no contact when the daemon starts.
		isStart        bool
		readsPerSecond float64
	}{
		{
			name:    "start",
			isStart: true,
		},
		{
			name: "later",
		},
		{
			// The gap between two watches is 4 s.
			name:           "low read rate",
			readsPerSecond: 1,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			source := &fakeSource{
				registry: newFakeRegistry(),
			}
			source.isCutOff.Store(tc.isStart)
			f := startWithSource(t, source, tc.readsPerSecond)
			source.isCutOff.Store(true)
			waitUntil(t, applyDeadline, func() bool { return f.Counters.Watches.Load() == 1 })
			source.isCutOff.Store(false)
			source.registry.write(2)
			waitVersion(t, f, 2, applyDeadline)
			source.registry.write(3)
			waitVersion(t, f, 3, applyDeadline)
			time.Sleep(minWatchGap + shortSourceBackoff)
			c.Assert(f.Counters.Watches.Load(), qt.Equals, int64(1))
		})
	}
}

// TestWatchIsKept guards against a watch that each daemon cancels and starts again, about once a second,
// for as long as the one that it follows cannot be followed, as when a region has lost its reader.
func TestWatchIsKept(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeSource) *atomic.Bool
	}{
		{
			name:  "no contact",
			fault: func(s *fakeSource) *atomic.Bool { return &s.isCutOff },
		},
		{
			name:  "unreachable",
			fault: func(s *fakeSource) *atomic.Bool { return &s.isUnreachable },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			source := &fakeSource{
				registry: newFakeRegistry(),
			}
			f := startWithSource(t, source, 0)
			tc.fault(source).Store(true)
			waitUntil(t, applyDeadline, func() bool { return f.Counters.Watches.Load() == 1 })
			time.Sleep(2 * sourceBackoff)
			c.Assert(f.Counters.Watches.Load(), qt.Equals, int64(1))
			tc.fault(source).Store(false)
			waitUntil(t, sourceBackoff+applyDeadline, func() bool {
				_, isWatching := f.currentWatch()
				return !isWatching
			})
			source.registry.write(2)
			waitVersion(t, f, 2, applyDeadline)
			c.Assert(f.Counters.Watches.Load(), qt.Equals, int64(1))
		})
	}
}
