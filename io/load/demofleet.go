package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenaway/core"
	"verbenaway/io/proxy"
	"verbenaway/io/stand"
)

const (
	pollInterval = 20 * time.Millisecond
	// stopTimeout is the maximum duration of a planned stop.
	stopTimeout = 10 * time.Second
	// longRequests is the number of requests in flight through the daemon when its planned
	// stop begins.
	longRequests      = 6
	longServiceTimeMs = 1500
)

// awaitProcesses waits until each process accepts connections and each daemon has learned
// that there is no version yet, so that the first convergence time includes no startup.
func (d *demo) awaitProcesses(ctx context.Context) error {
	addresses := []string{d.plan.StoreAddress}
	for _, host := range d.plan.Hosts {
		addresses = append(addresses, host.UpstreamAddress, host.CallerAddress, host.AdminAddress)
	}
	for _, address := range addresses {
		for {
			connection, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				_ = connection.Close()
				break
			}
			if !sleep(ctx, pollInterval) {
				return fmt.Errorf("no listener on %s: %w", address, err)
			}
		}
	}
	for _, host := range d.plan.Hosts {
		for {
			result := d.sender.SendTo(ctx, host.CallerAddress, probeTemplate(0), "ready-"+string(host.Name), "")
			if result.Kind == core.NoRoute {
				break
			}
			if !sleep(ctx, pollInterval) {
				return fmt.Errorf("daemon %s is not ready: %w", host.Name, result.Err)
			}
		}
	}
	return nil
}

// awaitOrders waits until an order with an idempotency key succeeds through each daemon. After
// the start of a fleet the owners of keys first have to be certain of their role.
func (d *demo) awaitOrders(ctx context.Context) error {
	order := RequestTemplates[1]
	random := rand.New(rand.NewPCG(demoSeed, 3))
	for _, host := range d.plan.Hosts {
		for n := 0; ; n++ {
			id := fmt.Sprintf("early-%s-%d", host.Name, n)
			result := d.sender.SendTo(ctx, host.CallerAddress, order, id, newKey(time.Now(), random))
			if result.Outcome == OK {
				break
			}
			if !sleep(ctx, 10*pollInterval) {
				return fmt.Errorf("orders through %s do not succeed: %w", host.Name, result.Err)
			}
		}
	}
	return nil
}

// checkChain checks that a chain of calls of the maximum depth succeeds, each call through the
// daemon on the host of its caller, and that one more call from that depth is refused.
func (d *demo) checkChain(ctx context.Context) error {
	lookup := RequestTemplates[0]
	lookup.Timeout *= proxy.MaxDepth
	lookup.Calls = proxy.MaxDepth - 1
	entry := d.plan.Hosts[0].CallerAddress
	if result := d.sender.SendTo(ctx, entry, lookup, "chain", ""); result.Outcome != OK {
		d.failf("a chain of %d calls ended as %s %s: %v", proxy.MaxDepth, result.Outcome, result.Kind, result.Err)
	}
	lookup.Calls = 0
	lookup.Depth = proxy.MaxDepth
	if result := d.sender.SendTo(ctx, entry, lookup, "too-deep", ""); result.Kind != core.DepthExceeded {
		d.failf("a call from depth %d was not refused as too deep but ended as %s %s", lookup.Depth, result.Outcome, result.Kind)
	}
	return nil
}

// checkHomeRegion adds a route whose only home region is Otago and sends a request to it
// through each daemon. Daemons in other regions must refuse it.
func (d *demo) checkHomeRegion(ctx context.Context) error {
	note := d.nextNote("records that stay in Otago")
	template := probeTemplate(note.Version)
	template.Path = "/records"
	route := probeRoute(note.Version, "cliffvault")
	route.Name = "records"
	route.PathPrefix = template.Path
	route.HomeRegions = []core.Region{"otago"}
	note.Add.Routes = append(note.Add.Routes, route)
	if err := d.publish(ctx, note); err != nil {
		return err
	}
	served := 0
	for _, host := range d.plan.Hosts {
		result := d.sender.SendTo(ctx, host.CallerAddress, template, "records-"+string(host.Name), "")
		switch {
		case result.Outcome == OK && strings.Contains(result.Upstream, "otago"):
			served++
		case result.Outcome == OK:
			d.failf("a request with home region otago was served by %s", result.Upstream)
		case !result.NotRun || (result.Kind != core.HomeRegion && result.Kind != core.NoRoute):
			// A daemon in another region may not know the route.
			d.failf("a request with home region otago through %s ended as %s %s", host.Name, result.Outcome, result.Kind)
		}
	}
	d.printf("   served through %d daemons by upstreams in otago\n", served)
	return nil
}

// takeZoneOut takes an availability zone out and checks that its upstreams start no request
// later than leaveTimeout after publication.
func (d *demo) takeZoneOut(ctx context.Context) error {
	note := d.nextNote("take " + string(outZone) + " out")
	note.TakeOut = []core.AvailabilityZone{outZone}
	start := time.Now()
	if err := d.publish(ctx, note); err != nil {
		return err
	}
	late, err := d.countLateRequests(ctx, d.plan.InZone(outZone), start)
	if err != nil {
		return err
	}
	d.report.azOutLateRequests = late
	if late > 0 {
		d.failf("%d requests started in %s later than %s after it was taken out", late, outZone, leaveTimeout)
	}
	return nil
}

// countLateRequests returns how many requests started at the upstreams of the hosts in the
// lateRequestWindow that begins leaveTimeout after start.
func (d *demo) countLateRequests(ctx context.Context, hosts []HostPlan, start time.Time) (int64, error) {
	if !sleep(ctx, time.Until(start.Add(leaveTimeout))) {
		return 0, ctx.Err()
	}
	before, err := d.fetchRuns(ctx, hosts)
	if err != nil {
		return 0, err
	}
	if !sleep(ctx, lateRequestWindow) {
		return 0, ctx.Err()
	}
	after, err := d.fetchRuns(ctx, hosts)
	if err != nil {
		return 0, err
	}
	d.printf("   %d requests started later than %s after the start; the last request of all started at %d ms\n",
		after.Requests-before.Requests, leaveTimeout, after.LastStart-start.UnixMilli())
	return after.Requests - before.Requests, nil
}

// bringZoneBack restarts the upstreams of the availability zone, brings it back and checks
// that they receive requests. Overloads in cold start are checked by compareCounts.
func (d *demo) bringZoneBack(ctx context.Context) error {
	hosts := d.plan.InZone(outZone)
	for _, host := range hosts {
		if err := setFaults(ctx, host, stand.UpstreamFaults{Restart: true}); err != nil {
			return err
		}
	}
	before, err := d.fetchRuns(ctx, hosts)
	if err != nil {
		return err
	}
	note := d.nextNote("bring " + string(outZone) + " back")
	note.BringBack = []core.AvailabilityZone{outZone}
	if err = d.publish(ctx, note); err != nil {
		return err
	}
	if !sleep(ctx, upstreamColdStart+time.Duration(tussockCapacity.WarmUp)) {
		return ctx.Err()
	}
	after, err := d.fetchRuns(ctx, hosts)
	if err != nil {
		return err
	}
	d.printf("   %d requests started there, %d were shed in cold start\n",
		after.Requests-before.Requests, after.ColdShed-before.ColdShed)
	if after.Requests == before.Requests {
		d.failf("%s receives no requests after it was brought back", outZone)
	}
	return nil
}

// stopDaemon stops a daemon by SIGTERM while requests are in flight through it. The upstream of
// this daemon runs closure orders, so the daemon owns a share of the idempotency keys.
func (d *demo) stopDaemon(ctx context.Context) error {
	host := d.plan.lastHostOf("roadguard")
	pid, err := d.pidOf(host)
	if err != nil {
		return err
	}
	longResults := NewRecorder()
	wait := d.startLongRequests(ctx, host, longResults)
	start := time.Now()
	if err = syscall.Kill(pid, syscall.SIGTERM); err != nil {
		return fmt.Errorf("SIGTERM to daemon %s: %w", host.Name, err)
	}
	late, err := d.countLateRequests(ctx, []HostPlan{host}, start)
	if err != nil {
		return err
	}
	if late > 0 {
		d.failf("%d requests started on %s later than %s after its planned stop began", late, host.Name, leaveTimeout)
	}
	wait()
	if err := awaitExit(ctx, pid, start.Add(stopTimeout)); err != nil {
		return err
	}
	phase := d.phase
	d.report.cutInFlight = phase.Counts().Broken + longResults.Counts().Broken + longResults.Counts().Failed
	d.printf("   of %d requests in flight through %s, %d were answered; %d requests were cut\n",
		longRequests, host.Name, longResults.Counts().OK, d.report.cutInFlight)
	if d.report.cutInFlight > 0 || longResults.Counts().OK != longRequests {
		d.failf("the planned stop cut requests in flight: %v %v", phase.Errors(), longResults.Errors())
	}
	return nil
}

// startLongRequests sends lookups with a long service time through one daemon and returns when
// they run. The returned function waits for their answers.
func (d *demo) startLongRequests(ctx context.Context, host HostPlan, recorder *Recorder) func() {
	lookup := RequestTemplates[0]
	lookup.ServiceMs = longServiceTimeMs
	lookup.Timeout = 4 * longServiceTimeMs * time.Millisecond
	var group sync.WaitGroup
	for n := range longRequests {
		group.Go(func() {
			result := d.sender.SendTo(ctx, host.CallerAddress, lookup, fmt.Sprintf("long-%d", n), "")
			recorder.Record(lookup, "", result, 0, 0)
		})
	}
	// A third of the service time is enough for the requests to reach the upstreams.
	sleep(ctx, longServiceTimeMs*time.Millisecond/3)
	return group.Wait
}

// compareCounts checks the results that callers saw against the runs that upstreams counted.
func (d *demo) compareCounts(ctx context.Context) error {
	d.stopTraffic()
	runs, err := d.fetchRuns(ctx, d.plan.Hosts)
	if err != nil {
		return err
	}
	ran := runs.ByID
	d.report.duplicated = runs.Duplicated
	okWithoutRun, ranDespiteNotRun := 0, 0
	for key, result := range d.meter.All.Orders() {
		if result.Outcome == OK && ran[key] == 0 {
			okWithoutRun++
		}
		if !result.MayHaveRun && ran[key] > 0 {
			ranDespiteNotRun++
		}
	}
	counts := d.meter.All.Counts()
	d.expectZero("non-idempotent requests ran more than once", d.report.duplicated)
	d.expectZero("orders were answered ok but ran on no upstream", int64(okWithoutRun))
	d.expectZero("orders were reported as not run but ran", int64(ranDespiteNotRun))
	d.expectZero("answers were wrong", counts.Wrong)
	d.expectZero("answers were cut", counts.Cut)
	d.expectZero("overloads of upstreams in cold start", runs.ColdOverloads)
	d.expectZero("requests did not end as ok", counts.NotOK())
	d.printf("   upstreams ran %d requests, %d orders among them, and shed %d\n", runs.Requests, runs.Orders, runs.Shed)
	return nil
}

func (d *demo) expectZero(what string, n int64) {
	if n != 0 {
		d.failf("%d %s", n, what)
	}
}

// fetchRuns fetches the counts of the upstreams of the hosts and returns their sum.
func (d *demo) fetchRuns(ctx context.Context, hosts []HostPlan) (stand.Runs, error) {
	var all []stand.Runs
	for _, host := range hosts {
		runs, err := getRuns(ctx, host)
		if err != nil {
			return stand.Runs{}, fmt.Errorf("counts of the upstream of %s: %w", host.Name, err)
		}
		all = append(all, runs)
	}
	return sumRuns(all), nil
}

// sumRuns adds up the counts that the demo and bench-azmove use. LastStart is the latest one;
// Duplicated follows from the sums of ByID, since a request may run on several upstreams.
func sumRuns(all []stand.Runs) stand.Runs {
	sum := stand.Runs{
		ByID: map[string]int{},
	}
	for _, runs := range all {
		sum.Requests += runs.Requests
		sum.Orders += runs.Orders
		sum.Shed += runs.Shed
		sum.ColdShed += runs.ColdShed
		sum.ColdOverloads += runs.ColdOverloads
		sum.LastStart = max(sum.LastStart, runs.LastStart)
		for id, n := range runs.ByID {
			sum.ByID[id] += n
		}
	}
	for _, n := range sum.ByID {
		sum.Duplicated += int64(n - 1)
	}
	return sum
}

func getRuns(ctx context.Context, host HostPlan) (runs stand.Runs, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.UpstreamAddress+"/control/runs?byId=1", nil)
	if err != nil {
		return runs, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return runs, err
	}
	defer func() {
		_ = response.Body.Close()
	}()
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}

func setFaults(ctx context.Context, host HostPlan, faults stand.UpstreamFaults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.UpstreamAddress+"/control/faults", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	return expectStatus(request, http.StatusNoContent)
}

// pidOf returns the process id of a host's daemon, which scripts/demo.sh started.
func (d *demo) pidOf(host HostPlan) (int, error) {
	data, err := os.ReadFile(filepath.Join(d.command.Dir, "daemon-"+string(host.Name)+".pid"))
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return 0, fmt.Errorf("pid file of daemon %s: %q is not a valid process id", host.Name, data)
	}
	return pid, nil
}

// awaitExit waits until a process has ended. A zombie counts as ended, since the parent of the
// process reaps it only later.
func awaitExit(ctx context.Context, pid int, deadline time.Time) error {
	for {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(data), ") Z ") {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("process %d has not ended %s after SIGTERM", pid, stopTimeout)
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}
