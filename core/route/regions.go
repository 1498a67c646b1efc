package route

import (
	"slices"
	"strings"

	"verbenaway/core"
)

// RegionSet is the set of regions that may serve a request. It is immutable.
type RegionSet struct {
	isUnrestricted bool
	regions        []core.Region
	text           string
}

// newRegionSet returns the set for a list of the configuration, where an empty list allows all
// regions.
func newRegionSet(regions []core.Region) *RegionSet {
	if len(regions) == 0 {
		return &RegionSet{
			isUnrestricted: true,
		}
	}
	return regionSetOf(regions)
}

// regionSetOf returns the set of exactly the listed regions.
func regionSetOf(regions []core.Region) *RegionSet {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	names := make([]string, len(sorted))
	for i, region := range sorted {
		names[i] = string(region)
	}
	return &RegionSet{
		regions: sorted,
		text:    strings.Join(names, ","),
	}
}

// IsUnrestricted reports whether every region may serve the request.
func (s *RegionSet) IsUnrestricted() bool {
	return s.isUnrestricted
}

// Allows reports whether a region may serve the request.
func (s *RegionSet) Allows(region core.Region) bool {
	return s.isUnrestricted || slices.Contains(s.regions, region)
}

// Regions returns the sorted regions, nil if all are allowed. Callers must not modify the result.
func (s *RegionSet) Regions() []core.Region {
	return s.regions
}

// String returns the sorted regions separated by commas, "" if all are allowed.
func (s *RegionSet) String() string {
	return s.text
}

// intersect returns the regions in both sets, which may be none.
func (s *RegionSet) intersect(other *RegionSet) *RegionSet {
	switch {
	case s.isUnrestricted:
		return other
	case other.isUnrestricted:
		return s
	}
	var both []core.Region
	for _, region := range s.regions {
		if other.Allows(region) {
			both = append(both, region)
		}
	}
	return regionSetOf(both)
}
