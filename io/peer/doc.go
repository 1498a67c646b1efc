// Package peer transfers the control messages between daemons over connect-go. convert.go
// encodes the structs of package core as the generated ones and decodes them, client.go sends
// messages, server.go answers them, and traffic.go counts the bytes on the sockets.
package peer
