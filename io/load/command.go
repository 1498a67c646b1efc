package load

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"verbenaway/io/shell"
)

var _ flags.Commander = (*RunCommand)(nil)

var program = shell.Program{
	Name:  "loadgen",
	Short: "load generator and benchmarks",
	Description: "Load generator, demo and benchmarks of the request path. " +
		"Each subcommand except layout ends its output with one line of key=value pairs.",
	Subcommands: []shell.Subcommand{
		{Name: "run", Short: "send a mix of requests at a fixed rate and verify the answers", Command: &RunCommand{}},
		{Name: "layout", Short: "write settings, host list and process list of the demo", Command: &LayoutCommand{}},
		{Name: "demo", Short: "run the demo against the processes of a layout", Command: &DemoCommand{}},
		{Name: "bench-requests", Short: "measure requests through the mesh against direct ones", Command: &BenchRequestsCommand{}},
		{Name: "bench-azmove", Short: "measure how an availability zone is taken out and brought back", Command: &BenchZoneMoveCommand{}},
		{Name: "bench-distribution", Short: "measure how fast a change spreads and what it costs", Command: &BenchDistributionCommand{}},
	},
}

// Main runs the command line of cmd/loadgen and returns the exit code.
func Main(args []string) int {
	return program.Run(args)
}

// RunCommand is the subcommand run.
type RunCommand struct {
	Entries  []string      `long:"entry" value-name:"HOST:PORT" required:"true" description:"caller address of a daemon; may be given several times"`
	Rate     float64       `long:"rate" value-name:"N" default:"100" description:"requests per second"`
	Duration time.Duration `long:"duration" value-name:"DURATION" default:"10s" description:"how long to send"`
	Mix      string        `long:"mix" value-name:"MIX" default:"lookup=80,order=10,history=9,upload=1" description:"weights of the kinds of requests"`
	Resends  int           `long:"resends" value-name:"N" default:"0" description:"maximum number of times that a request is sent again where that is safe"`
	Seed     uint64        `long:"seed" value-name:"N" default:"1" description:"seed of the random choice of requests"`
	Calls    int           `long:"calls" value-name:"N" default:"0" description:"calls from service to service that each lookup causes"`
}

// Execute sends the mix and prints one summary line.
func (c *RunCommand) Execute([]string) error {
	mix, err := ParseMix(c.Mix)
	if err != nil {
		return err
	}
	for i := range mix.Templates {
		if mix.Templates[i].Name == "lookup" {
			mix.Templates[i].Calls = c.Calls
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sender := NewSender(SenderConfig{
		Entries: c.Entries,
		Resends: c.Resends,
	})
	defer sender.Close()
	meter := NewMeter()
	Run(ctx, RunConfig{
		Mix:      mix,
		Rate:     c.Rate,
		Duration: c.Duration,
		Seed:     c.Seed,
		Name:     fmt.Sprintf("run%d", os.Getpid()),
		Send:     sender.Send,
	}, meter)
	for _, text := range meter.All.Errors() {
		log.Warn(text)
	}
	result, err := "ok", error(nil)
	if meter.All.Counts().NotOK() > 0 {
		result, err = "notOk", shell.ErrReported
	}
	fmt.Printf("load result=%s rate=%g %s\n", result, c.Rate, meter.All.Line())
	return err
}
