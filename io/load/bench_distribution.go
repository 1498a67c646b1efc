package load

import (
	"os"
	"time"

	"verbenaway/io/fleet"
)

// BenchDistributionCommand is the subcommand bench-distribution.
type BenchDistributionCommand struct {
	Daemons []int         `long:"daemons" value-name:"N" default:"25" description:"number of daemons; may be given several times"`
	Ways    []string      `long:"way" value-name:"WAY" default:"verbenaway" default:"directWatch" description:"verbenaway or directWatch, the baseline in which every daemon watches the store"`
	Changes int           `long:"changes" value-name:"N" default:"20" description:"changes to publish"`
	Settle  time.Duration `long:"settle" value-name:"DURATION" default:"15s" description:"time for the members to learn of each other"`
	Idle    time.Duration `long:"idle" value-name:"DURATION" default:"10s" description:"time over which idle cost is measured"`
}

// Execute runs the benchmark and prints one line per size and way.
func (c *BenchDistributionCommand) Execute([]string) error {
	return fleet.BenchDistribution(os.Stdout, fleet.DistributionConfig{
		Sizes:   c.Daemons,
		Ways:    c.Ways,
		Changes: c.Changes,
		Settle:  c.Settle,
		Idle:    c.Idle,
	})
}
