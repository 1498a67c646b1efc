package proxy

import (
	"net/http"
	"strconv"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// observeNotice records what the upstream says of itself in the headers of an answer.
func (c *gateCall) observeNotice(answer http.Header) {
	g := c.gate
	notice := g.config.Dialect.UpstreamNotice(answer)
	if notice.IsRateLimitInvalid {
		return
	}
	g.mu.Lock()
	now := g.config.Clock.Now()
	isChanged, wakes := g.admission.RecordRate(now, admit.RateReport{
		Instance:  c.instance,
		PerSecond: notice.RateLimit,
		HasLimit:  notice.HasRateLimit,
		SentAt:    c.sentAt,
	})
	g.deliverWakes(wakes)
	g.scheduleGrant(now)
	g.mu.Unlock()
	if isChanged {
		g.recordRateLimit(c.instance, notice)
	}
}

// RateLimit returns the number of requests a second that the upstream says it takes; ok is false if it
// names none.
func (g *Gate) RateLimit() (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RateLimit()
}

// recordRateLimit records a change of the limit that the upstream names. An upstream may name another
// one with each answer, so that the events are limited.
func (g *Gate) recordRateLimit(instance string, notice core.UpstreamNotice) {
	if !g.rateLimitEvents.AllowN(g.config.Clock.Now(), 1) {
		return
	}
	detail := "none any more"
	if notice.HasRateLimit {
		detail = strconv.FormatFloat(notice.RateLimit, 'g', -1, 64) + " requests a second"
	}
	g.record(core.EventUpstreamLimit, instance, detail)
}
