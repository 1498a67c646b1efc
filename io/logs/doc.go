// Package logs writes events and decisions on requests as one line of key=value pairs each.
//
// A Writer never blocks those who log: lines wait in a bounded buffer for a goroutine of
// their own, plain lines are limited to a rate, and what was left out is counted and said.
package logs
