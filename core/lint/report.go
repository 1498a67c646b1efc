package lint

import (
	"fmt"
	"strings"
)

// Report is the result of a check for output.
type Report struct {
	// Errors are the reasons why the configuration, or a part of it, is refused.
	Errors   []string  `json:"errors,omitempty"`
	Findings []Finding `json:"findings,omitempty"`
	// Changes is empty if there was no configuration to compare with.
	Changes []Change `json:"changes,omitempty"`
}

// IsOK reports whether nothing is refused and no finding is an error.
func (r *Report) IsOK() bool {
	return len(r.Errors) == 0 && !HasError(r.Findings)
}

// Text returns a line for each error, finding and change.
func (r *Report) Text() string {
	var text strings.Builder
	for _, line := range r.Errors {
		text.WriteString(line + "\n")
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s: %s: %s: %s\n", f.Severity, f.Subject, f.Rule, f.Detail)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(&text, "%s: %s", change.Action, change.Subject)
		for i, field := range change.Fields {
			separator := ", "
			if i == 0 {
				separator = ": "
			}
			fmt.Fprintf(&text, "%s%s %s -> %s", separator, field.Field, field.Before, field.After)
		}
		text.WriteString("\n")
	}
	return text.String()
}
