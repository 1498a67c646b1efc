package proxy

import (
	"net/http"
	"strconv"

	"verbenaway/core"
)

// observeNotice records what the upstream says of itself in the headers of an answer.
func (c *gateCall) observeNotice(answer http.Header) {
	g := c.gate
	notice := g.config.Dialect.UpstreamNotice(answer)
	if notice.IsRateLimitInvalid {
		return
	}
	g.mu.Lock()
	isChanged := notice.HasRateLimit != g.hasRateLimit || notice.RateLimit != g.rateLimit
	g.rateLimit, g.hasRateLimit = notice.RateLimit, notice.HasRateLimit
	g.mu.Unlock()
	if isChanged {
		g.recordRateLimit(c.instance, notice.RateLimit, notice.HasRateLimit)
	}
}

// RateLimit returns the number of requests a second that the upstream says it takes; ok is false if it
// names none.
func (g *Gate) RateLimit() (perSecond float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit, g.hasRateLimit
}

// recordRateLimit records a change of the limit that the upstream names. An upstream may name another
// one with each answer, so that the events are limited.
func (g *Gate) recordRateLimit(instance string, perSecond float64, hasLimit bool) {
	if !g.rateLimitEvents.AllowN(g.config.Clock.Now(), 1) {
		return
	}
	detail := "none any more"
	if hasLimit {
		detail = strconv.FormatFloat(perSecond, 'g', -1, 64) + " requests a second"
	}
	g.record(core.EventUpstreamLimit, instance, detail)
}
