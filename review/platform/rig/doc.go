// Command rig plays one review case against real daemons on loopback. It starts the daemons with the
// command of the deploy file and has stand-ins for the store, the upstreams and the clients. The
// folders review/N describe the cases.
package main
