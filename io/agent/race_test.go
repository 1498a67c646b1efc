//go:build race

package agent

import "runtime"

// The race detector of Go 1.26 crashes if goroutines of a synctest bubble receive from due timers in
// parallel, since all timers of a bubble share one race context.
func init() {
	runtime.GOMAXPROCS(1)
}
