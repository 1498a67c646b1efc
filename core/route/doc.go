// Package route matches requests to routes and chooses upstreams.
//
// Table is built once per snapshot and is immutable. Balancer holds the entry's state of each
// upstream: the requests outstanding from this entry, the last reported load and recent
// refusals. Both take time and random numbers from the caller and start no goroutines, so
// equal inputs give equal decisions.
package route
