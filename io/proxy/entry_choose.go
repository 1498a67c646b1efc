package proxy

import (
	"slices"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
)

// choose chooses an upstream. If there is none, ok is false and the result says why.
func (c *call) choose() (result, bool) {
	query := c.query()
	if c.key != "" {
		return c.chooseOwner(query)
	}
	now := c.entry.config.Clock.Now()
	choose := c.entry.balancer.Choose
	var full []core.HostName
	var roomAfter time.Duration
	if c.entry.config.Dialect != nil {
		choose = c.entry.balancer.ChooseByCost
		// Upstreams without room before the deadline count as tried.
		full, roomAfter = c.entry.full.withoutRoom(now, c.fullKey(), c.timeLeft(), c.capacityRefusals == 0, nil)
		if len(full) > 0 {
			query.Tried = slices.Concat(c.tried, full)
		}
	}
	var ok bool
	if c.choice, ok = choose(now, query); !ok && len(c.tried) > 0 {
		// Every upstream has refused. After the backoff, each of them may have a free slot.
		c.tried = c.tried[:0]
		query.Tried = full
		c.choice, ok = choose(now, query)
	}
	if !ok && len(full) > 0 {
		r := failedAttempt(core.Overloaded, true, "no upstream has room before the deadline")
		r.final = true
		r.retryAfter = roomAfter
		return r, false
	}
	if !ok {
		r := failedAttempt(core.NoUpstream, true, "no upstream of service "+string(c.service.Name)+" can take the request")
		r.final = true
		return r, false
	}
	c.countOtherRegionBytes(query)
	return result{}, true
}

// chooseOwner chooses the owner of the idempotency key; no other upstream may run the request.
func (c *call) chooseOwner(query route.Query) (result, bool) {
	config := &c.entry.config
	owner, ok := config.Owner(c.key, query.Members)
	if !ok {
		return failedAttempt(core.NotOwner, true, "no member of service "+string(c.route.Spec.Service)+
			" may own the key yet; a daemon owns keys from 10 s after its start"), false
	}
	if c.choice, ok = c.entry.balancer.ChooseOwner(config.Clock.Now(), query, owner.Name); !ok {
		return failedAttempt(core.NoUpstream, true, "the owner "+string(owner.Name)+" of the key can take no new work"), false
	}
	c.countOtherRegionBytes(query)
	return result{}, true
}

func (c *call) query() route.Query {
	query := route.Query{
		Service:     c.service,
		Route:       c.route.Spec.Name,
		Target:      time.Duration(c.route.Spec.LatencyTarget),
		HomeRegions: c.homeRegions,
		Snapshot:    c.view.table.Snapshot(),
		Members:     c.entry.config.Members.ServiceMembers(c.service.Name),
		Tried:       c.tried,
		Bytes:       c.headerBytes + int64(len(c.body)),
	}
	if c.stream != nil {
		query.DeclaredBytes = max(c.request.ContentLength, 0)
	}
	return query
}
