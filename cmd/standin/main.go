// Command standin runs stand-ins for the store and the upstreams of the platform.
package main

import (
	"os"

	"verbenaway/io/stand"
)

func main() {
	os.Exit(stand.Main(os.Args[1:]))
}
