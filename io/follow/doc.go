// Package follow keeps a daemon up to date with a registry: it feeds listings and watches to
// core/follow and provides the request path with its configuration and upstreams.
package follow
