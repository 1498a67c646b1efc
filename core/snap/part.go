package snap

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"verbenaway/core"
)

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// splitParts returns the parts that describe the change from one snapshot to another. A
// resource whose home regions change is dropped in the part of the old home regions and put in
// the part of the new ones.
func splitParts(before, after *core.Snapshot, changed []key) []core.Part {
	builder := partBuilder{}
	for _, k := range changed {
		old, had := find(before, k)
		now, has := find(after, k)
		if k.kind == kindZone {
			builder.putZone(k, after)
			continue
		}
		if had && (!has || !slices.Equal(old.homeRegions, now.homeRegions)) {
			builder.drop(old.homeRegions, k)
		}
		if has {
			builder.put(now)
		}
	}
	return builder.parts()
}

// partBuilder maps home regions to their changes. The key joins the regions with commas, which
// region names cannot contain.
type partBuilder map[string]*core.PartChange

func (b partBuilder) changeFor(homeRegions []core.Region) *core.PartChange {
	names := make([]string, len(homeRegions))
	for i, region := range homeRegions {
		names[i] = string(region)
	}
	joined := strings.Join(names, ",")
	if b[joined] == nil {
		b[joined] = &core.PartChange{}
	}
	return b[joined]
}

// putZone adds the state of an availability zone, which every region may see.
func (b partBuilder) putZone(k key, after *core.Snapshot) {
	change := b.changeFor(nil)
	zone := core.AvailabilityZone(k.name)
	if after.Out[zone] {
		change.TakeOut = append(change.TakeOut, zone)
	} else {
		change.BringBack = append(change.BringBack, zone)
	}
}

func (b partBuilder) put(r resource) {
	change := b.changeFor(r.homeRegions)
	switch spec := r.spec.(type) {
	case core.RegionSpec:
		change.Put.Regions = append(change.Put.Regions, spec)
	case core.ServiceSpec:
		change.Put.Services = append(change.Put.Services, spec)
	case core.RouteSpec:
		change.Put.Routes = append(change.Put.Routes, spec)
	case core.TenantSpec:
		change.Put.Tenants = append(change.Put.Tenants, spec)
	case core.LimitSpec:
		change.Put.Limits = append(change.Put.Limits, spec)
	}
}

func (b partBuilder) drop(homeRegions []core.Region, k key) {
	names := &b.changeFor(homeRegions).Drop
	switch k.kind {
	case kindRegion:
		names.Regions = append(names.Regions, core.Region(k.name))
	case kindService:
		names.Services = append(names.Services, core.ServiceName(k.name))
	case kindRoute:
		names.Routes = append(names.Routes, core.RouteName(k.name))
	case kindTenant:
		names.Tenants = append(names.Tenants, core.TenantName(k.name))
	case kindLimit:
		names.Limits = append(names.Limits, k.name)
	}
}

func (b partBuilder) parts() []core.Part {
	var parts []core.Part
	for joined, change := range b {
		var homeRegions []core.Region
		for name := range strings.SplitSeq(joined, ",") {
			if name != "" {
				homeRegions = append(homeRegions, core.Region(name))
			}
		}
		contents := encodeChange(*change)
		parts = append(parts, core.Part{
			HomeRegions: homeRegions,
			Digest:      sha256.Sum256(contents),
			Contents:    contents,
		})
	}
	slices.SortFunc(parts, func(a, b core.Part) int {
		return slices.Compare(a.HomeRegions, b.HomeRegions)
	})
	return parts
}

// encodeChange returns the canonical encoding. Encoding cannot fail, since the fields are
// strings and numbers in checked ranges.
func encodeChange(change core.PartChange) []byte {
	contents, err := encodeJSON(change)
	if err != nil {
		panic(err)
	}
	return contents
}

// decodeChange decodes a change and rejects any encoding but the canonical one.
func decodeChange(contents []byte) (core.PartChange, error) {
	var change core.PartChange
	if err := decodeJSON(contents, &change); err != nil {
		return core.PartChange{}, err
	}
	canonical, err := encodeJSON(change)
	if err != nil {
		return core.PartChange{}, err
	}
	if !bytes.Equal(canonical, contents) {
		return core.PartChange{}, errors.New("not in canonical form")
	}
	return change, nil
}

// chainHash returns the SHA-256 digest of the previous hash, the version, the verdict and the
// home regions and digests of the parts. Strings and lists are preceded by their length, so
// that slices that differ in these fields have different inputs.
func chainHash(slice core.Slice) core.Hash {
	input := slice.PreviousHash[:]
	input = binary.BigEndian.AppendUint64(slices.Clone(input), uint64(slice.Version))
	input = appendText(input, string(slice.Verdict))
	input = binary.BigEndian.AppendUint32(input, uint32(len(slice.Parts)))
	for _, part := range slice.Parts {
		input = binary.BigEndian.AppendUint32(input, uint32(len(part.HomeRegions)))
		for _, region := range part.HomeRegions {
			input = appendText(input, string(region))
		}
		input = append(input, part.Digest[:]...)
	}
	return sha256.Sum256(input)
}

func appendText(input []byte, text string) []byte {
	input = binary.BigEndian.AppendUint32(input, uint32(len(text)))
	return append(input, text...)
}

// Restrict returns the slice without the contents of the parts that a region may not see.
func Restrict(slice core.Slice, region core.Region) core.Slice {
	restricted := slice
	restricted.Parts = slices.Clone(slice.Parts)
	for i, part := range restricted.Parts {
		if !isVisible(part.HomeRegions, region) {
			restricted.Parts[i].Contents = nil
		}
	}
	return restricted
}
