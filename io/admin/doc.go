// Package admin implements the admin interface of a daemon, which serves status, explain, events
// and metrics to operators over HTTP, and the client with which verbenactl queries daemons.
package admin
