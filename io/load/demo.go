package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"verbenaway/core"
	"verbenaway/io/shell"
)

const (
	// leaveTimeout is the time after which an upstream that is leaving or was taken out must
	// not receive new requests.
	leaveTimeout = 3 * time.Second
	// inForceTimeout is the time within which a version must be in force on all daemons.
	inForceTimeout = 12 * time.Second
	// lateRequestWindow is how long the demo counts late requests after leaveTimeout.
	lateRequestWindow = 3 * time.Second

	demoRate    = 400 // requests per second
	demoMix     = "lookup=84,order=10,history=5,upload=1"
	demoResends = 4
	demoSeed    = 11
)

// DemoCommand is the subcommand demo.
type DemoCommand struct {
	Dir   string        `long:"dir" value-name:"DIR" required:"true" description:"directory that the subcommand layout wrote; daemon-HOST.pid holds the process id of the daemon on HOST"`
	Bin   string        `long:"bin" value-name:"DIR" default:"bin" description:"directory of the programs"`
	Limit time.Duration `long:"limit" value-name:"DURATION" default:"50s" description:"maximum duration of the demo"`
}

type demo struct {
	command DemoCommand
	out     io.Writer
	plan    Plan
	sender  *Sender
	meter   *Meter
	version core.Version // newest published version

	stopTraffic func()    // nil while no traffic is sent
	phase       *Recorder // requests that started during the current step
	report      demoReport
}

// demoReport holds the figures of the last output line and the failed checks.
type demoReport struct {
	inForce, daemons  int
	requests, failed  int64
	duplicated        int64
	cutInFlight       int64
	azOutLateRequests int64
	convergenceMax    time.Duration
	failedChecks      []string
}

// demoSteps lists the steps in order.
var demoSteps = []struct {
	name string
	run  func(d *demo, ctx context.Context) error
}{
	{name: "wait for all processes", run: (*demo).awaitProcesses},
	{name: "publish note 1", run: (*demo).publishFirst},
	{name: "wait until closure orders run", run: (*demo).awaitOrders},
	{name: "send lookups, closure orders, history pulls and uploads", run: (*demo).startTraffic},
	{name: "publish a change", run: (*demo).publishChange},
	{name: "withdraw a route", run: (*demo).withdrawRoute},
	{name: "publish an invalid note", run: (*demo).publishInvalid},
	{name: "call from service to service", run: (*demo).checkChain},
	{name: "keep requests in their home region", run: (*demo).checkHomeRegion},
	{name: "take an availability zone out", run: (*demo).takeZoneOut},
	{name: "bring it back with a cold start", run: (*demo).bringZoneBack},
	{name: "stop a daemon as planned", run: (*demo).stopDaemon},
	{name: "compare what callers and upstreams saw", run: (*demo).compareCounts},
	{name: "print the timeline", run: (*demo).printTimeline},
}

// Execute runs the demo against the processes of a layout.
func (c *DemoCommand) Execute([]string) error {
	data, err := os.ReadFile(filepath.Join(c.Dir, planFile))
	if err != nil {
		return err
	}
	d := &demo{
		command: *c,
		out:     os.Stdout,
		meter:   NewMeter(),
	}
	if err := json.Unmarshal(data, &d.plan); err != nil {
		return fmt.Errorf("%s: %w", planFile, err)
	}
	d.sender = NewSender(SenderConfig{
		Entries: d.plan.CallerAddresses(),
		Resends: demoResends,
	})
	defer d.sender.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	d.runSteps(ctx)
	return d.finish()
}

// runSteps runs the steps in order and stops after the first one that returns an error.
func (d *demo) runSteps(ctx context.Context) {
	defer func() {
		if d.stopTraffic != nil {
			d.stopTraffic()
		}
	}()
	for _, step := range demoSteps {
		start := time.Now()
		d.phase = d.meter.BeginPhase()
		d.printf("== %s\n", step.name)
		if err := step.run(d, ctx); err != nil {
			d.failf("%s: %v", step.name, err)
			return
		}
		d.printf("   %.1f s\n", time.Since(start).Seconds())
		if d.phase.Counts().NotOK() > 0 {
			d.printf("   requests not ok: %s %q\n", d.phase.Line(), d.phase.Errors())
		}
	}
}

// startTraffic sends the mix in the background until d.stopTraffic is called.
func (d *demo) startTraffic(ctx context.Context) error {
	mix, err := ParseMix(demoMix)
	if err != nil {
		return err
	}
	sendCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		Run(sendCtx, RunConfig{
			Mix:  mix,
			Rate: demoRate,
			Seed: demoSeed,
			Name: "demo",
			Send: d.sender.Send,
		}, d.meter)
	})
	d.stopTraffic = func() {
		stop()
		group.Wait()
		d.stopTraffic = nil
	}
	return nil
}

// finish prints the summary and returns an error if a check failed.
func (d *demo) finish() error {
	counts := d.meter.All.Counts()
	r := &d.report
	r.requests = counts.Requests
	r.failed = counts.NotOK()
	for _, text := range d.meter.All.Errors() {
		d.printf("   request not ok: %s\n", text)
	}
	d.printf("   traffic: %s\n", d.meter.All.Line())
	for _, text := range r.failedChecks {
		d.printf("   failed check: %s\n", text)
	}
	result, err := "ok", error(nil)
	if len(r.failedChecks) > 0 || r.inForce != r.daemons || r.requests == 0 {
		result, err = "broken", shell.ErrReported
	}
	d.printf("demo result=%s inForce=%d/%d requests=%d failed=%d duplicated=%d cutInFlight=%d azOutLateRequests=%d convergenceMaxMs=%d\n",
		result, r.inForce, r.daemons, r.requests, r.failed, r.duplicated, r.cutInFlight, r.azOutLateRequests, r.convergenceMax.Milliseconds())
	return err
}

func (d *demo) failf(format string, args ...any) {
	d.report.failedChecks = append(d.report.failedChecks, fmt.Sprintf(format, args...))
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}
