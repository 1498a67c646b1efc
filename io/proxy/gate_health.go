package proxy

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"verbenaway/core"
)

const (
	// healthAge is the time without contact with the store from which the registration of the upstream may
	// be out of date.
	healthAge = time.Second
	// healthPeriod is the time between health checks. An upstream that becomes cold gets full load for this
	// long, which counts towards its rate in the second that follows.
	healthPeriod = 250 * time.Millisecond
	// healthTimeout bounds a health check, which may wait for a slot.
	healthTimeout = 500 * time.Millisecond
)

// WatchHealth asks the upstream whether it is cold, as long as there is no contact with the store and the
// service has a cold start, until the context ends.
func (g *Gate) WatchHealth(ctx context.Context) {
	if g.config.ContactAge == nil || g.config.Dialect == nil || g.config.Upstream == nil {
		return
	}
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if g.config.ContactAge() > healthAge {
				g.checkHealth(ctx)
			}
		}
	}
}

// checkHealth asks the upstream once.
func (g *Gate) checkHealth(ctx context.Context) {
	snapshot, _ := g.config.Config.Snapshot()
	member, ok := g.config.Upstream()
	if snapshot == nil || !ok {
		return
	}
	service := snapshot.Services[member.Host.Service]
	if service.ColdRate <= 0 || service.HealthPath == "" || !g.mayCheckHealth() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	transport, err := g.transport.forSnapshot(snapshot)
	if err != nil {
		return
	}
	request := (&http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http",
			Host:   g.config.UpstreamAddress,
			Path:   service.HealthPath,
		},
		Header: http.Header{},
		// A late answer on a kept connection would be taken for that to a request.
		Close: true,
	}).WithContext(ctx)
	g.counters.HealthChecks.Add(1)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	gateDiscard(response.Body)
	_ = response.Body.Close()
	g.recordHealth(member, response.Header)
}

func (g *Gate) mayCheckHealth() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.MayCheck(g.config.Clock.Now())
}

func (g *Gate) recordHealth(member core.Member, answer http.Header) {
	remaining, ok := g.config.Dialect.ColdRemaining(member.Host.Instance, answer)
	if !ok || remaining <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.RecordCold(member.Host.Instance, g.config.Clock.Now().Add(remaining))
}
