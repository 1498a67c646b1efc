// Package follow derives the configuration and the upstreams that the request path uses from
// the content of a registry.
//
// State orders all input by store revision, so that listings, watch results and late answers
// may arrive in any order. The caller passes in the time, and State uses no goroutines.
package follow
