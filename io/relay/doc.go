// Package relay carries what one daemon knows of the platform's store to another one.
package relay
