package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenaway/core"
)

// Reason says why a route or an upstream was chosen or rejected.
type Reason string

// The reasons in the steps of an explanation.
const (
	ReasonChosen             Reason = "chosen"
	ReasonHost               Reason = "no route has this HTTP host"
	ReasonPath               Reason = "another path"
	ReasonMethod             Reason = "another method"
	ReasonTenant             Reason = "another tenant"
	ReasonLongerPrefix       Reason = "a route with a longer path prefix precedes it"
	ReasonTenantRoute        Reason = "a route of the tenant precedes it"
	ReasonSameZone           Reason = "same availability zone"
	ReasonSameRegion         Reason = "same region"
	ReasonHomeRegion         Reason = "another home region"
	ReasonOutsideHomeRegions Reason = "outside the home regions"
	ReasonNoBudget           Reason = "no budget of bytes to other regions"
	ReasonZoneOut            Reason = "availability zone taken out"
	ReasonLeaving            Reason = "leaving"
	ReasonDead               Reason = "dead"
	ReasonSuspect            Reason = "suspect, only if there is nothing better"
	ReasonInBackoff          Reason = "passed over after a refusal"
	ReasonFull               Reason = "no free slot known"
)

// Step is the decision on one route.
type Step struct {
	Route  core.RouteName `json:"route,omitempty"`
	Reason Reason         `json:"reason"`
	Detail string         `json:"detail,omitempty"`
}

// UpstreamStep is the decision on one upstream.
type UpstreamStep struct {
	Host             core.HostName         `json:"host"`
	AvailabilityZone core.AvailabilityZone `json:"availabilityZone"`
	Region           core.Region           `json:"region"`
	// Usable is true if the upstream may get the request now.
	Usable bool   `json:"usable"`
	Reason Reason `json:"reason"`
	Detail string `json:"detail,omitempty"`
	rank   int
}

// Explain returns the decision on each route of the HTTP host, in order of precedence.
func (t *Table) Explain(request Request) []Step {
	host := normalHost(request.Host)
	prefixes, ok := t.hosts[host]
	if !ok {
		return []Step{{
			Reason: ReasonHost,
			Detail: host,
		}}
	}
	var all []*Route
	for _, tenants := range prefixes {
		for _, list := range tenants {
			all = append(all, list...)
		}
	}
	slices.SortFunc(all, compareRoutes)
	found := t.find(request)
	steps := make([]Step, len(all))
	for i, r := range all {
		steps[i] = explainRoute(r, found, request)
	}
	return steps
}

// compareRoutes sorts longer prefixes first; of equal ones, routes with a tenant come first.
func compareRoutes(a, b *Route) int {
	return cmp.Or(
		-cmp.Compare(len(prefixKey(&a.Spec)), len(prefixKey(&b.Spec))),
		-cmp.Compare(min(len(a.Spec.Tenant), 1), min(len(b.Spec.Tenant), 1)),
		cmp.Compare(a.Spec.Name, b.Spec.Name),
	)
}

func explainRoute(r, found *Route, request Request) Step {
	step := Step{
		Route: r.Spec.Name,
	}
	switch {
	case r == found:
		step.Reason = ReasonChosen
		step.Detail = "service " + string(r.Spec.Service)
	case !hasPrefix(request.Path, &r.Spec):
		step.Reason = ReasonPath
		step.Detail = "has prefix " + r.Spec.PathPrefix
	case len(r.Spec.Methods) > 0 && !slices.Contains(r.Spec.Methods, request.Method):
		step.Reason = ReasonMethod
		step.Detail = "has " + strings.Join(r.Spec.Methods, ", ")
	case r.Spec.Tenant != "" && r.Spec.Tenant != request.Tenant:
		step.Reason = ReasonTenant
		step.Detail = "has tenant " + string(r.Spec.Tenant)
	case prefixKey(&r.Spec) != prefixKey(&found.Spec):
		step.Reason = ReasonLongerPrefix
		step.Detail = "precedes it: " + string(found.Spec.Name)
	default:
		step.Reason = ReasonTenantRoute
		step.Detail = "precedes it: " + string(found.Spec.Name)
	}
	return step
}

// hasPrefix reports whether a path begins with the prefix of a route, which has whole segments.
func hasPrefix(path string, spec *core.RouteSpec) bool {
	prefix := prefixKey(spec)
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// Explain returns the decision on each member of the service, best first. It does not affect
// later choices.
func (b *Balancer) Explain(now time.Time, query Query) []UpstreamStep {
	b.group(&query)
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(&query)
	steps := make([]UpstreamStep, len(query.Members))
	for i, member := range query.Members {
		u := state.upstreams[member.Host.Name]
		if u == nil {
			u = &upstream{
				host: member.Host,
			}
		}
		steps[i] = b.explainUpstream(now, query, member, u)
	}
	slices.SortStableFunc(steps, func(a, b UpstreamStep) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Host, b.Host))
	})
	return steps
}

// explainUpstream returns the decision on one member. Usable upstreams rank by the round in which
// Choose considers them and then by distance; unusable ones rank last.
func (b *Balancer) explainUpstream(now time.Time, query Query, member core.Member, u *upstream) UpstreamStep {
	host := member.Host
	distance := b.distance(host)
	score, full := u.score(momentOf(now), query.Service.Slots)
	step := UpstreamStep{
		Host:             host.Name,
		AvailabilityZone: host.AvailabilityZone,
		Region:           host.Region,
		Detail:           fmt.Sprintf("outstanding %d, load %.2f", u.outstanding.Load(), score),
	}
	step.Reason = b.rejectionReason(now, query, member)
	if step.Reason != "" {
		step.rank = 100 + distance
		return step
	}
	step.Usable = true
	switch {
	case member.State == core.MemberSuspect:
		step.Reason, step.rank = ReasonSuspect, 30+distance
	case u.inBackoff(momentOf(now)):
		step.Reason, step.rank = ReasonInBackoff, 20+distance
	case full:
		step.Reason, step.rank = ReasonFull, 10+distance
	default:
		step.Reason = [...]Reason{ReasonSameZone, ReasonSameRegion, ReasonHomeRegion}[distance]
		step.rank = distance
	}
	return step
}

// rejectionReason returns why a member cannot get the request at all, "" if it can.
func (b *Balancer) rejectionReason(now time.Time, query Query, member core.Member) Reason {
	if reason := b.exclusionReason(member, query.Snapshot); reason != "" {
		return reason
	}
	if !query.HomeRegions.Allows(member.Host.Region) {
		return ReasonOutsideHomeRegions
	}
	if b.distance(member.Host) == otherRegion && !b.budget.canTake(now, b.crossRegionRate(&query), query.Bytes+query.DeclaredBytes) {
		return ReasonNoBudget
	}
	return ""
}
