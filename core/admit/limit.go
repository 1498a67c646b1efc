package admit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"verbenaway/core"
)

// requestLimit is one LimitSpec with the requests counted towards it.
type requestLimit struct {
	spec core.LimitSpec
	// rate is nil if the spec bounds no rate.
	rate *rate.Limiter
	// inUse counts the requests in flight and in the queue.
	inUse int
}

// limitSet holds the limits of the current snapshot by name and by route or tenant.
type limitSet struct {
	byName  map[string]*requestLimit
	routes  map[core.RouteName][]*requestLimit
	tenants map[core.TenantName][]*requestLimit
}

func newLimitSet() limitSet {
	return limitSet{
		byName:  map[string]*requestLimit{},
		routes:  map[core.RouteName][]*requestLimit{},
		tenants: map[core.TenantName][]*requestLimit{},
	}
}

// configure applies the limits of a snapshot. A limit that still bounds the same route or
// tenant keeps its tokens and its count.
func (s *limitSet) configure(now time.Time, snapshot *core.Snapshot) {
	next := newLimitSet()
	for name, spec := range snapshot.Limits {
		entry := s.byName[name]
		if entry == nil || entry.spec.Route != spec.Route || entry.spec.Tenant != spec.Tenant {
			entry = &requestLimit{}
		}
		entry.configure(now, spec)
		next.byName[name] = entry
		if spec.Route != "" {
			next.routes[spec.Route] = append(next.routes[spec.Route], entry)
		}
		if spec.Tenant != "" {
			next.tenants[spec.Tenant] = append(next.tenants[spec.Tenant], entry)
		}
	}
	*s = next
}

// configure applies a spec and keeps the tokens. The default burst is the requests of one second.
func (l *requestLimit) configure(now time.Time, spec core.LimitSpec) {
	l.spec = spec
	if spec.RequestsPerSecond <= 0 {
		l.rate = nil
		return
	}
	burst := spec.Burst
	if burst < 1 {
		burst = max(1, int(math.Ceil(spec.RequestsPerSecond)))
	}
	if l.rate == nil {
		l.rate = rate.NewLimiter(rate.Limit(spec.RequestsPerSecond), burst)
		return
	}
	l.rate.SetLimitAt(now, rate.Limit(spec.RequestsPerSecond))
	l.rate.SetBurstAt(now, burst)
}

// hasCapacity tells whether each limit allows one more concurrent request.
func hasCapacity(limits []*requestLimit) bool {
	for _, l := range limits {
		if l.spec.Concurrent > 0 && l.inUse >= l.spec.Concurrent {
			return false
		}
	}
	return true
}

// hasToken tells whether each rate limit allows a request now. It consumes no token, since a
// request that another rule refuses must not count.
func hasToken(now time.Time, limits []*requestLimit) bool {
	for _, l := range limits {
		if l.rate != nil && l.rate.TokensAt(now) < 1 {
			return false
		}
	}
	return true
}

// acquire counts a request towards each limit and consumes a token.
func acquire(now time.Time, limits []*requestLimit) {
	for _, l := range limits {
		l.inUse++
		if l.rate != nil {
			l.rate.AllowN(now, 1)
		}
	}
}

// release ends the count of a request; the token stays consumed.
func release(limits []*requestLimit) {
	for _, l := range limits {
		l.inUse--
	}
}
