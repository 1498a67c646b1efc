// Package spread decides how a configuration version is distributed: which daemons read the
// store and when, the push tree, pulls, digest exchanges, the version floor at start, the
// check after a pause, and the distribution of the host list.
//
// A Machine takes typed inputs and a time and returns typed actions. It uses no goroutine,
// clock or socket, and its random source is injected. Package io/agent is its driver.
package spread
