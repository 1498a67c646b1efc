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
	processPause = 20 * time.Millisecond
	// stopBound is the longest time that a planned stop may take.
	stopBound = 10 * time.Second
	// longRequests are under way through the daemon when its planned stop begins.
	longRequests  = 6
	longServiceMs = 1500
)

// awaitProcesses waits until each process accepts connections and each daemon has learned
// that there is no version yet, so that the first convergence time is not that of a start.
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
			if !pause(ctx, processPause) {
				return fmt.Errorf("nobody listens on %s: %w", address, err)
			}
		}
	}
	for _, host := range d.plan.Hosts {
		for {
			result := d.sender.SendTo(ctx, host.CallerAddress, probeShape(0), "ready-"+string(host.Name), "")
			if result.Kind == core.NoRoute {
				break
			}
			if !pause(ctx, processPause) {
				return fmt.Errorf("daemon %s does not serve: %w", host.Name, result.Err)
			}
		}
	}
	return nil
}

// awaitOrders waits until an order with an idempotency key runs through each daemon. After
// the start of a fleet the owners of keys first have to be certain of their role.
func (d *demo) awaitOrders(ctx context.Context) error {
	order := Shapes[1]
	random := rand.New(rand.NewPCG(demoSeed, 3))
	for _, host := range d.plan.Hosts {
		for n := 0; ; n++ {
			id := fmt.Sprintf("early-%s-%d", host.Name, n)
			result := d.sender.SendTo(ctx, host.CallerAddress, order, id, newKey(time.Now(), random))
			if result.Outcome == OK {
				break
			}
			if !pause(ctx, 10*processPause) {
				return fmt.Errorf("orders through %s do not run: %w", host.Name, result.Err)
			}
		}
	}
	return nil
}

// checkChain sends a lookup that leads to calls up to the greatest depth, each through the
// daemon on the host of its caller, and one more call from the greatest depth.
func (d *demo) checkChain(ctx context.Context) error {
	shape := Shapes[0]
	shape.Timeout *= proxy.MaxDepth
	shape.Calls = proxy.MaxDepth - 1
	entry := d.plan.Hosts[0].CallerAddress
	if result := d.sender.SendTo(ctx, entry, shape, "chain", ""); result.Outcome != OK {
		d.fault("%d calls deep: %s %s: %v", proxy.MaxDepth, result.Outcome, result.Kind, result.Err)
	}
	shape.Calls = 0
	shape.Depth = proxy.MaxDepth
	if result := d.sender.SendTo(ctx, entry, shape, "too-deep", ""); result.Kind != core.DepthExceeded {
		d.fault("a call from depth %d ended as %s %s", shape.Depth, result.Outcome, result.Kind)
	}
	return nil
}

// checkHomeRegion adds a route that may only be served in Otago and sends requests to it
// through each daemon; those elsewhere must refuse them.
func (d *demo) checkHomeRegion(ctx context.Context) error {
	note := d.nextNote("records that stay in Otago")
	shape := probeShape(note.Version)
	shape.Path = "/records"
	route := probeRoute(note.Version, "cliffvault")
	route.Name = "records"
	route.PathPrefix = shape.Path
	route.HomeRegions = []core.Region{"otago"}
	note.Add.Routes = append(note.Add.Routes, route)
	if err := d.publish(ctx, note); err != nil {
		return err
	}
	served := 0
	for _, host := range d.plan.Hosts {
		result := d.sender.SendTo(ctx, host.CallerAddress, shape, "records-"+string(host.Name), "")
		switch {
		case result.Outcome == OK && strings.Contains(result.Upstream, "otago"):
			served++
		case result.Outcome == OK:
			d.fault("a request with home region otago was served by %s", result.Upstream)
		case !result.NotRun || (result.Kind != core.HomeRegion && result.Kind != core.NoRoute):
			// A daemon elsewhere may not even know the route.
			d.fault("a request with home region otago through %s ended as %s %s", host.Name, result.Outcome, result.Kind)
		}
	}
	d.printf("   served through %d daemons, all by upstreams in otago\n", served)
	return nil
}

// takeZoneOut takes an availability zone out and counts the requests that its upstreams
// begin to run later than the bound after publication.
func (d *demo) takeZoneOut(ctx context.Context) error {
	note := d.nextNote("take " + string(outZone) + " out")
	note.TakeOut = []core.AvailabilityZone{outZone}
	start := time.Now()
	if err := d.publish(ctx, note); err != nil {
		return err
	}
	late, err := d.lateWork(ctx, d.plan.InZone(outZone), start)
	if err != nil {
		return err
	}
	d.report.azOutLateRequests = late
	if late > 0 {
		d.fault("%d requests began in %s later than %s after it was taken out", late, outZone, leaveBound)
	}
	return nil
}

// lateWork returns how many requests began at the upstreams of the hosts later than the
// bound after start.
func (d *demo) lateWork(ctx context.Context, hosts []HostPlan, start time.Time) (int64, error) {
	if !pause(ctx, time.Until(start.Add(leaveBound))) {
		return 0, ctx.Err()
	}
	before, err := d.sumRuns(ctx, hosts)
	if err != nil {
		return 0, err
	}
	if !pause(ctx, watchTime) {
		return 0, ctx.Err()
	}
	after, err := d.sumRuns(ctx, hosts)
	if err != nil {
		return 0, err
	}
	d.printf("   %d requests began later than %s, last one %d ms after the start\n",
		after.Requests-before.Requests, leaveBound, after.LastStart-start.UnixMilli())
	return after.Requests - before.Requests, nil
}

// bringZoneBack restarts the upstreams of the availability zone, brings it back and checks
// that they receive work, but no more than they can bear.
func (d *demo) bringZoneBack(ctx context.Context) error {
	hosts := d.plan.InZone(outZone)
	for _, host := range hosts {
		if err := setFaults(ctx, host, stand.UpstreamFaults{Restart: true}); err != nil {
			return err
		}
	}
	before, err := d.sumRuns(ctx, hosts)
	if err != nil {
		return err
	}
	note := d.nextNote("bring " + string(outZone) + " back")
	note.BringBack = []core.AvailabilityZone{outZone}
	if err = d.publish(ctx, note); err != nil {
		return err
	}
	if !pause(ctx, upstreamColdFor+time.Duration(tussockCapacity.WarmUp)) {
		return ctx.Err()
	}
	after, err := d.sumRuns(ctx, hosts)
	if err != nil {
		return err
	}
	d.printf("   %d requests began there, %d were shed in cold start\n",
		after.Requests-before.Requests, after.ColdShed-before.ColdShed)
	if after.Requests == before.Requests {
		d.fault("%s receives no work after it was brought back", outZone)
	}
	return nil
}

// stopDaemon stops a daemon by SIGTERM while requests are under way through it. Its upstream
// runs closure orders, so that the owner of a share of the idempotency keys leaves.
func (d *demo) stopDaemon(ctx context.Context) error {
	host := d.plan.lastOf("roadguard")
	pid, err := d.pidOf(host)
	if err != nil {
		return err
	}
	long := NewRecorder()
	finish := d.sendLong(ctx, host, long)
	start := time.Now()
	if err = syscall.Kill(pid, syscall.SIGTERM); err != nil {
		return fmt.Errorf("SIGTERM to daemon %s: %w", host.Name, err)
	}
	late, err := d.lateWork(ctx, []HostPlan{host}, start)
	if err != nil {
		return err
	}
	if late > 0 {
		d.fault("%d requests began on %s later than %s after its planned stop began", late, host.Name, leaveBound)
	}
	finish()
	if err := awaitExit(ctx, pid, start.Add(stopBound)); err != nil {
		return err
	}
	phase := d.phase
	d.report.cutInFlight = phase.Counts().Broken + long.Counts().Broken + long.Counts().Failed
	d.printf("   of %d requests under way through %s, %d were answered; %d requests were cut\n",
		longRequests, host.Name, long.Counts().OK, d.report.cutInFlight)
	if d.report.cutInFlight > 0 || long.Counts().OK != longRequests {
		d.fault("a planned stop cut requests in flight: %v %v", phase.Errors(), long.Errors())
	}
	return nil
}

// sendLong sends requests that take long through one daemon and returns once they run; the
// function that it returns waits for their answers.
func (d *demo) sendLong(ctx context.Context, host HostPlan, recorder *Recorder) func() {
	shape := Shapes[0]
	shape.ServiceMs = longServiceMs
	shape.Timeout = 4 * longServiceMs * time.Millisecond
	var group sync.WaitGroup
	for n := range longRequests {
		group.Go(func() {
			result := d.sender.SendTo(ctx, host.CallerAddress, shape, fmt.Sprintf("long-%d", n), "")
			recorder.Record(shape, "", result, 0, 0)
		})
	}
	// A third of their service time is enough for the requests to reach the upstreams.
	pause(ctx, longServiceMs*time.Millisecond/3)
	return group.Wait
}

// compare compares what callers and upstreams saw of all orders.
func (d *demo) compare(ctx context.Context) error {
	d.stopTraffic()
	runs, err := d.sumRuns(ctx, d.plan.Hosts)
	if err != nil {
		return err
	}
	ran := runs.ByID
	d.report.duplicated = runs.Duplicated
	unrun, falseNotRun := 0, 0
	for key, result := range d.meter.All.Orders() {
		if result.Outcome == OK && ran[key] == 0 {
			unrun++
		}
		if !result.MayHaveRun && ran[key] > 0 {
			falseNotRun++
		}
	}
	counts := d.meter.All.Counts()
	d.expectZero("non-idempotent requests ran more than once", d.report.duplicated)
	d.expectZero("orders were confirmed that no upstream ran", int64(unrun))
	d.expectZero("orders that ran were refused as not run", int64(falseNotRun))
	d.expectZero("answers were wrong", counts.Wrong)
	d.expectZero("answers were cut", counts.Cut)
	d.expectZero("upstreams in cold start got more than they can bear", runs.ColdOverloads)
	d.expectZero("requests were not answered", counts.NotOK())
	d.printf("   upstreams ran %d requests, %d orders among them, and shed %d\n", runs.Requests, runs.Orders, runs.Shed)
	return nil
}

func (d *demo) expectZero(what string, n int64) {
	if n != 0 {
		d.fault("%d %s", n, what)
	}
}

// sumRuns sums the counts of the upstreams of the hosts.
func (d *demo) sumRuns(ctx context.Context, hosts []HostPlan) (stand.Runs, error) {
	var all []stand.Runs
	for _, host := range hosts {
		runs, err := getRuns(ctx, host)
		if err != nil {
			return stand.Runs{}, err
		}
		all = append(all, runs)
	}
	return sumRuns(all), nil
}

// sumRuns sums counts; LastStart is the latest, and ByID adds up the runs everywhere.
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

// pidOf reads the process id of a host's daemon, which the script started.
func (d *demo) pidOf(host HostPlan) (int, error) {
	data, err := os.ReadFile(filepath.Join(d.command.Dir, "daemon-"+string(host.Name)+".pid"))
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return 0, fmt.Errorf("%q is not the process id of a daemon", data)
	}
	return pid, nil
}

// awaitExit waits until a process has ended. Its parent collects it only later, so a zombie
// counts as ended.
func awaitExit(ctx context.Context, pid int, deadline time.Time) error {
	for {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(data), ") Z ") {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("process %d has not ended %s after SIGTERM", pid, stopBound)
		}
		if !pause(ctx, processPause) {
			return ctx.Err()
		}
	}
}
