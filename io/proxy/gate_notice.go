package proxy

import (
	"net/http"
	"strconv"
	"time"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// observeNotice records what the upstream says of itself in the headers of an answer.
func (c *gateCall) observeNotice(answer http.Header) {
	g := c.gate
	notice := g.notice(answer)
	c.hasNotice = notice != core.UpstreamNotice{}
	if notice.IsLeaving {
		c.recordLeaving()
	}
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
		g.recordRateLimit(c.instance, describeRate(notice))
	}
}

// recordLeaving refuses the requests that wait for an upstream which says that it leaves.
func (c *gateCall) recordLeaving() {
	g := c.gate
	g.mu.Lock()
	isNew, wakes := g.admission.RecordLeaving(c.instance)
	g.deliverWakes(wakes)
	g.mu.Unlock()
	if isNew {
		g.record(core.EventUpstreamLeaving, c.instance, "")
	}
}

// adoptRate takes the limit that the sender of a request knows. The caller holds mu.
func (c *gateCall) adoptRate(now time.Time) {
	g := c.gate
	text := firstValue(c.request.Header, keyRateLimit)
	if text == "" || g.config.Dialect == nil {
		return
	}
	instance := firstValue(c.request.Header, keyInstance)
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) {
		return
	}
	if g.admission.AdoptRate(now, instance, perSecond) {
		g.recordRateLimit(instance, text+" requests a second, as "+string(c.admitRequest.Sender)+" says")
	}
}

// notice returns what the upstream says of itself. Without a Dialect it can only name a limit.
func (g *Gate) notice(answer http.Header) core.UpstreamNotice {
	if g.config.Dialect == nil {
		return core.RateLimitNotice(answer[keyRateLimit])
	}
	return g.config.Dialect.UpstreamNotice(answer)
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
func (g *Gate) recordRateLimit(instance, detail string) {
	if g.rateLimitEvents.AllowN(g.config.Clock.Now(), 1) {
		g.record(core.EventUpstreamLimit, instance, detail)
	}
}

func describeRate(notice core.UpstreamNotice) string {
	if !notice.HasRateLimit {
		return "none any more"
	}
	return strconv.FormatFloat(notice.RateLimit, 'g', -1, 64) + " requests a second"
}
