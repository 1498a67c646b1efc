// Command verbenaside is the daemon of verbenaway as a sidecar on the users' platform.
package main

import (
	"os"

	"verbenaway/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
