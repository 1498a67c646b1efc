// Package peer transfers the control messages between daemons over connect-go. convert.go
// converts between the structs of package core and the generated ones, client.go sends messages,
// server.go answers them, and count.go counts the bytes on the sockets.
package peer
