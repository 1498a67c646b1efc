package spread

import (
	"slices"

	"verbenaway/core"
)

// recentSlices holds the latest applied slices in order and without gaps.
type recentSlices struct {
	entries []entry
	bytes   int
}

type entry struct {
	slice core.Slice
	// allRegions is true if the slice holds the parts of all regions.
	allRegions bool
}

// sliceBytes estimates the size of a slice in a message.
func sliceBytes(slice core.Slice) int {
	size := 128 + len(slice.Reason)
	for _, part := range slice.Parts {
		size += 48 + len(part.Contents)
	}
	return size
}

// add appends the slice after the newest entry and removes the oldest beyond the bounds.
func (r *recentSlices) add(slice core.Slice, allRegions bool) {
	r.entries = append(r.entries, entry{
		slice:      slice,
		allRegions: allRegions,
	})
	r.bytes += sliceBytes(slice)
	drop := 0
	for drop < len(r.entries)-1 && (len(r.entries)-drop > maxRecentSlices || r.bytes > maxRecentBytes) {
		r.bytes -= sliceBytes(r.entries[drop].slice)
		drop++
	}
	if drop > 0 {
		r.entries = slices.Delete(r.entries, 0, drop)
	}
}

// reset removes all slices when a snapshot replaces the version in force.
func (r *recentSlices) reset() {
	r.entries = nil
	r.bytes = 0
}

// at returns the entry of a version.
func (r *recentSlices) at(version core.Version) (*entry, bool) {
	if len(r.entries) == 0 || version < r.entries[0].slice.Version {
		return nil, false
	}
	index := int(version - r.entries[0].slice.Version)
	if index >= len(r.entries) {
		return nil, false
	}
	return &r.entries[index], true
}

// replaceRegional replaces the regional slice of a version by one with the parts of all regions.
func (r *recentSlices) replaceRegional(slice core.Slice) {
	if e, ok := r.at(slice.Version); ok && !e.allRegions && e.slice.Hash == slice.Hash {
		r.bytes += sliceBytes(slice) - sliceBytes(e.slice)
		e.slice = slice
		e.allRegions = true
	}
}

// hashAt returns the known hash of a version.
func (m *Machine) hashAt(version core.Version) (core.Hash, bool) {
	if version == m.served.Version {
		return m.served.Hash, true
	}
	if e, ok := m.recent.at(version); ok {
		return e.slice.Hash, true
	}
	if e, ok := m.recent.at(version + 1); ok {
		return e.slice.PreviousHash, true
	}
	return core.Hash{}, false
}

// conflicts reports whether a version is known with another hash.
func (m *Machine) conflicts(version core.Version, hash core.Hash) bool {
	known, ok := m.hashAt(version)
	return ok && known != hash
}

// buffer holds slices that arrived before their predecessors.
type buffer struct {
	slices map[core.Version]core.Slice
	bytes  int
}

// add keeps a slice unless the bounds are reached; a later pull fetches a dropped slice.
func (b *buffer) add(slice core.Slice) {
	size := sliceBytes(slice)
	_, known := b.slices[slice.Version]
	if known || len(b.slices) >= maxBufferedSlices || b.bytes+size > maxBufferedBytes {
		return
	}
	b.slices[slice.Version] = slice
	b.bytes += size
}

// take removes and returns the slice of a version.
func (b *buffer) take(version core.Version) (core.Slice, bool) {
	slice, ok := b.slices[version]
	if ok {
		delete(b.slices, version)
		b.bytes -= sliceBytes(slice)
	}
	return slice, ok
}

// dropUpTo removes the slices up to a version.
func (b *buffer) dropUpTo(version core.Version) {
	for v := range b.slices {
		if v <= version {
			b.take(v)
		}
	}
}
