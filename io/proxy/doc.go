// Package proxy forwards requests over net/http. Entry receives them from callers and chooses an
// upstream; Gate, the gatekeeper, admits them to the upstream on its own host. A request passes
// through entry*.go and then gate*.go, which share header.go and refuse.go. early_*.go start
// pipelined requests before the HTTP server reads them.
package proxy
