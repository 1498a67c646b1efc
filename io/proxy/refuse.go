package proxy

import (
	"fmt"
	"net/http"

	"verbenaway/core"
)

// Refuse answers a request with the status and name of an error kind, the outcome (whether it is
// certain that the request did not run) and one line of text.
func Refuse(w http.ResponseWriter, kind core.ErrorKind, detail string) {
	refuseWithStatus(w, kind, kind.Info().Status, detail)
}

// refuseWithStatus is Refuse with a given status, since a Dialect may choose another one.
func refuseWithStatus(w http.ResponseWriter, kind core.ErrorKind, status int, detail string) {
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
