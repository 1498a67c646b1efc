package core

import (
	"context"
	"crypto/sha256"
	"time"
)

// KeyDigest is the SHA-256 of an API key. Only digests are kept, so that no log, page or dump of
// the process shows a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// RequiresKeys reports whether requests need the API key of a tenant, unless their route is open. It
// holds for an empty list of tenants too: taking away the last tenant opens no route.
func (s *Snapshot) RequiresKeys() bool {
	return s.Tenants != nil
}

// QuotaSpec bounds the requests of a tenant over all daemons together.
type QuotaSpec struct {
	// RequestsPerSecond is at least 0; 0 means that there is no quota.
	RequestsPerSecond float64
	// Burst is the number of requests that may exceed the rate at once, at least 0.
	Burst int
}

// IsUnlimited reports whether the spec bounds nothing.
func (q QuotaSpec) IsUnlimited() bool {
	return q.RequestsPerSecond <= 0
}

// QuotaDecision is the result of Quotas.Take.
type QuotaDecision struct {
	// IsWithin is true if the request may be served; the request then counts towards the quota.
	IsWithin bool
	// IsUnknown is true if a request is refused although nobody has said that it is beyond the quota, as
	// when no other daemon can be reached or the caller has left.
	IsUnknown bool
	// UsableUntil is the end of the lifetime of the permit that the request has used, zero if it has used
	// none.
	UsableUntil time.Time
	// RetryAfter is the time after which a refused request may be within the quota, 0 if unknown.
	RetryAfter time.Duration
}

// Quotas decides whether requests are within the quota of their tenant, which holds over all
// daemons together. It is safe for concurrent use.
type Quotas interface {
	// Take counts a request towards the quota of a tenant, unless it is beyond it. It may wait for
	// other daemons, for a few hundred milliseconds at most and not beyond the end of ctx, after which
	// nothing is counted.
	Take(ctx context.Context, now time.Time, tenant TenantName) QuotaDecision
	// Return tells that no upstream has received a request that Take counted with the decision. Another
	// request may use its permit within the lifetime of the permit.
	Return(now time.Time, tenant TenantName, decision QuotaDecision)
}

// RequestPriority returns the rank of a request of a tenant on a route, lower first. It is the same
// at each daemon that has the snapshot; the name of the tenant goes along with the request.
func (s *Snapshot) RequestPriority(route *RouteSpec, tenant TenantName) int {
	if spec, ok := s.Tenants[tenant]; ok && spec.HasPriority {
		return spec.Priority
	}
	return route.Priority
}
