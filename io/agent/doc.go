// Package agent drives the state machines of core/member and core/spread. One goroutine, the
// event loop, owns both; store reads and messages to peers run in bounded goroutines that report
// back to it. The request path reads the results from atomic pointers without locks.
package agent
