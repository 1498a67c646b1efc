// Package load implements the load generator, the demo and the benchmarks of the request path.
// In a run, pace.go schedules requests, mix.go selects them, sender.go sends them and verifies
// the answers, and meter.go counts the results. The demo runs against separate processes, the
// benchmarks against daemons in this one. Main runs the command line of cmd/loadgen.
package load
