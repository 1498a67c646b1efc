// Package follow turns what a registry shows into the configuration and the upstreams that
// the request path uses.
//
// State orders everything by the revision of the store, so that listings, watches and late
// answers may arrive in any order. It takes the time from the caller and uses no goroutines.
package follow
