package snap_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"verbenaway/core"
)

var (
	allRegions = []core.Region{"canterbury", "otago", "westCoast"}
	allZones   = []core.AvailabilityZone{"canterbury-1", "otago-1", "otago-2", "westCoast-1"}
)

// baseNote returns note 1 of all generated sequences, which adds the regions.
func baseNote() core.Note {
	return core.Note{
		Version: 1,
		Add: core.Resources{
			Regions: []core.RegionSpec{
				{Name: "canterbury", AvailabilityZones: []core.AvailabilityZone{"canterbury-1"}},
				{Name: "otago", AvailabilityZones: []core.AvailabilityZone{"otago-1", "otago-2"}},
				{Name: "westCoast", AvailabilityZones: []core.AvailabilityZone{"westCoast-1"}},
			},
		},
	}
}

func encodeNote(written core.Note) []byte {
	data, err := toml.Marshal(written)
	if err != nil {
		panic(err)
	}
	return data
}

// genHomeRegions draws home regions, mostly a subset of within, so that references are valid.
func genHomeRegions(t *rapid.T, within []core.Region) []core.Region {
	if rapid.IntRange(0, 3).Draw(t, "within") != 0 && len(within) > 0 {
		count := rapid.IntRange(1, len(within)).Draw(t, "homes")
		return slices.Clone(within[:count])
	}
	count := rapid.SampledFrom([]int{0, 0, 1, 2, 3}).Draw(t, "homes")
	homeRegions := slices.Clone(rapid.Permutation(allRegions).Draw(t, "order")[:count])
	slices.Sort(homeRegions)
	return homeRegions
}

// genName draws the name of an existing resource, or sometimes other.
func genName[K ~string, V any](t *rapid.T, existing map[K]V, other K) K {
	if len(existing) == 0 || rapid.IntRange(0, 9).Draw(t, "other") == 0 {
		return other
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(existing))).Draw(t, "existing")
}

func genService(t *rapid.T, name core.ServiceName) core.ServiceSpec {
	return core.ServiceSpec{
		Name:        name,
		Slots:       rapid.IntRange(1, 3).Draw(t, "slots"),
		Connections: 3,
		ColdSlots:   1,
		HomeRegions: genHomeRegions(t, nil),
	}
}

func genRoute(t *rapid.T, s *core.Snapshot, name core.RouteName) core.RouteSpec {
	service := genName(t, s.Services, "service0")
	var tenant core.TenantName
	if rapid.Bool().Draw(t, "ofTenant") {
		tenant = genName(t, s.Tenants, "tenant0")
	}
	within := s.Services[service].HomeRegions
	if len(within) == 0 {
		within = s.Tenants[tenant].HomeRegions
	}
	return core.RouteSpec{
		Name:        name,
		Host:        "netbook.example",
		PathPrefix:  rapid.SampledFrom([]string{"/", "/nets", "/nets/a", "/b", "/c"}).Draw(t, "prefix"),
		Methods:     []string{"GET"},
		Tenant:      tenant,
		Service:     service,
		Class:       core.ClassLookup,
		Timeout:     core.Duration(1e9),
		HomeRegions: genHomeRegions(t, within),
	}
}

func genLimit(t *rapid.T, s *core.Snapshot, name string) core.LimitSpec {
	spec := core.LimitSpec{
		Name:              name,
		RequestsPerSecond: 10,
		Burst:             1,
		Concurrent:        rapid.IntRange(1, 2).Draw(t, "concurrent"),
	}
	if rapid.Bool().Draw(t, "ofRoute") {
		spec.Route = genName(t, s.Routes, "route0")
	} else {
		spec.Tenant = genName(t, s.Tenants, "tenant0")
	}
	return spec
}

// genChange draws one or two actions. Most of them are valid in the current state, so that not
// every note of a long sequence is refused.
func genChange(t *rapid.T, s *core.Snapshot, written *core.Note) {
	for range rapid.IntRange(1, 2).Draw(t, "actions") {
		index := rapid.IntRange(0, 2).Draw(t, "index")
		withdraw := rapid.IntRange(0, 6).Draw(t, "withdraw") == 0
		isValid := rapid.IntRange(0, 9).Draw(t, "fits") != 0
		list := func(exists bool) *core.Resources {
			if exists == isValid {
				return &written.Change
			}
			return &written.Add
		}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			name := core.ServiceName(fmt.Sprintf("service%d", index%2))
			if _, exists := s.Services[name]; withdraw && exists == isValid {
				written.Withdraw.Services = append(written.Withdraw.Services, name)
			} else {
				list(exists).Services = append(list(exists).Services, genService(t, name))
			}
		case 1:
			name := core.RouteName(fmt.Sprintf("route%d", index))
			if _, exists := s.Routes[name]; withdraw && exists == isValid {
				written.Withdraw.Routes = append(written.Withdraw.Routes, name)
			} else {
				list(exists).Routes = append(list(exists).Routes, genRoute(t, s, name))
			}
		case 2:
			name := core.TenantName(fmt.Sprintf("tenant%d", index%2))
			if _, exists := s.Tenants[name]; withdraw && exists == isValid {
				written.Withdraw.Tenants = append(written.Withdraw.Tenants, name)
			} else {
				list(exists).Tenants = append(list(exists).Tenants, core.TenantSpec{Name: name, HomeRegions: genHomeRegions(t, nil)})
			}
		case 3:
			name := fmt.Sprintf("limit%d", index)
			if _, exists := s.Limits[name]; withdraw && exists == isValid {
				written.Withdraw.Limits = append(written.Withdraw.Limits, name)
			} else {
				list(exists).Limits = append(list(exists).Limits, genLimit(t, s, name))
			}
		case 4:
			written.Change.Regions = append(written.Change.Regions, core.RegionSpec{
				Name:              "otago",
				AvailabilityZones: allZones[1 : 2+index%2],
			})
		case 5:
			zone := rapid.SampledFrom(allZones).Draw(t, "zone")
			if s.Out[zone] == isValid {
				written.BringBack = append(written.BringBack, zone)
			} else {
				written.TakeOut = append(written.TakeOut, zone)
			}
		}
	}
}

// genNote draws the next note after s: usually written against the newest version, sometimes
// against any version or broken.
func genNote(t *rapid.T, s *core.Snapshot) []byte {
	if rapid.IntRange(0, 19).Draw(t, "broken") == 0 {
		return []byte("version = ")
	}
	written := core.Note{
		Version: s.Version + 1,
		Against: s.Version,
	}
	if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
		written.Against = core.Version(rapid.Uint64Range(0, uint64(s.Version)).Draw(t, "against"))
	}
	genChange(t, s, &written)
	return encodeNote(written)
}
