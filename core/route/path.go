package route

import (
	"net/url"
	"strings"
)

// keepSlashes escapes escaped slashes once more, so that they stay escaped when the path is decoded.
var keepSlashes = strings.NewReplacer("%2F", "%252F", "%2f", "%252F")

// DecodedPath returns the path of a URL for Request.Path, where prefixes are not literal. An escaped slash is
// a part of a segment and stays escaped.
func DecodedPath(u *url.URL) string {
	if u.RawPath == "" {
		// Path has no escaped slash.
		return u.Path
	}
	path, err := url.PathUnescape(keepSlashes.Replace(u.RawPath))
	if err != nil {
		// Not even net/url could have decoded it; no prefix matches an escape.
		return u.RawPath
	}
	return path
}
