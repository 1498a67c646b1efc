// Package retry decides whether a request is sent again after a failed attempt, and when.
// It is deterministic: time and random numbers come from the caller.
package retry
