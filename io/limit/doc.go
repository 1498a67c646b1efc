// Package limit bounds the memory and the number of the connections of a process, so that clients which
// send or read badly cannot end it.
package limit
