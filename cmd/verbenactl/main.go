// Command verbenactl is the command-line client of verbenaway for operators.
package main

import (
	"os"

	"verbenaway/io/opctl"
)

func main() {
	os.Exit(opctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
