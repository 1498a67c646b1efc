package snap

import (
	"maps"
	"slices"

	"verbenaway/core"
	"verbenaway/core/note"
)

// ToCheckpoint converts a full snapshot to a checkpoint.
func ToCheckpoint(full *core.Snapshot) note.Checkpoint {
	checkpoint := note.Checkpoint{
		Version:   full.Version,
		Hash:      full.Hash,
		ZonesOut:  slices.Sorted(maps.Keys(full.Out)),
		Resources: resourcesOf(full),
		Changed:   changedOf(full),
	}
	for _, refused := range full.Refused {
		checkpoint.Refused = append(checkpoint.Refused, note.RefusedNote(refused))
	}
	return checkpoint
}

// FromCheckpoint converts a checkpoint to the full snapshot that Fold continues from, and
// checks it. Errors have the kind storeMalformed.
func FromCheckpoint(checkpoint note.Checkpoint) (*core.Snapshot, error) {
	s := Empty("")
	s.Version = checkpoint.Version
	s.Hash = checkpoint.Hash
	put(s, checkpoint.Resources)
	for _, zone := range checkpoint.ZonesOut {
		s.Out[zone] = true
	}
	for _, changed := range checkpoint.Changed {
		s.Changed[changed.Key] = changed.Version
	}
	for _, refused := range checkpoint.Refused {
		s.Refused = append(s.Refused, core.RefusedNote(refused))
	}
	if err := Check(s); err != nil {
		return nil, core.Errorf(core.StoreMalformed, "checkpoint: %v", err)
	}
	return s, nil
}

// changedOf lists the entries of s.Changed, sorted by key.
func changedOf(s *core.Snapshot) []note.ChangedResource {
	var changed []note.ChangedResource
	for _, resourceKey := range slices.Sorted(maps.Keys(s.Changed)) {
		changed = append(changed, note.ChangedResource{
			Key:     resourceKey,
			Version: s.Changed[resourceKey],
		})
	}
	return changed
}
