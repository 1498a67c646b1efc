// Command loadgen generates load, and runs the demo and the benchmarks.
package main

import (
	"os"

	"verbenaway/io/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:]))
}
