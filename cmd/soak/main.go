// Command soak plays faults against real daemons on loopback and checks what must always hold.
package main

import (
	"os"

	"verbenaway/platform/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
