// Package wire holds the generated protobuf and connect-go code of the protocol between
// daemons. The sources are peer.proto and relay.proto; make gen generates the rest from them.
package wire
