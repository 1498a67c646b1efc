package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
	"verbenaway/io/stand"
)

// probeInterval is the interval between probes of one daemon, which limits the resolution of
// convergence times.
const probeInterval = 20 * time.Millisecond

// outZone is the availability zone that the demo and bench-azmove take out.
const outZone core.AvailabilityZone = "canterbury-1"

func (d *demo) publishFirst(ctx context.Context) error {
	note := FirstNote(tussockCapacity)
	note.Add.Routes = append(note.Add.Routes, probeRoute(1, "netbook"))
	return d.publish(ctx, note)
}

func (d *demo) publishChange(ctx context.Context) error {
	note := d.nextNote("longer pulls")
	for _, route := range FirstNote(tussockCapacity).Add.Routes {
		if route.Name == "history" {
			route.Timeout = core.Duration(15 * time.Second)
			note.Change.Routes = append(note.Change.Routes, route)
		}
	}
	return d.publish(ctx, note)
}

// withdrawRoute withdraws the probe route of note 1 and checks that each daemon refuses it.
func (d *demo) withdrawRoute(ctx context.Context) error {
	note := d.nextNote("withdraw probe 1")
	note.Withdraw.Routes = []core.RouteName{probeName(1)}
	if err := d.publish(ctx, note); err != nil {
		return err
	}
	d.expectNoRoute(ctx, 1, "withdrawn route")
	return nil
}

// publishInvalid publishes a note with a dangling reference, directly to the store if verbenactl
// refuses it. Once the next note is in force, the daemons have processed the invalid one.
func (d *demo) publishInvalid(ctx context.Context) error {
	invalid := d.nextNote("dangling reference")
	invalid.Add.Routes[0].Service = "nobody"
	if err := d.publishWithVerbenactl(ctx, invalid); err == nil {
		d.printf("   verbenactl published the invalid note; daemons have to refuse it\n")
	} else {
		d.printf("   verbenactl refused the invalid note; writing it directly to the store\n")
		if err := d.putNote(ctx, invalid); err != nil {
			return err
		}
	}
	d.version = invalid.Version
	if err := d.publish(ctx, d.nextNote("after the bad note")); err != nil {
		return err
	}
	d.expectNoRoute(ctx, invalid.Version, "route of the invalid note")
	return nil
}

// nextNote returns a note for the next version, which adds its probe route.
func (d *demo) nextNote(comment string) core.Note {
	note := core.Note{
		Version: d.version + 1,
		Against: d.version,
		Comment: comment,
	}
	note.Add.Routes = []core.RouteSpec{probeRoute(note.Version, "netbook")}
	return note
}

// publish publishes a note and waits until each daemon answers on its probe route.
func (d *demo) publish(ctx context.Context, note core.Note) error {
	start := time.Now()
	if err := d.publishWithVerbenactl(ctx, note); err != nil {
		return err
	}
	d.version = note.Version
	last := d.awaitInForce(ctx, note.Version, start)
	d.printf("   version %d in force on %d of %d daemons, the last one after %d ms\n",
		note.Version, d.report.inForce, d.report.daemons, last.Milliseconds())
	d.report.convergenceMax = max(d.report.convergenceMax, last)
	if d.report.inForce != d.report.daemons {
		return fmt.Errorf("version %d is not in force everywhere after %s", note.Version, inForceTimeout)
	}
	return nil
}

// awaitInForce probes each daemon until the version is in force there, counts those in the
// report and returns the time that the last one took.
func (d *demo) awaitInForce(ctx context.Context, version core.Version, start time.Time) time.Duration {
	ctx, cancel := context.WithDeadline(ctx, start.Add(inForceTimeout))
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	var last time.Duration
	inForce := 0
	for _, host := range d.plan.Hosts {
		group.Go(func() {
			if !d.probeUntil(ctx, host, version) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			inForce++
			last = max(last, time.Since(start))
		})
	}
	group.Wait()
	d.report.inForce = inForce
	d.report.daemons = len(d.plan.Hosts)
	return last
}

// probeUntil returns true once the probe route of a version answers, false if ctx ends first.
func (d *demo) probeUntil(ctx context.Context, host HostPlan, version core.Version) bool {
	for n := 0; ; n++ {
		id := fmt.Sprintf("probe-%s-%d-%d", host.Name, version, n)
		if d.sender.SendTo(ctx, host.CallerAddress, probeTemplate(version), id, "").Outcome == OK {
			return true
		}
		if !sleep(ctx, probeInterval) {
			return false
		}
	}
}

// expectNoRoute checks that each daemon refuses the probe route of a version.
func (d *demo) expectNoRoute(ctx context.Context, version core.Version, what string) {
	refused := 0
	for _, host := range d.plan.Hosts {
		id := fmt.Sprintf("gone-%s-%d", host.Name, version)
		result := d.sender.SendTo(ctx, host.CallerAddress, probeTemplate(version), id, "")
		if result.Kind == core.NoRoute && result.NotRun {
			refused++
			continue
		}
		d.failf("%s: a request through %s ended as %s %s", what, host.Name, result.Outcome, result.Kind)
	}
	d.printf("   %s: refused by %d of %d daemons\n", what, refused, len(d.plan.Hosts))
}

func (d *demo) publishWithVerbenactl(ctx context.Context, note core.Note) error {
	file := filepath.Join(d.command.Dir, fmt.Sprintf("note-%d.toml", note.Version))
	if err := writeTOMLFile(file, note); err != nil {
		return err
	}
	command := exec.CommandContext(ctx, filepath.Join(d.command.Bin, "verbenactl"),
		"publish", "--store", "http://"+d.plan.StoreAddress, file)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("verbenactl publish %s: %w: %s", file, err, strings.TrimSpace(string(output)))
	}
	return nil
}

// putNote writes a note directly to the store, without checks.
func (d *demo) putNote(ctx context.Context, note core.Note) error {
	data, err := toml.Marshal(note)
	if err != nil {
		return err
	}
	address := fmt.Sprintf("http://%s/v1/values/%s", d.plan.StoreAddress, stand.NoteKey(note.Version))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("If-None-Match", "*")
	return expectStatus(request, http.StatusCreated)
}

func expectStatus(request *http.Request, status int) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != status {
		return fmt.Errorf("%s %s: status %d, want %d", request.Method, request.URL, response.StatusCode, status)
	}
	return nil
}

const timelineFile = "out/timeline.html"

// printTimeline prints the merged timeline and writes it as HTML.
func (d *demo) printTimeline(ctx context.Context) error {
	if err := d.timeline(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(timelineFile), 0o750); err != nil {
		return err
	}
	d.printf("   the timeline as HTML is in %s\n", timelineFile)
	return d.timeline(ctx, "--html", timelineFile)
}

// timeline runs verbenactl timeline and prints its output.
func (d *demo) timeline(ctx context.Context, args ...string) error {
	args = append([]string{"timeline", "--admin", d.plan.Hosts[0].AdminAddress}, args...)
	output, err := exec.CommandContext(ctx, filepath.Join(d.command.Bin, "verbenactl"), args...).CombinedOutput()
	d.printf("%s", output)
	return err
}
