package note

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
)

// Checkpoint is the whole configuration at one version, with everything that snap.Fold needs
// to apply the next note.
type Checkpoint struct {
	Version core.Version `toml:"version"`
	// Hash is the chain hash of Version.
	Hash core.Hash `toml:"hash"`
	// ZonesOut lists the availability zones that are out of service.
	ZonesOut  []core.AvailabilityZone `toml:"out,omitempty"`
	Resources core.Resources          `toml:"resources"`
	// Changed is core.Snapshot.Changed, sorted by key.
	Changed []ChangedResource `toml:"changed,omitempty"`
	// Refused is core.Snapshot.Refused.
	Refused []RefusedNote `toml:"refused,omitempty"`
}

// ChangedResource is one entry of core.Snapshot.Changed, encoded as text such as
// "route/lookupNets 42". A TOML table would need one key per resource, and the decoder's
// run time is quadratic in the number of keys of a table.
type ChangedResource struct {
	// Key is "kind/name".
	Key     string
	Version core.Version
}

// MarshalText returns the key and the version, separated by a space.
func (c ChangedResource) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s %d", c.Key, c.Version), nil
}

// UnmarshalText parses a key and a version, separated by a space.
func (c *ChangedResource) UnmarshalText(text []byte) error {
	key, digits, _ := strings.Cut(string(text), " ")
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !resourceKeyPattern.MatchString(key) {
		return errors.New("expected kind/name and a version")
	}
	c.Key = key
	c.Version = core.Version(version)
	return nil
}

// RefusedNote is core.RefusedNote with TOML field names.
type RefusedNote struct {
	Version core.Version   `toml:"version"`
	Kind    core.ErrorKind `toml:"kind"`
	Reason  string         `toml:"reason"`
}

// ParseCheckpoint parses a checkpoint and validates each field on its own. Errors are of type
// *Error with the kinds noteSyntax, noteField and noteSize.
func ParseCheckpoint(data []byte) (Checkpoint, error) {
	var parsed Checkpoint
	if err := decodeStrict(data, &parsed, "version", "hash"); err != nil {
		return Checkpoint{}, err
	}
	c := &checker{
		paths: map[string]string{},
	}
	c.resources("resources", parsed.Resources)
	c.zones("out", parsed.ZonesOut)
	if err := c.result(); err != nil {
		return Checkpoint{}, err
	}
	sortLists(&parsed.Resources)
	return parsed, nil
}

// EncodeCheckpoint encodes a checkpoint as TOML. The error has the kind noteSize if the
// checkpoint is too large for the store.
func EncodeCheckpoint(checkpoint Checkpoint) ([]byte, error) {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(checkpoint); err != nil {
		return nil, core.Errorf(core.Internal, "encoding checkpoint %d: %v", checkpoint.Version, err)
	}
	if text.Len() > core.MaxNoteBytes {
		return nil, &Error{
			Kind:        core.NoteSize,
			Path:        "checkpoint",
			Value:       fmt.Sprintf("%d bytes", text.Len()),
			Requirement: fmt.Sprintf("must be at most %d bytes", core.MaxNoteBytes),
		}
	}
	return text.Bytes(), nil
}
