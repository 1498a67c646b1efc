package snap

import (
	"slices"
	"strings"

	"verbenaway/core"
)

// MaxRefused is the largest number of refused notes that a snapshot keeps.
const MaxRefused = 32

// tombstoneVersions is the number of versions after which a full snapshot drops the tombstone of
// a withdrawn resource: its entry in Changed. At 6,400 changes a day, the names of all withdrawn
// resources would exceed the checkpoint size of 1 MB within weeks.
const tombstoneVersions = 1024

// Empty returns the empty snapshot of version 0 for a region, or a full one if region is empty.
func Empty(region core.Region) *core.Snapshot {
	return &core.Snapshot{
		Region:   region,
		Regions:  map[core.Region]core.RegionSpec{},
		Services: map[core.ServiceName]core.ServiceSpec{},
		Routes:   map[core.RouteName]core.RouteSpec{},
		Tenants:  map[core.TenantName]core.TenantSpec{},
		Limits:   map[string]core.LimitSpec{},
		Out:      map[core.AvailabilityZone]bool{},
		Changed:  map[string]core.Version{},
	}
}

// ForRegion restricts a full snapshot to the resources that a region may see. A snapshot that
// is already restricted is returned unchanged for its own region; for any other the result is
// nil, because the snapshot lacks resources of that region. An empty region sees only the
// resources without home regions.
func ForRegion(full *core.Snapshot, region core.Region) *core.Snapshot {
	if full.Region != "" {
		if full.Region != region {
			return nil
		}
		return full
	}
	next := clone(full)
	next.Region = region
	next.Services = filter(full.Services, func(spec core.ServiceSpec) bool { return isVisible(spec.HomeRegions, region) })
	next.Routes = filter(full.Routes, func(spec core.RouteSpec) bool { return isVisible(spec.HomeRegions, region) })
	next.Tenants = filter(full.Tenants, func(spec core.TenantSpec) bool { return isVisible(spec.HomeRegions, region) })
	next.Limits = filter(full.Limits, func(spec core.LimitSpec) bool { return isVisible(limitHomeRegions(full, spec), region) })
	pruneChanged(next)
	return next
}

// filter returns a copy of the map with the values for which keep is true.
func filter[K comparable, V any](m map[K]V, keep func(V) bool) map[K]V {
	kept := make(map[K]V, len(m))
	for name, spec := range m {
		if keep(spec) {
			kept[name] = spec
		}
	}
	return kept
}

// pruneChanged removes, in place, the entries of Changed for resources that do not exist. A
// restricted snapshot keeps none of them, because they name resources of other regions; a full
// one keeps those of the last tombstoneVersions versions, except for availability zones: a change
// of the region can restore a zone without an operation on the zone itself, which would then have
// a version in full snapshots only.
func pruneChanged(s *core.Snapshot) {
	for resourceKey, version := range s.Changed {
		kindName, resourceName, _ := strings.Cut(resourceKey, "/")
		k := key{kind(kindName), resourceName}
		isRetained := s.Region == "" && version+tombstoneVersions >= s.Version && k.kind != kindZone
		if isRetained {
			continue
		}
		if _, exists := homeRegionsOf(s, k); !exists {
			delete(s.Changed, resourceKey)
		}
	}
}

// withRefusal returns the snapshot after a refused note. It differs from the current one only in
// version, hash and the list of refused notes.
func withRefusal(current *core.Snapshot, slice core.Slice) *core.Snapshot {
	next := *current
	next.Version = slice.Version
	next.Hash = slice.Hash
	next.Refused = append(slices.Clone(current.Refused), core.RefusedNote{
		Version: slice.Version,
		Kind:    slice.Verdict,
		Reason:  slice.Reason,
	})
	if surplus := len(next.Refused) - MaxRefused; surplus > 0 {
		next.Refused = slices.Delete(next.Refused, 0, surplus)
	}
	return &next
}
