// Package reach decides whether a daemon is cut off from the others. One that is can serve its
// callers from the upstream beside it only, and asks the platform to send them elsewhere.
package reach
