// Package events keeps the recent events of one daemon and orders them across processes with
// a hybrid logical clock. clock.go provides the timestamps, journal.go stores the events, and
// merge.go merges the events of several daemons into one timeline.
package events
