package admit

import (
	"slices"

	"verbenaway/core"
)

// check applies the rules that depend on the snapshot alone. If a resource is missing and the
// sender has a newer version, the resource may exist in that version; the request is then
// refused with core.Starting, which allows a retry.
func (c *Controller) check(request *Request) (core.RouteSpec, core.ErrorKind, string) {
	snapshot := c.snapshot
	self := &c.config.Self
	isBehind := request.SenderVersion > snapshot.Version
	route, found := snapshot.Routes[request.Route]
	if !found && isBehind {
		return route, core.Starting, "the route is not known in this version"
	}
	if !found {
		return route, core.NoRoute, "the route does not exist"
	}
	if snapshot.Out[self.AvailabilityZone] {
		return route, core.ZoneOut, "the availability zone is taken out"
	}
	if kind, detail := c.checkService(request, route); kind != "" {
		return route, kind, detail
	}
	if !mayServe(self.Region, request.HomeRegions, route.HomeRegions, c.service.HomeRegions) {
		return route, core.HomeRegion, "the region is not a home region of the request"
	}
	if request.Tenant == "" {
		return route, "", ""
	}
	tenant, found := snapshot.Tenants[request.Tenant]
	switch {
	case found && !mayServe(self.Region, tenant.HomeRegions):
		return route, core.HomeRegion, "the region is not a home region of the tenant"
	case !found && isBehind:
		return route, core.Starting, "the tenant is not known in this version"
	case !found && snapshot.Region != "":
		// The snapshot of a region does not contain the tenants of other home regions.
		return route, core.HomeRegion, "the tenant is not known in this region"
	}
	return route, "", ""
}

// checkService checks that the route maps to the service and that the upstream provides it.
func (c *Controller) checkService(request *Request, route core.RouteSpec) (core.ErrorKind, string) {
	service := request.Service
	if service == "" {
		service = route.Service
	}
	if !mapsTo(route, service) {
		return core.NoUpstream, "the route no longer leads to the service"
	}
	if service != c.serviceName() || c.service.Slots < 1 {
		return core.NoUpstream, "this host does not carry the service"
	}
	if c.upstream != nil && (c.upstream.IsLeaving || c.upstream.Instance == c.leavingInstance && c.leavingInstance != "") {
		return core.Leaving, "the upstream is leaving"
	}
	return "", ""
}

// mayServe tells whether a region is in each of the lists that are not empty.
func mayServe(region core.Region, lists ...[]core.Region) bool {
	for _, list := range lists {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}
