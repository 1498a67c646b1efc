// Command soak injects faults into real daemons on loopback and checks their invariants.
package main

import (
	"os"

	"verbenaway/platform/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
