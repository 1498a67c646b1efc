package proxy

import (
	"net/http"
	"strconv"
)

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
	c.entry.balancer.RecordNotice(c.entry.config.Clock.Now(), instance, dialect.UpstreamNotice(answer))
}

// setNoticeHeaders tells the gatekeeper the limit that the upstream named: one that has just started does
// not know it yet.
func (c *call) setNoticeHeaders() {
	delete(c.header, keyInstance)
	delete(c.header, keyRateLimit)
	instance := c.choice.Host.Instance
	if perSecond, ok := c.entry.balancer.NamedRate(instance); ok {
		c.header[keyInstance] = []string{instance}
		c.header[keyRateLimit] = []string{strconv.FormatFloat(perSecond, 'g', -1, 64)}
	}
}
