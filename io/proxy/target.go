package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// literalPath returns the path of a request as its sender wrote it. An escaped slash is a part of a segment
// there, so that the path may have another route than its decoded form.
func literalPath(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(target, "/") {
		return target
	}
	// The absolute form has a scheme and a host before the path.
	_, rest, isAbsolute := strings.Cut(target, "://")
	if !isAbsolute {
		return r.URL.EscapedPath()
	}
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		return rest[slash:]
	}
	return "/"
}

// forwardedURL returns the URL by which a request is sent on to an address. The path stays as it is:
// net/url would escape some bytes that the sender did not.
func forwardedURL(r *http.Request, address string) *url.URL {
	forwarded := &url.URL{
		Scheme:     "http",
		Host:       address,
		Path:       r.URL.Path,
		RawPath:    r.URL.RawPath,
		RawQuery:   r.URL.RawQuery,
		ForceQuery: r.URL.ForceQuery,
	}
	// An opaque target with two slashes would get a scheme.
	if path := literalPath(r); path != forwarded.EscapedPath() && strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		forwarded.Opaque = path
	}
	return forwarded
}
