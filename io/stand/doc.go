// Package stand simulates the platform for tests, benchmarks and the demo: Store simulates the
// configuration service with the host list, Upstream simulates one instance of a service.
// Both are http.Handlers, count the calls that they receive, and can inject faults, which are
// set at run time. Main in command.go runs the command line of cmd/standin.
package stand
