// Package daemon assembles one daemon from its settings. Several daemons can run in one
// process. daemon.go builds and connects the services, server.go has the listeners, status.go
// the status for the admin interface, command.go the command line of verbenad.
package daemon
