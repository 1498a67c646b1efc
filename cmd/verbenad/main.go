// Command verbenad is the daemon of verbenaway.
package main

import (
	"os"

	"verbenaway/io/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
