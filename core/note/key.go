package note

import (
	"fmt"
	"strconv"
	"strings"

	"verbenaway/core"
)

// KeyPrefix is the common prefix of the keys of all notes in the store.
const KeyPrefix = "notes/"

// CheckpointKey is the key of the newest checkpoint.
const CheckpointKey = "checkpoints/latest"

// keyDigits is the fixed width of the version in a key, so that keys sort by version.
const keyDigits = 10

// MaxVersion is the largest version that a key can hold.
const MaxVersion core.Version = 9_999_999_999

// Key returns the store key of the note with a version, such as "notes/0000000042".
func Key(version core.Version) string {
	return fmt.Sprintf("%s%0*d", KeyPrefix, keyDigits, version)
}

// KeyVersion returns the version in a key. It accepts exactly the keys that Key returns for
// versions from 1 to MaxVersion; errors have the kind noteNumber.
func KeyVersion(key string) (core.Version, error) {
	digits, ok := strings.CutPrefix(key, KeyPrefix)
	version, err := strconv.ParseUint(digits, 10, 64)
	if !ok || err != nil || len(digits) != keyDigits || version == 0 {
		return 0, &Error{
			Kind:        core.NoteNumber,
			Path:        "key",
			Value:       strconv.Quote(key),
			Requirement: "must be notes/ and ten digits, from notes/0000000001 on",
		}
	}
	return core.Version(version), nil
}
