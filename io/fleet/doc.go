// Package fleet runs many daemons in one process against the stand-ins of package stand, for
// benchmarks and tests of failures. Daemons, messages and sockets are real; latencies and cuts
// between availability zones and regions are simulated. fleet.go starts and stops daemons, link.go
// simulates links, upstream.go starts upstream stand-ins, operator.go writes to the store,
// distribution.go measures the distribution of versions. The numbers of promises in the tests are
// those of the design page.
package fleet
