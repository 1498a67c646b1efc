package note

import (
	"strings"

	"verbenaway/core"
)

// maxErrorTextBytes bounds each path and value in an error. Every daemon stores the reason of a
// refused note, and without the bound a note of 1 MB could produce a reason of 1 MB.
const maxErrorTextBytes = 200

// Error describes why a note or checkpoint is invalid.
type Error struct {
	Kind core.ErrorKind
	// Path is the position in the note, such as "add.route[2].timeout", with indexes from 0.
	// It may be empty.
	Path string
	// Value describes the invalid value, if there is one. It may contain names of resources
	// with home regions and must never be sent to other regions.
	Value string
	// Requirement states what is accepted. It contains no resource names.
	Requirement string
}

// Error returns the kind, path, value and requirement on one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.detail()
}

// Unwrap returns the equivalent *core.Error.
func (e *Error) Unwrap() error {
	return &core.Error{
		Kind:   e.Kind,
		Detail: e.detail(),
	}
}

// Reason returns the path and the requirement. Reasons are sent to all regions, so they
// contain neither the invalid value nor resource names.
func (e *Error) Reason() string {
	return joinNonEmpty(e.Path, e.Requirement)
}

func (e *Error) detail() string {
	return joinNonEmpty(e.Path, e.Value, e.Requirement)
}

func joinNonEmpty(texts ...string) string {
	var line []string
	for _, text := range texts {
		if text != "" {
			line = append(line, sanitizeLine(text))
		}
	}
	return strings.Join(line, ": ")
}

// sanitizeLine truncates the text to maxErrorTextBytes and replaces invalid UTF-8, control
// characters and Unicode line breaks.
func sanitizeLine(text string) string {
	const ellipsis = "..."
	if len(text) > maxErrorTextBytes {
		text = text[:maxErrorTextBytes-len(ellipsis)] + ellipsis
	}
	text = strings.ToValidUTF8(text, "?")
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == 0x85 || r == 0x2028 || r == 0x2029 {
			return '?'
		}
		return r
	}, text)
}
