package core

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
