// Package store is the client of the platform's configuration service and host list. The
// layout of the service is described in docs/design.md, section 5.1.
package store
