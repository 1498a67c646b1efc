package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// RunConfig configures a run.
type RunConfig struct {
	Mix Mix
	// Rate is in requests per second.
	Rate float64
	// Duration is the time during which requests start; 0 means until the context ends.
	Duration time.Duration
	// Seed is the random seed for the choice of requests and for idempotency keys.
	Seed uint64
	// Name is the prefix of the request ids; it keeps those of several runs apart.
	Name string
	// Send sends one request; the key is empty unless the template is keyed.
	Send func(ctx context.Context, template RequestTemplate, id, key string) Result
}

// Run sends requests at a fixed rate (open loop: whether or not earlier ones were answered) and
// returns once all of them have ended. Latencies are measured from the intended start.
func Run(ctx context.Context, config RunConfig, meter *Meter) {
	random := rand.New(rand.NewPCG(config.Seed, 2))
	var group sync.WaitGroup
	// The end of ctx stops new requests only; those in flight run to their own timeouts.
	requestCtx := context.WithoutCancel(ctx)
	pace(ctx, config.Rate, config.Duration, func(n int64, intended time.Time) {
		template := config.Mix.pick(random)
		id := fmt.Sprintf("%s-%d", config.Name, n)
		key := ""
		if template.Keyed {
			key = newKey(intended, random)
		}
		phase := meter.currentPhase()
		group.Go(func() {
			lateness := time.Since(intended)
			result := config.Send(requestCtx, template, id, key)
			latency := time.Since(intended)
			if !result.AnsweredAt.IsZero() {
				latency = result.AnsweredAt.Sub(intended)
			}
			phase.Record(template, key, result, latency, lateness)
			meter.All.Record(template, key, result, latency, lateness)
		})
	})
	group.Wait()
}

// newKey returns an idempotency key: Unix milliseconds and a random number.
func newKey(now time.Time, random *rand.Rand) string {
	return fmt.Sprintf("%d-%016x", now.UnixMilli(), random.Uint64())
}
