// Package logs writes each event and each decision on a request as one line of key=value pairs.
//
// A Writer never blocks its callers: a goroutine writes the lines from a bounded buffer, the lines
// about decisions are limited in rate, and the dropped ones are counted and reported.
package logs
