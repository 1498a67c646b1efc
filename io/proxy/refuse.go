package proxy

import (
	"fmt"
	"net/http"

	"verbenaway/core"
)

// Refuse answers with an error kind: its status, the kind, whether it is certain that the
// request did not run, and one line of text.
func Refuse(w http.ResponseWriter, kind core.Kind, detail string) {
	refuseAs(w, kind, kind.Info().Status, detail)
}

// refuseAs is Refuse with another status, for callers that know other ones.
func refuseAs(w http.ResponseWriter, kind core.Kind, status int, detail string) {
	info := kind.Info()
	outcome := OutcomeUnknown
	if info.NotRun {
		outcome = OutcomeNotRun
	}
	header := w.Header()
	header.Set(HeaderError, string(info.Kind))
	header.Set(HeaderOutcome, outcome)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s (%s): %s\n", info.Kind, outcome, detail)
}
