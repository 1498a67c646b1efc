// Package admit is the admission control of a gatekeeper: it decides which requests its
// upstream runs. It is deterministic: the caller passes each event with its time and carries
// out the decisions.
//
// Start with admit.go; check.go has the rules that depend on the snapshot alone, limit.go the
// limits per route and tenant, queue.go the queue and servicetimes.go the service times. For
// upstreams that register themselves, upstream.go has their record and startwindow.go the rate
// limit of a cold start; for others, ramp.go has the cold start and slow.go its detection if
// unannounced.
package admit
