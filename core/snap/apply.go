package snap

import (
	"crypto/sha256"
	"slices"

	"verbenaway/core"
	"verbenaway/core/note"
)

// Apply returns the snapshot after a slice, which must be restricted to the region of the
// current snapshot. Errors have the kind peerFork if the slice belongs to another history, and
// peerMalformed otherwise.
func Apply(current *core.Snapshot, slice core.Slice) (*core.Snapshot, error) {
	if err := checkChain(current, slice); err != nil {
		return nil, err
	}
	if slice.Verdict != "" {
		return withRefusal(current, slice), nil
	}
	next := clone(current)
	next.Version = slice.Version
	next.Hash = slice.Hash
	var changes []core.PartChange
	for _, part := range slice.Parts {
		if current.Region != "" && !isVisible(part.HomeRegions, current.Region) {
			continue
		}
		change, err := readPart(slice.Version, part)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	// A resource that moves between parts is dropped in one and put in the other, so all drops
	// are applied before all puts.
	for _, change := range changes {
		if err := dropExisting(next, change.Drop); err != nil {
			return nil, err
		}
	}
	for _, change := range changes {
		putChange(next, change)
	}
	// Single fields need no check here: those of the current snapshot were checked earlier, and
	// readPart has checked the new ones.
	if found := validate(next); found != nil {
		return nil, found.malformedError(next.Version)
	}
	pruneChanged(next)
	return next, nil
}

func malformedError(version core.Version, format string, args ...any) error {
	return core.Errorf(core.PeerMalformed, "version %d: "+format, append([]any{version}, args...)...)
}

// checkChain checks the version, previous hash, chain hash and verdict of a slice, and the
// order and digests of its parts.
func checkChain(current *core.Snapshot, slice core.Slice) error {
	if slice.Version == current.Version && slice.Hash != current.Hash {
		return core.Errorf(core.PeerFork, "version %d has hash %s, but the local hash is %s", slice.Version, slice.Hash, current.Hash)
	}
	if slice.Version != current.Version+1 {
		return malformedError(slice.Version, "cannot follow version %d", current.Version)
	}
	if slice.PreviousHash != current.Hash {
		return core.Errorf(core.PeerFork, "version %d follows hash %s, but the local hash is %s", slice.Version, slice.PreviousHash, current.Hash)
	}
	if chainHash(slice) != slice.Hash {
		return malformedError(slice.Version, "chain hash does not match the slice")
	}
	if err := checkVerdict(slice); err != nil {
		return err
	}
	for i, part := range slice.Parts {
		if i > 0 && slices.Compare(slice.Parts[i-1].HomeRegions, part.HomeRegions) >= 0 {
			return malformedError(slice.Version, "parts are not sorted by home regions")
		}
		if err := checkPart(current.Region, slice.Version, part); err != nil {
			return err
		}
	}
	return nil
}

func checkVerdict(slice core.Slice) error {
	if slice.Verdict == "" {
		if slice.Reason != "" {
			return malformedError(slice.Version, "reason without verdict")
		}
		return nil
	}
	if !isVerdict(slice.Verdict) {
		return malformedError(slice.Version, "unknown verdict")
	}
	if len(slice.Parts) != 0 || len(slice.Reason) > maxReasonBytes {
		return malformedError(slice.Version, "refused note with parts or with a reason over %d bytes", maxReasonBytes)
	}
	return nil
}

// checkPart checks that the contents are present exactly if the region may see them, and that
// they match the digest.
func checkPart(region core.Region, version core.Version, part core.Part) error {
	visible := region == "" || isVisible(part.HomeRegions, region)
	if visible != (part.Contents != nil) {
		return malformedError(version, "part for home regions %v: contents present is %t, must be %t", part.HomeRegions, part.Contents != nil, visible)
	}
	if visible && sha256.Sum256(part.Contents) != part.Digest {
		return malformedError(version, "part for home regions %v does not match its digest", part.HomeRegions)
	}
	return nil
}

// readPart decodes the contents of a part and checks their fields and home regions. Limits have
// no home regions of their own.
func readPart(version core.Version, part core.Part) (core.PartChange, error) {
	change, err := decodeChange(part.Contents)
	if err != nil {
		return core.PartChange{}, malformedError(version, "part for home regions %v: %v", part.HomeRegions, err)
	}
	if err = note.CheckResources("put", change.Put); err != nil {
		return core.PartChange{}, malformedError(version, "part for home regions %v: %v", part.HomeRegions, err)
	}
	for _, homeRegions := range listHomeRegions(change.Put) {
		if !slices.Equal(homeRegions, part.HomeRegions) {
			return core.PartChange{}, malformedError(version, "part for home regions %v holds a resource of %v", part.HomeRegions, homeRegions)
		}
	}
	unrestricted := len(change.Put.Regions) + len(change.Drop.Regions) + len(change.TakeOut) + len(change.BringBack)
	if len(part.HomeRegions) > 0 && unrestricted > 0 {
		return core.PartChange{}, malformedError(version, "part for home regions %v holds a region or availability zone", part.HomeRegions)
	}
	return change, nil
}

func listHomeRegions(resources core.Resources) [][]core.Region {
	var homeRegions [][]core.Region
	for _, spec := range resources.Services {
		homeRegions = append(homeRegions, spec.HomeRegions)
	}
	for _, spec := range resources.Routes {
		homeRegions = append(homeRegions, spec.HomeRegions)
	}
	for _, spec := range resources.Tenants {
		homeRegions = append(homeRegions, spec.HomeRegions)
	}
	return homeRegions
}

func dropExisting(next *core.Snapshot, names core.ResourceNames) error {
	for _, k := range keysOfNames(names) {
		if _, ok := homeRegionsOf(next, k); !ok {
			return malformedError(next.Version, "drops %s, which does not exist", k)
		}
		next.Changed[k.String()] = next.Version
	}
	drop(next, names)
	return nil
}

func putChange(next *core.Snapshot, change core.PartChange) {
	put(next, change.Put)
	for _, k := range keysOf(change.Put) {
		next.Changed[k.String()] = next.Version
	}
	for _, zone := range change.TakeOut {
		next.Out[zone] = true
		next.Changed[key{kindZone, string(zone)}.String()] = next.Version
	}
	for _, zone := range change.BringBack {
		delete(next.Out, zone)
		next.Changed[key{kindZone, string(zone)}.String()] = next.Version
	}
}
