package snap

import (
	"fmt"

	"verbenaway/core"
	"verbenaway/core/note"
)

// maxConfigurationBytes bounds the whole configuration, so that its checkpoint fits into one value
// of the store and its encodings are within the bounds of the receivers. The remaining 32 KiB
// of the value are reserved for MaxRefused refused notes with reasons of up to maxReasonBytes.
const maxConfigurationBytes = core.MaxNoteBytes - 32<<10

// Upper bounds for the text that surrounds the variable fields in a checkpoint: table headers,
// keys, quotes, numbers and line ends.
const (
	regionOverheadBytes  = 120
	serviceOverheadBytes = 210
	routeOverheadBytes   = 210
	tenantOverheadBytes  = 70
	limitOverheadBytes   = 170
	itemOverheadBytes    = 4
	changedOverheadBytes = 18
)

// configurationBytes returns an upper bound for the size of a checkpoint without refused notes.
func configurationBytes(s *core.Snapshot) int {
	size := 0
	for name, spec := range s.Regions {
		size += regionOverheadBytes + len(name) + listBytes(spec.AvailabilityZones)
	}
	for name, spec := range s.Services {
		size += serviceOverheadBytes + len(name) + listBytes(spec.HomeRegions)
	}
	for name, spec := range s.Routes {
		size += routeOverheadBytes + len(name) + len(spec.Host) + len(spec.PathPrefix) + len(spec.Tenant) +
			len(spec.Service) + listBytes(spec.Methods) + listBytes(spec.HomeRegions)
	}
	for name, spec := range s.Tenants {
		size += tenantOverheadBytes + len(name) + listBytes(spec.HomeRegions)
	}
	for name, spec := range s.Limits {
		size += limitOverheadBytes + len(name) + len(spec.Route) + len(spec.Tenant)
	}
	for zone := range s.Out {
		size += itemOverheadBytes + len(zone)
	}
	for resourceKey := range s.Changed {
		size += changedOverheadBytes + len(resourceKey)
	}
	return size
}

func listBytes[T ~string](items []T) int {
	size := 0
	for _, item := range items {
		size += itemOverheadBytes + len(item)
	}
	return size
}

// checkSize refuses a note that makes the configuration larger than maxConfigurationBytes. A note
// that does not increase the size is never refused for it, so that operators can shrink the
// configuration.
func checkSize(before, after *core.Snapshot) *note.Error {
	size := configurationBytes(after)
	if size <= maxConfigurationBytes || size <= configurationBytes(before) {
		return nil
	}
	return &note.Error{
		Kind:        core.NoteSize,
		Requirement: fmt.Sprintf("the configuration would take %d bytes in a checkpoint; must be at most %d", size, maxConfigurationBytes),
	}
}
