// Package relay transfers the content of the platform's store from one daemon to another over
// connect-go.
package relay
