package proxy

import (
	"fmt"

	"verbenaway/core"
	"verbenaway/core/route"
)

// identifyTenant returns the tenant of the request, "" if it has none. Where requests need API keys,
// the key alone decides, on open routes too; otherwise callers name their tenant themselves. With a
// Dialect they cannot: HeaderTenant is no header of theirs.
func (c *call) identifyTenant() core.TenantName {
	dialect := c.entry.config.Dialect
	if c.view.keys == nil {
		if dialect != nil {
			return ""
		}
		return core.TenantName(firstValue(c.request.Header, keyTenant))
	}
	key, ok := dialect.APIKey(c.request.Header)
	if !ok {
		return ""
	}
	tenant, _ := c.view.keys.Tenant(key)
	return tenant
}

// checkIdentity refuses a request without a tenant unless its route is open. While the configuration is
// not confirmed, a newer one may have the key, and the request may be sent again.
func (c *call) checkIdentity(matched *route.Route) (core.ErrorKind, string) {
	if c.view.keys == nil || c.tenant != "" || matched.Spec.IsOpen {
		return "", ""
	}
	detail := "the API key is not known"
	if _, ok := c.entry.config.Dialect.APIKey(c.request.Header); !ok {
		detail = "the API key is missing or has another form than accepted"
	}
	detail = fmt.Sprintf("%s; route %s needs one", detail, matched.Spec.Name)
	if isConfirmed := c.entry.config.IsConfirmed; isConfirmed != nil && !isConfirmed() {
		return core.SuspectView, detail + ", and the configuration is not confirmed"
	}
	return core.Unauthenticated, detail
}

// setIdentity replaces the API key and the tenant that the caller has set by the tenant that holds the
// key. The gatekeeper passes it on to the upstream.
func (c *call) setIdentity() {
	if c.view.keys == nil {
		if c.entry.config.Dialect != nil {
			delete(c.header, keyTenant)
		}
		return
	}
	c.entry.config.Dialect.RemoveIdentity(c.header)
	delete(c.header, keyTenant)
	if c.tenant != "" {
		c.header[keyTenant] = []string{string(c.tenant)}
	}
}

// removeTrailerIdentity keeps API keys and tenants in trailers of the stream from upstreams: their
// announcement now, and the trailers at the end of the body, when the server adds them. Ones that are not
// announced at all are not forwarded.
func (c *call) removeTrailerIdentity() {
	trailer := c.request.Trailer
	if c.view.keys == nil || trailer == nil {
		return
	}
	remove := func() {
		c.entry.config.Dialect.RemoveIdentity(trailer)
		delete(trailer, keyTenant)
	}
	remove()
	c.stream.onEnd = remove
}

// takeQuota counts the request towards the quota of its tenant. An early request that is not going to be
// started is counted when the server has read it.
func (c *call) takeQuota() (core.ErrorKind, string) {
	quotas := c.entry.config.Quotas
	if quotas == nil || c.tenant == "" || c.isEarly && !c.idempotent {
		return "", ""
	}
	decision := quotas.Take(c.ctx, c.entry.config.Clock.Now(), c.tenant)
	if !decision.IsWithin {
		if c.ctx.Err() != nil {
			r := c.interrupted(false)
			return r.failure.Kind, r.detail
		}
		c.retryAfter = decision.RetryAfter
		if decision.IsUnknown {
			return core.SuspectView, fmt.Sprintf("no daemon has said whether tenant %s is within its quota", c.tenant)
		}
		return core.Limited, fmt.Sprintf("tenant %s is over its quota", c.tenant)
	}
	c.countedTenant, c.quotaDecision = c.tenant, decision
	return "", ""
}

// returnQuota gives the request back to the quota of its tenant if no upstream has received it.
func (c *call) returnQuota() {
	if c.countedTenant == "" || c.mayHaveRun || c.receivedAttempts > 0 {
		return
	}
	c.entry.config.Quotas.Return(c.entry.config.Clock.Now(), c.countedTenant, c.quotaDecision)
	c.countedTenant = ""
}
