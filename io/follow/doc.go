// Package follow keeps a daemon up to date with a registry: it drives core/follow with
// listings and watches, and gives the request path its configuration and its upstreams.
package follow
