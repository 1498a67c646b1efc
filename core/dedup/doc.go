// Package dedup implements the owner of idempotency keys: it lets the first request with a key
// run and makes duplicates wait for its result. It is deterministic: the caller passes in each
// event with its time and carries out the decisions.
//
// Start with key.go for the format of a key and the choice of its owner, then table.go for the
// claims. An owner loses its keys when its process ends and never has those of the previous
// owner, so it answers OutcomeUnknown for each key that may be older than its ownership.
package dedup
