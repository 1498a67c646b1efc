package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/io/store"
)

// hostsPollTimeout is the longest time that a long poll of the host list waits for a change.
const hostsPollTimeout = 5 * time.Second

// baselineAttempts is the maximum number of attempts of the baseline for a request.
const baselineAttempts = 4

// roundRobin is the baseline of bench-azmove: a load balancer that sends each request to the
// next live upstream of the host list, regardless of its load or health, and after any failure
// to the one after it. Like any balancer it does not resend an order whose outcome is unknown.
type roundRobin struct {
	sender *Sender
	client *store.Client
	plan   Plan
	next   atomic.Uint64

	mu        sync.Mutex
	addresses []string // of the live upstreams
}

func newRoundRobin(plan Plan) *roundRobin {
	return &roundRobin{
		sender: NewSender(SenderConfig{}),
		client: store.New(store.Config{
			Address: "http://" + plan.StoreAddress,
		}),
		plan: plan,
	}
}

// follow updates the upstreams from the host list until ctx ends.
func (b *roundRobin) follow(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		list, ok, err := b.client.Hosts(ctx, revision, hostsPollTimeout)
		switch {
		case err != nil:
			sleep(ctx, pollInterval)
		case ok:
			revision = list.Revision
			b.setHosts(list)
		}
	}
}

func (b *roundRobin) setHosts(list core.HostList) {
	upstreams := map[core.HostName]string{}
	for _, host := range b.plan.Hosts {
		upstreams[host.Name] = host.UpstreamAddress
	}
	var addresses []string
	for _, host := range list.Hosts {
		if host.State == core.HostLive {
			addresses = append(addresses, upstreams[host.Name])
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
}

func (b *roundRobin) upstreamCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.addresses)
}

// send sends a request and resends it to further upstreams where that is safe.
func (b *roundRobin) send(ctx context.Context, template RequestTemplate, id, key string) Result {
	b.mu.Lock()
	addresses := b.addresses
	b.mu.Unlock()
	first := b.next.Add(1)
	var result Result
	for attempt := uint64(0); attempt < baselineAttempts; attempt++ {
		latest := b.sender.SendTo(ctx, addresses[(first+attempt)%uint64(len(addresses))], template, id, key)
		latest.Attempts += result.Attempts
		latest.Broken += result.Broken
		latest.MayHaveRun = latest.MayHaveRun || result.MayHaveRun
		result = latest
		if result.Outcome == OK || (result.MayHaveRun && !template.IsIdempotent()) {
			break
		}
	}
	return result
}

func (b *roundRobin) close() {
	b.sender.Close()
	b.client.Close()
}
