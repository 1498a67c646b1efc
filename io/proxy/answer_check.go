package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// The range of final statuses. http.Transport consumes informational answers itself, and 101 would only
// answer an Upgrade, which is never forwarded.
const (
	minStatus = 200
	maxStatus = 599
)

// checkHead returns an error for the head of an answer that http.Transport accepts although it is none in
// HTTP/1.1: its framing may be another one than was meant, and it could not be passed on unchanged.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Newf("status %q", response.Status)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return errors.Newf("status line %q", response.Status)
	}
	if response.ProtoMajor != 1 {
		return errors.Newf("version %q", response.Proto)
	}
	// The transport ignores chunks in HTTP/1.0, so that their framing would become a part of the body.
	if response.ProtoMinor == 0 && response.ContentLength < 0 {
		return errors.Newf("version %q without a length", response.Proto)
	}
	if length := firstValue(response.Header, "Content-Length"); response.StatusCode == http.StatusNoContent && length != "" && length != "0" {
		return errors.Newf("status %q with %s bytes", response.Status, length)
	}
	return checkFieldNames(response.Header)
}

// checkFieldNames returns an error for names that are no token. Where a blank is in front of the colon, the
// transport keeps the name but overlooks what the field means, also for the framing.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("field name %q", name)
		}
	}
	return nil
}
