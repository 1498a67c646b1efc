package note

import (
	"net/http"
	"regexp"
	"strings"
	"time"

	"verbenaway/core"
)

// Ranges of the fields, documented in docs/notes.md.
const (
	maxCommentBytes       = 2000
	maxListItems          = 64
	maxHostBytes          = 253
	maxPathBytes          = 1024
	maxSlots              = 10_000
	maxConnections        = 100_000
	maxBurst              = 1_000_000
	maxConcurrentRequests = 1_000_000
	minRequestsPerSecond  = 0.001
	maxRequestsPerSecond  = 1_000_000
	// Far above the 4 Gbit/s (500 MB/s) of the links between regions.
	maxCrossRegionBytesPerSecond = 1_000_000_000_000

	maxWarmUp  = core.Duration(time.Hour)
	minTimeout = core.Duration(time.Millisecond)
	maxTimeout = core.Duration(time.Hour)
)

const (
	nameRequirement       = "must be 1 to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit"
	pathPrefixRequirement = "must begin with / and have no empty, . or .. segment, no % escape and no / at the end"
	methodsRequirement    = "must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
	classesRequirement    = "must be one of lookup, order, bulk"
	rateRequirement       = "must be from 0.001 to 1000000"
)

var (
	bareKeyPattern     = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)
	namePattern        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hostPattern        = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	resourceKeyPattern = regexp.MustCompile(`^(region|service|route|tenant|limit|availabilityZone)/[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	pathSegmentPattern = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,;=:@-]+$`)
)

var allowedMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
	http.MethodOptions,
}

var allowedClasses = []core.RequestClass{
	core.ClassLookup,
	core.ClassOrder,
	core.ClassBulk,
}

// isCanonicalPathPrefix reports whether a prefix is in canonical form. With other forms, such as
// a trailing slash, two routes could match the same requests without being detected as
// overlapping.
func isCanonicalPathPrefix(prefix string) bool {
	rest, ok := strings.CutPrefix(prefix, "/")
	if !ok {
		return false
	}
	if rest == "" {
		return true
	}
	for part := range strings.SplitSeq(rest, "/") {
		if part == "." || part == ".." || !pathSegmentPattern.MatchString(part) {
			return false
		}
	}
	return true
}

func durationText(d core.Duration) string {
	return time.Duration(d).String()
}
