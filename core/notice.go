package core

import (
	"math"
	"strconv"
	"strings"
)

// UpstreamNotice is what an upstream says of itself with an answer, whatever the answer is.
type UpstreamNotice struct {
	// RateLimit is the number of requests a second that the upstream takes from all hosts together, not
	// negative; it is valid if HasRateLimit is set. The limit ends with an answer that names none.
	RateLimit    float64
	HasRateLimit bool
	// IsRateLimitInvalid says that the upstream names a limit that is no number of requests. The one
	// that it named before still holds.
	IsRateLimitInvalid bool
	// IsLeaving says that the upstream leaves and is to get no new requests.
	IsLeaving bool
}

// RateLimitNotice returns the notice for the values of a header in which an upstream names a limit, in
// requests a second as a decimal number. Of several limits the lowest one holds.
func RateLimitNotice(values []string) UpstreamNotice {
	var notice UpstreamNotice
	for _, text := range values {
		limit, ok := parseRateLimit(text)
		switch {
		case !ok:
			notice.IsRateLimitInvalid = true
		case !notice.HasRateLimit || limit < notice.RateLimit:
			notice.RateLimit, notice.HasRateLimit = limit, true
		}
	}
	notice.IsRateLimitInvalid = notice.IsRateLimitInvalid && !notice.HasRateLimit
	return notice
}

func parseRateLimit(text string) (float64, bool) {
	text = strings.Trim(text, " \t")
	if text == "" || strings.ContainsAny(text, "xXpP_") {
		// The other forms that ParseFloat accepts.
		return 0, false
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return limit, true
}
