package snap

import (
	"maps"
	"slices"

	"verbenaway/core"
)

// kind is the kind of a resource as written in keys and paths.
type kind string

const (
	kindRegion  kind = "region"
	kindService kind = "service"
	kindRoute   kind = "route"
	kindTenant  kind = "tenant"
	kindLimit   kind = "limit"
	kindZone    kind = "availabilityZone"
)

// key identifies a resource; its string form is the key in core.Snapshot.Changed.
type key struct {
	kind kind
	name string
}

func (k key) String() string {
	return string(k.kind) + "/" + k.name
}

// resource is a resource of any kind with the home regions that may see it.
type resource struct {
	spec        any
	homeRegions []core.Region
}

// find returns the resource with a key; the spec of an availability zone is whether it is out.
func find(s *core.Snapshot, k key) (resource, bool) {
	homeRegions, ok := homeRegionsOf(s, k)
	found := resource{
		homeRegions: homeRegions,
	}
	switch k.kind {
	case kindRegion:
		found.spec = s.Regions[core.Region(k.name)]
	case kindService:
		found.spec = s.Services[core.ServiceName(k.name)]
	case kindRoute:
		found.spec = s.Routes[core.RouteName(k.name)]
	case kindTenant:
		found.spec = s.Tenants[core.TenantName(k.name)]
	case kindLimit:
		found.spec = s.Limits[k.name]
	case kindZone:
		found.spec = s.Out[core.AvailabilityZone(k.name)]
	}
	return found, ok
}

// homeRegionsOf returns the home regions of a resource; ok is false if it does not exist.
// Regions and availability zones have none and are visible in all regions. A limit has the home
// regions of its route or tenant.
func homeRegionsOf(s *core.Snapshot, k key) (homeRegions []core.Region, ok bool) {
	switch k.kind {
	case kindRegion:
		_, ok = s.Regions[core.Region(k.name)]
		return nil, ok
	case kindService:
		spec, found := s.Services[core.ServiceName(k.name)]
		return spec.HomeRegions, found
	case kindRoute:
		spec, found := s.Routes[core.RouteName(k.name)]
		return spec.HomeRegions, found
	case kindTenant:
		spec, found := s.Tenants[core.TenantName(k.name)]
		return spec.HomeRegions, found
	case kindLimit:
		spec, found := s.Limits[k.name]
		return limitHomeRegions(s, spec), found
	case kindZone:
		return nil, zoneRegion(s, core.AvailabilityZone(k.name)) != ""
	}
	return nil, false
}

func limitHomeRegions(s *core.Snapshot, spec core.LimitSpec) []core.Region {
	if spec.Route != "" {
		return s.Routes[spec.Route].HomeRegions
	}
	return s.Tenants[spec.Tenant].HomeRegions
}

// zoneRegion returns the region of an availability zone, or "" if no region lists the zone.
func zoneRegion(s *core.Snapshot, zone core.AvailabilityZone) core.Region {
	for name, spec := range s.Regions {
		if slices.Contains(spec.AvailabilityZones, zone) {
			return name
		}
	}
	return ""
}

// put adds or replaces resources. It copies the maps that it changes, because other snapshots
// may share them.
func put(s *core.Snapshot, added core.Resources) {
	s.Regions = withAll(s.Regions, added.Regions, func(spec core.RegionSpec) core.Region { return spec.Name })
	s.Services = withAll(s.Services, added.Services, func(spec core.ServiceSpec) core.ServiceName { return spec.Name })
	s.Routes = withAll(s.Routes, added.Routes, func(spec core.RouteSpec) core.RouteName { return spec.Name })
	s.Tenants = withAll(s.Tenants, added.Tenants, func(spec core.TenantSpec) core.TenantName { return spec.Name })
	s.Limits = withAll(s.Limits, added.Limits, func(spec core.LimitSpec) string { return spec.Name })
}

func withAll[K comparable, V any](m map[K]V, added []V, name func(V) K) map[K]V {
	if len(added) == 0 {
		return m
	}
	m = maps.Clone(m)
	for _, spec := range added {
		m[name(spec)] = spec
	}
	return m
}

// drop removes resources. Like put it copies the maps that it changes.
func drop(s *core.Snapshot, removed core.ResourceNames) {
	s.Regions = without(s.Regions, removed.Regions)
	s.Services = without(s.Services, removed.Services)
	s.Routes = without(s.Routes, removed.Routes)
	s.Tenants = without(s.Tenants, removed.Tenants)
	s.Limits = without(s.Limits, removed.Limits)
}

func without[K comparable, V any](m map[K]V, removed []K) map[K]V {
	if len(removed) == 0 {
		return m
	}
	m = maps.Clone(m)
	for _, name := range removed {
		delete(m, name)
	}
	return m
}

// keysOf lists the keys of resources in the given order.
func keysOf(listed core.Resources) []key {
	var keys []key
	for _, spec := range listed.Regions {
		keys = append(keys, key{kindRegion, string(spec.Name)})
	}
	for _, spec := range listed.Services {
		keys = append(keys, key{kindService, string(spec.Name)})
	}
	for _, spec := range listed.Routes {
		keys = append(keys, key{kindRoute, string(spec.Name)})
	}
	for _, spec := range listed.Tenants {
		keys = append(keys, key{kindTenant, string(spec.Name)})
	}
	for _, spec := range listed.Limits {
		keys = append(keys, key{kindLimit, spec.Name})
	}
	return keys
}

// keysOfNames lists the keys of named resources in the given order.
func keysOfNames(listed core.ResourceNames) []key {
	var keys []key
	for _, name := range listed.Regions {
		keys = append(keys, key{kindRegion, string(name)})
	}
	for _, name := range listed.Services {
		keys = append(keys, key{kindService, string(name)})
	}
	for _, name := range listed.Routes {
		keys = append(keys, key{kindRoute, string(name)})
	}
	for _, name := range listed.Tenants {
		keys = append(keys, key{kindTenant, string(name)})
	}
	for _, name := range listed.Limits {
		keys = append(keys, key{kindLimit, name})
	}
	return keys
}

// resourcesOf lists all resources of a snapshot, each kind sorted by name.
func resourcesOf(s *core.Snapshot) core.Resources {
	return core.Resources{
		Regions:  sortedValues(s.Regions),
		Services: sortedValues(s.Services),
		Routes:   sortedValues(s.Routes),
		Tenants:  sortedValues(s.Tenants),
		Limits:   sortedValues(s.Limits),
	}
}

func sortedValues[K ~string, V any](m map[K]V) []V {
	var values []V
	for _, name := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[name])
	}
	return values
}

// clone copies a snapshot so that Out and Changed can be modified in place. The maps of
// resources are shared; put and drop copy them.
func clone(s *core.Snapshot) *core.Snapshot {
	next := *s
	next.Out = maps.Clone(s.Out)
	next.Changed = maps.Clone(s.Changed)
	return &next
}

// isVisible reports whether a region may see a resource with these home regions.
func isVisible(homeRegions []core.Region, region core.Region) bool {
	return len(homeRegions) == 0 || slices.Contains(homeRegions, region)
}

// isWithin reports whether inner is a subset of outer; an empty list stands for all regions.
func isWithin(inner, outer []core.Region) bool {
	if len(outer) == 0 {
		return true
	}
	if len(inner) == 0 {
		return false
	}
	for _, region := range inner {
		if !slices.Contains(outer, region) {
			return false
		}
	}
	return true
}
