// Package admit is the admission control of a gatekeeper: it decides which requests its
// upstream runs. It is deterministic: the caller passes each event with its time and carries
// out the decisions.
//
// Start with admit.go; check.go has the rules that depend on the snapshot alone, limit.go the
// limits per route and tenant, queue.go the queue and holds.go the service times from
// which waits are estimated. For an upstream that does not register itself, ramp.go has the cold
// start and slow.go the detection of an unannounced one; for one that does, upstream.go has its
// record and pace.go the rate limit of a cold start.
package admit
