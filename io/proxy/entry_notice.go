package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
)

// notices is a route.Notices for concurrent use.
type notices struct {
	mu      sync.Mutex
	notices route.Notices
}

func (n *notices) record(now time.Time, instance string, notice core.UpstreamNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case notice.IsRateLimitInvalid:
	case notice.HasRateLimit:
		n.notices.RecordRate(now, instance, notice.RateLimit)
	default:
		n.notices.RecordNoRate(now, instance)
	}
}

func (n *notices) rate(instance string) (perSecond float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notices.Rate(instance)
}

// recordNotice records what the upstream says of itself in an answer that is passed on to the caller.
func (c *call) recordNotice(answer http.Header) {
	dialect := c.entry.config.Dialect
	if dialect == nil {
		return
	}
	// Another process may have taken the place of the chosen one.
	instance := firstValue(answer, keyInstance)
	if instance == "" {
		instance = c.choice.Host.Instance
	}
	c.entry.notices.record(c.entry.config.Clock.Now(), instance, dialect.UpstreamNotice(answer))
}

// setNoticeHeaders tells the gatekeeper the limit that the upstream named: one that has just started does
// not know it yet.
func (c *call) setNoticeHeaders() {
	delete(c.header, keyInstance)
	delete(c.header, keyRateLimit)
	instance := c.choice.Host.Instance
	if perSecond, ok := c.entry.notices.rate(instance); ok {
		c.header[keyInstance] = []string{instance}
		c.header[keyRateLimit] = []string{strconv.FormatFloat(perSecond, 'g', -1, 64)}
	}
}
