// Package member tracks which daemons are alive, similar to SWIM. A Tracker probes the
// next members of a ring, suspects those that do not answer, gossips events to a few random
// members, and refutes wrong events about its own host. Start reading in tracker.go; merge.go
// merges and gossips events, probe.go is the failure detector, and lease.go decides whether this
// daemon may own idempotency keys.
package member
