package note

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
)

// Parse parses and validates the TOML of the note whose key has the given version. Lists of
// regions, availability zones and methods are sorted in the result. Errors are of type *Error
// with the kinds noteSyntax, noteField, noteSize and noteNumber.
func Parse(version core.Version, data []byte) (core.Note, error) {
	var parsed core.Note
	if err := decodeStrict(data, &parsed, "version", "against"); err != nil {
		return core.Note{}, err
	}
	if err := checkVersion(version, parsed); err != nil {
		return core.Note{}, err
	}
	if err := checkNote(&parsed); err != nil {
		return core.Note{}, err
	}
	sortNote(&parsed)
	return parsed, nil
}

// ParseVersion returns the version field of a note that has no key yet. Errors are those of
// Parse except noteNumber.
func ParseVersion(data []byte) (core.Version, error) {
	var parsed core.Note
	if err := decodeStrict(data, &parsed, "version", "against"); err != nil {
		return 0, err
	}
	return parsed.Version, nil
}

// decodeStrict decodes a TOML document of at most core.MaxNoteBytes. It decodes the document
// twice: into a generic tree, in which checkSchema finds the exact path of an unknown key or a
// value of the wrong type, and then into target. The decoder's own errors contain no list
// indexes, and collecting them takes time quadratic in the size of the document.
func decodeStrict(data []byte, target any, required ...string) (err error) {
	if len(data) > core.MaxNoteBytes {
		return &Error{
			Kind:        core.NoteSize,
			Value:       fmt.Sprintf("%d bytes", len(data)),
			Requirement: fmt.Sprintf("must be at most %d bytes", core.MaxNoteBytes),
		}
	}
	// A panic in the decoder would otherwise stop every store reader that folds the note.
	defer func() {
		if cause := recover(); cause != nil {
			err = syntaxError("", "must be valid TOML")
		}
	}()
	if invalid := checkKeys(data); invalid != nil {
		return invalid
	}
	var tree map[string]any
	if err = toml.Unmarshal(data, &tree); err != nil {
		return decodeError(err)
	}
	if invalid := checkSchema(tree, target, required); invalid != nil {
		return invalid
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err = decoder.Decode(target); err != nil {
		return &Error{
			Kind:        core.NoteField,
			Requirement: decodeMessage(err),
		}
	}
	return nil
}

// decodeError converts an error of the TOML decoder, with its position if known.
func decodeError(err error) *Error {
	var located *toml.DecodeError
	if !errors.As(err, &located) {
		return syntaxError("", decodeMessage(err))
	}
	line, column := located.Position()
	return syntaxError(fmt.Sprintf("line %d, column %d", line, column), decodeMessage(err))
}

func decodeMessage(err error) string {
	return string(bytes.TrimPrefix([]byte(err.Error()), []byte("toml: ")))
}

func syntaxError(path, requirement string) *Error {
	return &Error{
		Kind:        core.NoteSyntax,
		Path:        path,
		Requirement: requirement,
	}
}

// checkVersion checks that the note has the version in its key and is written against an
// earlier one.
func checkVersion(version core.Version, parsed core.Note) error {
	if parsed.Version != version {
		return &Error{
			Kind:        core.NoteNumber,
			Path:        "version",
			Value:       fmt.Sprint(parsed.Version),
			Requirement: fmt.Sprintf("must be %d, the number in the key", version),
		}
	}
	if parsed.Against >= parsed.Version {
		return &Error{
			Kind:        core.NoteNumber,
			Path:        "against",
			Value:       fmt.Sprint(parsed.Against),
			Requirement: fmt.Sprintf("must be less than version %d", parsed.Version),
		}
	}
	return nil
}

// sortNote sorts the lists whose order has no meaning.
func sortNote(parsed *core.Note) {
	sortLists(&parsed.Add)
	sortLists(&parsed.Change)
	slices.Sort(parsed.TakeOut)
	slices.Sort(parsed.BringBack)
}

func sortLists(resources *core.Resources) {
	for i := range resources.Regions {
		slices.Sort(resources.Regions[i].AvailabilityZones)
	}
	for i := range resources.Services {
		slices.Sort(resources.Services[i].HomeRegions)
	}
	for i := range resources.Routes {
		slices.Sort(resources.Routes[i].Methods)
		slices.Sort(resources.Routes[i].HomeRegions)
	}
	for i := range resources.Tenants {
		slices.Sort(resources.Tenants[i].HomeRegions)
	}
}
