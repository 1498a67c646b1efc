package snap

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"

	"verbenaway/core"
	"verbenaway/core/note"
)

// Bounds of encoded snapshots and parts. Fold limits the configuration to a checkpoint of 1 MB,
// and its JSON is within all of these bounds. Objects and items have bounds of their own because {}
// with its comma takes 3 bytes of JSON but over 150 bytes of memory.
const (
	maxDecompressedBytes = 4 << 20
	maxCompressedBytes   = 4 << 20
	maxObjects           = 32 << 10
	maxItems             = 320 << 10
	// More than the entries that fit into maxConfigurationBytes.
	maxChangedEntries = 64 << 10
)

// snapshotJSON is the canonical JSON representation of a snapshot.
type snapshotJSON struct {
	Version   core.Version            `json:"version"`
	Hash      core.Hash               `json:"hash"`
	Region    core.Region             `json:"region"`
	Resources core.Resources          `json:"resources"`
	ZonesOut  []core.AvailabilityZone `json:"out,omitempty"`
	Changed   changedList             `json:"changed,omitempty"`
	Refused   []core.RefusedNote      `json:"refused,omitempty"`
}

// changedList limits the number of its entries before it allocates memory for them.
type changedList []note.ChangedResource

// UnmarshalJSON decodes at most maxChangedEntries entries.
func (l *changedList) UnmarshalJSON(data []byte) error {
	if bytes.Count(data, []byte(",")) >= maxChangedEntries {
		return fmt.Errorf("changed has over %d entries", maxChangedEntries)
	}
	return json.Unmarshal(data, (*[]note.ChangedResource)(l))
}

var zstdEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(1<<20),
	)
})

var zstdDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecompressedBytes),
	)
})

// Encode returns the canonical JSON of a snapshot, compressed with zstd.
func Encode(s *core.Snapshot) ([]byte, error) {
	plain, err := encodeJSON(snapshotJSON{
		Version:   s.Version,
		Hash:      s.Hash,
		Region:    s.Region,
		Resources: resourcesOf(s),
		ZonesOut:  slices.Sorted(maps.Keys(s.Out)),
		Changed:   changedOf(s),
		Refused:   s.Refused,
	})
	if err == nil {
		err = checkBounds(plain)
	}
	if err != nil {
		return nil, core.Errorf(core.Internal, "encoding snapshot %d: %v", s.Version, err)
	}
	writer, err := zstdEncoder()
	if err != nil {
		return nil, core.Errorf(core.Internal, "encoding snapshot %d: %v", s.Version, err)
	}
	return writer.EncodeAll(plain, nil), nil
}

// Decode decodes and checks the output of Encode. Its memory use is bounded for any input.
// Errors in the input have the kind peerMalformed.
func Decode(data []byte) (*core.Snapshot, error) {
	if len(data) > maxCompressedBytes {
		return nil, core.Errorf(core.PeerMalformed, "snapshot has %d bytes, at most %d are accepted", len(data), maxCompressedBytes)
	}
	reader, err := zstdDecoder()
	if err != nil {
		return nil, core.Errorf(core.Internal, "decoding snapshot: %v", err)
	}
	plain, err := reader.DecodeAll(data, nil)
	if err != nil {
		return nil, core.Errorf(core.PeerMalformed, "snapshot cannot be decompressed: %v", err)
	}
	var decoded snapshotJSON
	if err = decodeJSON(plain, &decoded); err != nil {
		return nil, core.Errorf(core.PeerMalformed, "the JSON of the snapshot is not accepted: %v", err)
	}
	s := buildSnapshot(decoded)
	if err = Check(s); err != nil {
		return nil, err
	}
	return s, nil
}

// buildSnapshot converts the decoded JSON. Of resources with the same name the last one is kept.
func buildSnapshot(decoded snapshotJSON) *core.Snapshot {
	s := Empty(decoded.Region)
	s.Version = decoded.Version
	s.Hash = decoded.Hash
	put(s, decoded.Resources)
	for _, zone := range decoded.ZonesOut {
		s.Out[zone] = true
	}
	for _, changed := range decoded.Changed {
		s.Changed[changed.Key] = changed.Version
	}
	s.Refused = decoded.Refused
	return s
}

// encodeJSON does not escape <, > and &: escaping could make a path prefix of 1,024 bytes six
// times as long and exceed the bounds of the receiver.
func encodeJSON(value any) ([]byte, error) {
	var text bytes.Buffer
	writer := json.NewEncoder(&text)
	writer.SetEscapeHTML(false)
	if err := writer.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(text.Bytes(), []byte("\n")), nil
}

// decodeJSON decodes exactly one JSON value within the bounds and rejects unknown fields.
func decodeJSON(plain []byte, target any) error {
	if err := checkBounds(plain); err != nil {
		return err
	}
	reader := json.NewDecoder(bytes.NewReader(plain))
	reader.DisallowUnknownFields()
	if err := reader.Decode(target); err != nil {
		return err
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// checkBounds estimates the numbers of objects and items by counting braces and commas. Those
// inside strings count too, which only makes the check stricter.
func checkBounds(plain []byte) error {
	objects, items := bytes.Count(plain, []byte("{")), bytes.Count(plain, []byte(","))
	if len(plain) > maxDecompressedBytes || objects > maxObjects || items > maxItems {
		return fmt.Errorf("%d bytes, %d objects and %d items, at most %d, %d and %d are accepted",
			len(plain), objects, items, maxDecompressedBytes, maxObjects, maxItems)
	}
	return nil
}
