package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/io/fleet"
	"verbenaway/io/load"
)

// orderLog collects the results that callers got for each order.
type orderLog struct {
	mu      sync.Mutex
	results map[string][]load.Result
}

func (l *orderLog) add(id string, result load.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[id] = append(l.results[id], result)
}

// sendTwice sends an order with an idempotency key through two entries at the same time.
func (l *orderLog) sendTwice(sender *load.Sender, entries [2]string, id string) {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), id)
	var group sync.WaitGroup
	for _, entry := range entries {
		group.Go(func() {
			l.add(key, sender.SendTo(context.Background(), entry, orderRequest, id, key))
		})
	}
	group.Wait()
}

// sendOnce sends an order without an idempotency key.
func (l *orderLog) sendOnce(sender *load.Sender, entry, id string) {
	l.add(id, sender.SendTo(context.Background(), entry, orderRequest, id, ""))
}

// check compares the results of the callers with the runs of the upstreams.
func (l *orderLog) check(c *qt.C, f *fleet.Fleet) {
	orders := f.OrderRuns()
	for id, runs := range orders {
		if runs > 1 {
			c.Errorf("order %s ran %d times", id, runs)
		}
	}
	for id, results := range l.results {
		notRun, isAnswered := true, false
		for _, result := range results {
			// A result without an answer proves nothing: net/http may have resent a keyed order
			// on a new connection, so a refused dial need not be the first attempt.
			notRun = notRun && result.Outcome == load.Refused && result.NotRun
			isAnswered = isAnswered || result.Outcome == load.OK
			if result.Outcome == load.Wrong {
				c.Errorf("order %s: %v", id, result.Err)
			}
		}
		if notRun && orders[id] > 0 {
			c.Errorf("order %s ran, but its callers were told that it did not: %v", id, results)
		}
		if isAnswered && orders[id] == 0 {
			c.Errorf("order %s did not run, but a caller got its answer", id)
		}
	}
}

// countBothAnswered returns the number of orders for which both entries sent the complete answer.
func (l *orderLog) countBothAnswered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, results := range l.results {
		if len(results) == 2 && results[0].Outcome == load.OK && results[1].Outcome == load.OK {
			count++
		}
	}
	return count
}

// TestPromiseOrdersRunAtMostOnce checks promises 8 and 9: while gatekeepers and owners of keys are
// killed and start again with empty memory, no order runs twice, on one upstream or on several, and
// an order whose answers all say "not run" did not run. Each keyed order is sent through two
// entries at the same time. The test guards against two owners of one key, and against a retry or a
// refusal after the order has reached an upstream.
func TestPromiseOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons:  10,
		Upstream: upstreamTemplate(),
	}, requestNote())
	entries := callerAddresses(f, f.FindDaemons(anyHost))
	// The sender itself does not resend orders. An idle connection that a killed entry closed
	// counts as a lost order, which is allowed.
	sender := load.NewSender(load.SenderConfig{
		Entries: entries,
	})
	t.Cleanup(sender.Close)
	log := &orderLog{
		results: map[string][]load.Result{},
	}
	ended := make(chan struct{})
	var workers sync.WaitGroup
	for worker := range 16 {
		workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				default:
				}
				// The different steps pair each entry with five others, never with itself.
				pair := [2]string{entries[(worker+i)%10], entries[(worker+3*i+1)%10]}
				log.sendTwice(sender, pair, fmt.Sprintf("keyed-%d-%d", worker, i))
				log.sendOnce(sender, pair[0], fmt.Sprintf("plain-%d-%d", worker, i))
			}
		})
	}
	await(t, startBound, "50 orders are answered at both entries", func() bool { return log.countBothAnswered() >= 50 })
	for victim := range 6 {
		killWhileRunningOrder(t, f, log, victim)
	}
	close(ended)
	workers.Wait()
	await(t, requestBound, "the upstreams have finished", func() bool {
		return inFlight(f, f.FindDaemons(anyHost)) == 0
	})
	log.check(c, f)
}

// killWhileRunningOrder kills a daemon while its upstream runs an order, and starts it again after
// 100 more results of orders.
func killWhileRunningOrder(t *testing.T, f *fleet.Fleet, log *orderLog, victim int) {
	t.Helper()
	c := qt.New(t)
	await(t, startBound, "the upstream of the daemon runs an order", func() bool {
		return inFlight(f, []int{victim}) > 0
	})
	c.Assert(f.Kill(victim), qt.IsNil)
	wantTotal := log.total() + 100
	await(t, startBound, "callers get more results", func() bool { return log.total() >= wantTotal })
	c.Assert(f.StartAgain(victim), qt.IsNil)
	_, err := f.AwaitVersion(1, len(f.Daemons), inForceBound)
	c.Assert(err, qt.IsNil)
}

// total returns the number of results, including refusals and failures.
func (l *orderLog) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, results := range l.results {
		total += len(results)
	}
	return total
}
