package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenaway/core"
)

// Severity ranks a finding.
type Severity string

// The severities.
const (
	// SeverityError marks an entry that can never do what it says.
	SeverityError Severity = "error"
	// SeverityWarning marks an entry that is probably not meant so.
	SeverityWarning Severity = "warning"
)

// RuleName names a rule.
type RuleName string

// Rule is one property that a configuration should have.
type Rule struct {
	Name     RuleName
	Severity Severity
	// Meaning says what a finding means, Action what the operator can do.
	Meaning string
	Action  string
	// find reports the entries that violate the rule, in any order.
	find func(config *core.Snapshot, report func(subject, detail string))
}

// Rules lists all rules.
var Rules = []Rule{
	{
		Name:     "unmatchableRoute",
		Severity: SeverityError,
		Meaning:  "No request can match the route.",
		Action:   "Give the route a host, and a prefix that begins with a slash.",
		find:     findUnmatchableRoutes,
	},
	{
		Name:     "noCommonRegion",
		Severity: SeverityError,
		Meaning:  "Every request of the route or tenant is refused, since the home regions have none in common.",
		Action:   "Give route, service and tenant a common home region.",
		find:     findMissingRegions,
	},
	{
		Name:     "idleSplitPart",
		Severity: SeverityError,
		Meaning:  "A part of a split gets no requests, because its weight is 0 or no service has its name.",
		Action:   "Remove the part, or correct its weight or service.",
		find:     findIdleParts,
	},
	{
		Name:     "nothingInService",
		Severity: SeverityError,
		Meaning:  "Every availability zone that may serve the service is taken out.",
		Action:   "Bring one of the availability zones back first.",
		find:     findServicesOut,
	},
	{
		Name:     "emptyLimit",
		Severity: SeverityError,
		Meaning:  "The limit bounds neither rate nor concurrency.",
		Action:   "Set requestsPerSecond or concurrent, or withdraw the limit.",
		find:     findEmptyLimits,
	},
	{
		Name:     "unreachableLimit",
		Severity: SeverityWarning,
		Meaning:  "Another limit of the same requests is lower, so that this bound never takes effect.",
		Action:   "Remove the higher bound, or raise the lower one.",
		find:     findUnreachableLimits,
	},
	{
		Name:     "targetAboveTimeout",
		Severity: SeverityWarning,
		Meaning:  "The request ends at its timeout, before the latency target.",
		Action:   "Raise the timeout, or lower the latency target.",
		find:     findLateTargets,
	},
	{
		Name:     "unusedService",
		Severity: SeverityWarning,
		Meaning:  "No route leads to the service.",
		Action:   "Add a route, or withdraw the service.",
		find:     findUnusedServices,
	},
	{
		Name:     "tenantWithoutKey",
		Severity: SeverityWarning,
		Meaning:  "Other tenants have API keys, this one has none, so that none of its requests is accepted.",
		Action:   "Add a key, or withdraw the tenant.",
		find:     findTenantsWithoutKey,
	},
	{
		Name:     "quotaWithoutBurst",
		Severity: SeverityWarning,
		Meaning:  "The quota allows less than one request a second and no burst, so that requests are refused although the tenant is below its rate.",
		Action:   "Set a burst of at least 1.",
		find:     findQuotasWithoutBurst,
	},
}

// Finding is an entry that violates a rule.
type Finding struct {
	Rule     RuleName `json:"rule"`
	Severity Severity `json:"severity"`
	// Subject is "kind/name" of the entry.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Check returns the findings in a configuration, by the order of the rules and then by subject.
func Check(config *core.Snapshot) []Finding {
	var findings []Finding
	for _, rule := range Rules {
		first := len(findings)
		rule.find(config, func(subject, detail string) {
			findings = append(findings, Finding{
				Rule:     rule.Name,
				Severity: rule.Severity,
				Subject:  subject,
				Detail:   detail,
			})
		})
		slices.SortFunc(findings[first:], func(a, b Finding) int {
			return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Detail, b.Detail))
		})
	}
	return findings
}

// HasError reports whether a finding is an error.
func HasError(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return f.Severity == SeverityError
	})
}

func findUnmatchableRoutes(config *core.Snapshot, report func(subject, detail string)) {
	for name, route := range config.Routes {
		switch {
		case route.Host == "":
			report(routeSubject(name), "the host is empty")
		case !strings.HasPrefix(route.PathPrefix, "/"):
			report(routeSubject(name), fmt.Sprintf("the prefix %q does not begin with a slash", route.PathPrefix))
		}
	}
}

func findMissingRegions(config *core.Snapshot, report func(subject, detail string)) {
	for name, route := range config.Routes {
		for _, service := range servicesOf(route) {
			regions := commonRegions(config, route.HomeRegions, config.Services[service].HomeRegions)
			if len(regions) == 0 {
				report(routeSubject(name), fmt.Sprintf("home regions %q of the route, %q of service %s", route.HomeRegions, config.Services[service].HomeRegions, service))
			}
		}
	}
	for name, tenant := range config.Tenants {
		routes, served := 0, 0
		for _, route := range config.Routes {
			if route.IsOpen || route.Tenant != "" && route.Tenant != name {
				continue
			}
			routes++
			if len(commonRegions(config, route.HomeRegions, tenant.HomeRegions)) > 0 {
				served++
			}
		}
		if routes > 0 && served == 0 {
			report(tenantSubject(name), fmt.Sprintf("home regions %q are not among those of any route", tenant.HomeRegions))
		}
	}
}

// commonRegions returns the regions that both lists allow. An empty list allows every region. A
// configuration that names no regions leaves them to the platform.
func commonRegions(config *core.Snapshot, a, b []core.Region) []core.Region {
	all := slices.Collect(maps.Keys(config.Regions))
	if len(all) == 0 {
		all = append(slices.Clone(a), b...)
		if len(all) == 0 {
			return []core.Region{""}
		}
	}
	return slices.DeleteFunc(all, func(region core.Region) bool {
		return len(a) > 0 && !slices.Contains(a, region) || len(b) > 0 && !slices.Contains(b, region)
	})
}

func findIdleParts(config *core.Snapshot, report func(subject, detail string)) {
	for name, route := range config.Routes {
		for _, part := range route.Split {
			_, isKnown := config.Services[part.Service]
			switch {
			case part.Weight <= 0:
				report(routeSubject(name), fmt.Sprintf("the part of service %s has weight %d", part.Service, part.Weight))
			case !isKnown:
				report(routeSubject(name), fmt.Sprintf("service %s does not exist", part.Service))
			}
		}
	}
}

func findServicesOut(config *core.Snapshot, report func(subject, detail string)) {
	for name, service := range config.Services {
		zones, out := 0, 0
		for region, spec := range config.Regions {
			if len(service.HomeRegions) > 0 && !slices.Contains(service.HomeRegions, region) {
				continue
			}
			for _, zone := range spec.AvailabilityZones {
				zones++
				if config.Out[zone] {
					out++
				}
			}
		}
		if zones > 0 && out == zones {
			report(serviceSubject(name), fmt.Sprintf("all %d availability zones are taken out", zones))
		}
	}
}

func findEmptyLimits(config *core.Snapshot, report func(subject, detail string)) {
	for name, limit := range config.Limits {
		if limit.RequestsPerSecond <= 0 && limit.Concurrent <= 0 {
			report(limitSubject(name), "requestsPerSecond and concurrent are 0")
		}
	}
}

// findUnreachableLimits compares each limit with the others that hold for all of its requests: those
// of the same route or tenant, and for a route of one tenant those of the tenant.
func findUnreachableLimits(config *core.Snapshot, report func(subject, detail string)) {
	for name, limit := range config.Limits {
		for otherName, other := range config.Limits {
			if name == otherName || !coversRequests(config, other, limit) {
				continue
			}
			isSame := other.Route == limit.Route && other.Tenant == limit.Tenant
			if isLower(other.RequestsPerSecond, limit.RequestsPerSecond, isSame && otherName < name) {
				report(limitSubject(name), fmt.Sprintf("requestsPerSecond %v, while limit %s allows %v", limit.RequestsPerSecond, otherName, other.RequestsPerSecond))
			}
			if isLower(float64(other.Concurrent), float64(limit.Concurrent), isSame && otherName < name) {
				report(limitSubject(name), fmt.Sprintf("concurrent %d, while limit %s allows %d", limit.Concurrent, otherName, other.Concurrent))
			}
		}
	}
}

// coversRequests reports whether all requests of a limit count towards another one.
func coversRequests(config *core.Snapshot, other, limit core.LimitSpec) bool {
	if other.Route == limit.Route && other.Tenant == limit.Tenant {
		return true
	}
	return other.Tenant != "" && limit.Route != "" && config.Routes[limit.Route].Tenant == other.Tenant
}

// isLower reports whether a bound is lower than another one, or equal if that counts; 0 is no bound.
func isLower(bound, than float64, orEqual bool) bool {
	if bound <= 0 || than <= 0 {
		return false
	}
	return bound < than || orEqual && bound == than
}

func findLateTargets(config *core.Snapshot, report func(subject, detail string)) {
	for name, route := range config.Routes {
		if route.Timeout > 0 && route.LatencyTarget > route.Timeout {
			report(routeSubject(name), fmt.Sprintf("latency target %v, timeout %v", time.Duration(route.LatencyTarget), time.Duration(route.Timeout)))
		}
	}
}

func findUnusedServices(config *core.Snapshot, report func(subject, detail string)) {
	used := map[core.ServiceName]bool{}
	for _, route := range config.Routes {
		for _, service := range servicesOf(route) {
			used[service] = true
		}
	}
	for name := range config.Services {
		if !used[name] {
			report(serviceSubject(name), "no route has the service")
		}
	}
}

func findTenantsWithoutKey(config *core.Snapshot, report func(subject, detail string)) {
	hasKeys := false
	for _, tenant := range config.Tenants {
		hasKeys = hasKeys || len(tenant.Keys) > 0
	}
	for name, tenant := range config.Tenants {
		if hasKeys && len(tenant.Keys) == 0 {
			report(tenantSubject(name), "the tenant has no key")
		}
	}
}

func findQuotasWithoutBurst(config *core.Snapshot, report func(subject, detail string)) {
	for name, tenant := range config.Tenants {
		if quota := tenant.Quota; !quota.IsUnlimited() && quota.RequestsPerSecond < 1 && quota.Burst < 1 {
			report(tenantSubject(name), fmt.Sprintf("requestsPerSecond %v, burst %d", quota.RequestsPerSecond, quota.Burst))
		}
	}
}

// servicesOf returns the services to which a route leads.
func servicesOf(route core.RouteSpec) []core.ServiceName {
	if len(route.Split) == 0 {
		return []core.ServiceName{route.Service}
	}
	var services []core.ServiceName
	for _, part := range route.Split {
		services = append(services, part.Service)
	}
	return services
}

func routeSubject(name core.RouteName) string     { return "route/" + string(name) }
func serviceSubject(name core.ServiceName) string { return "service/" + string(name) }
func tenantSubject(name core.TenantName) string   { return "tenant/" + string(name) }
func limitSubject(name string) string             { return "limit/" + name }
