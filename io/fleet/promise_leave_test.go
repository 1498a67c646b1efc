package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/fleet"
	"verbenaway/io/load"
)

// startSlowLookups starts requests that run for 1.5 s, longer than the start of a drain takes.
func startSlowLookups(t *testing.T, f *fleet.Fleet, entries []int) *stream {
	slow := lookupRequest
	slow.Path = "/surveys/slow"
	slow.ServiceMs = 1500
	return startStream(t, f, entries, 20, slow)
}

// TestPromiseZoneTakenOut checks promises 5 and 11: 3 s after an availability zone is taken out,
// its upstreams get no new work, and no request in flight is cut. The test guards against entries
// and gatekeepers that keep using the zone, and against a drain that ends requests in flight.
// It does not run in parallel with other tests, whose load could make it miss the bound of 3 s.
func TestPromiseZoneTakenOut(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons:  10,
		Upstream: upstreamTemplate(),
	}, requestNote())
	zoneDaemons := f.FindDaemons(func(host core.Host) bool { return host.AvailabilityZone == "north2" })
	others := f.FindDaemons(func(host core.Host) bool { return host.AvailabilityZone != "north2" })
	// Requests also enter in the zone itself, whose entries prefer its upstreams.
	quick := startStream(t, f, f.FindDaemons(anyHost), 20, lookupRequest)
	slow := startSlowLookups(t, f, zoneDaemons)
	awaitWorkEverywhere(t, f)
	await(t, startBound, "the zone has work in flight", func() bool {
		return inFlight(f, zoneDaemons) > 1
	})
	began := time.Now()
	f.Publish("takeOut = [\"north2\"]\n")
	awaitWorkSince(t, f, others, began.Add(newWorkBound+time.Second))
	checkNoneCut(c, quick.stop())
	checkNoneCut(c, slow.stop())
	checkNoNewWork(c, f, zoneDaemons, began)
	c.Check(quick.ok.Load() > 0, qt.IsTrue)
}

// startOrders sends orders through one entry and returns once each runs on some upstream or is
// refused. The function that it returns waits for their results.
func startOrders(t *testing.T, f *fleet.Fleet, entry, count int) func() []sentRequest {
	t.Helper()
	slow := orderRequest
	slow.ServiceMs = 1500
	s := &stream{
		sender: load.NewSender(load.SenderConfig{
			Entries: callerAddresses(f, []int{entry}),
		}),
	}
	for i := range count {
		s.workers.Go(func() {
			s.send(slow, fmt.Sprintf("order-%d", i))
		})
	}
	await(t, startBound, "each order runs or is refused", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(f.OrderRuns()) > 0 && len(f.OrderRuns())+len(s.results) >= count
	})
	return s.stop
}

// TestPromisePlannedStop checks promises 10 and 11: a planned stop of a daemon cuts no request in
// flight, neither those that entered there nor those that run on its upstream, and 3 s later the
// upstream gets no new work. The test guards against a stop that closes connections in use, and
// against entries that do not learn of the stop.
// It does not run in parallel with other tests, for the reason given at TestPromiseZoneTakenOut.
func TestPromisePlannedStop(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons:  10,
		Upstream: upstreamTemplate(),
	}, requestNote())
	const leaving = 2
	others := f.FindDaemons(func(host core.Host) bool { return host.Name != f.Daemons[leaving].Self().Name })
	quick := startStream(t, f, others, 20, lookupRequest)
	slow := startSlowLookups(t, f, others)
	awaitWorkEverywhere(t, f)
	await(t, startBound, "the daemon has work in flight", func() bool {
		return inFlight(f, []int{leaving}) > 1
	})
	awaitOrders := startOrders(t, f, leaving, 10)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	stopped := make(chan error, 1)
	go func() {
		stopped <- f.Daemons[leaving].Stop(ctx)
	}()
	awaitWorkSince(t, f, others, began.Add(newWorkBound+time.Second))
	c.Check(<-stopped, qt.IsNil)
	checkNoneCut(c, quick.stop())
	checkNoneCut(c, slow.stop())
	checkNoneCut(c, awaitOrders())
	checkNoNewWork(c, f, []int{leaving}, began)
	c.Check(quick.ok.Load() > 0, qt.IsTrue)
}
