// Package core has the interfaces between the parts of verbenaway, the plain structs that they
// exchange, and the complete tables of error kinds, event kinds and decision kinds.
//
// Packages below core make decisions: they are deterministic state machines that take an event
// and a time and return typed actions. Packages below io do the input and output: sockets,
// timers and processes. Start with config.go for the data model, then iface.go for the interfaces.
package core
