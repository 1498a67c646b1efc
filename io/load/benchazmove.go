package load

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"verbenaway/core"
	"verbenaway/io/stand"
)

// BenchZoneMoveCommand is the subcommand bench-azmove.
type BenchZoneMoveCommand struct {
	Rate     float64       `long:"rate" value-name:"N" default:"1200" description:"requests per second over all availability zones"`
	Settle   time.Duration `long:"settle" value-name:"DURATION" default:"12s" description:"time before the measurement, in which gatekeepers raise their limits and owners of keys become certain of their role"`
	Phase    time.Duration `long:"phase" value-name:"DURATION" default:"8s" description:"duration of each phase: before, during and after"`
	HostsLag time.Duration `long:"hosts-lag" value-name:"DURATION" default:"2s" description:"delay after which the baseline sees a change of the host list"`
	ColdFor  time.Duration `long:"cold-for" value-name:"DURATION" default:"4s" description:"duration of the cold start of the upstreams in the availability zone after its return"`
	Seed     uint64        `long:"seed" value-name:"N" default:"5" description:"seed of the random choice of requests and service times"`
}

// Each upstream has 18 slots and a mean service time of 20 ms, so it handles 900 requests per
// second when warm and 150 with its 3 cold slots. At the default rate each availability zone
// receives 200. The warm-up is longer than the default cold start, as operators should set it.
const (
	azMoveServiceTime = 20 * time.Millisecond
	azMoveWarmUp      = 5 * time.Second
)

// azMove is one measurement: a way of moving the traffic and its results.
type azMove struct {
	command  *BenchZoneMoveCommand
	way      string
	fleet    *inProcessFleet
	meter    *Meter
	send     func(ctx context.Context, template RequestTemplate, id, key string) Result
	outHosts []HostPlan

	phases         [3]*Recorder  // before, during, after
	lastNewRequest time.Duration // start of the last request in outZone, from the start of takeOut
}

// Execute measures both ways and prints one summary line for each.
func (c *BenchZoneMoveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, run := range []func(context.Context) error{c.verbenaway, c.roundRobin} {
		if err := run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// verbenaway measures the mesh: six daemons, one in each availability zone.
func (c *BenchZoneMoveCommand) verbenaway(ctx context.Context) error {
	return c.measure(ctx, "verbenaway", newDaemon, func(fleet *inProcessFleet) (sendFunc, func(), error) {
		return fleet.sender.Send, func() {}, nil
	})
}

// roundRobin measures the baseline, which sends directly to the upstreams.
func (c *BenchZoneMoveCommand) roundRobin(ctx context.Context) error {
	return c.measure(ctx, "roundRobin", nil, func(fleet *inProcessFleet) (sendFunc, func(), error) {
		followCtx, cancel := context.WithCancel(ctx)
		baseline := newRoundRobin(fleet.plan)
		var group sync.WaitGroup
		group.Go(func() {
			baseline.follow(followCtx)
		})
		closeBaseline := func() {
			cancel()
			group.Wait()
			baseline.close()
		}
		for baseline.upstreamCount() == 0 {
			if !sleep(ctx, pollInterval) {
				closeBaseline()
				return nil, nil, ctx.Err()
			}
		}
		return baseline.send, closeBaseline, nil
	})
}

type sendFunc func(ctx context.Context, template RequestTemplate, id, key string) Result

// measure runs the measurement with one way of sending. connect returns the function that sends
// a request and one that stops what connect started.
func (c *BenchZoneMoveCommand) measure(ctx context.Context, way string, makeDaemon daemonFunc, connect func(*inProcessFleet) (sendFunc, func(), error)) error {
	plan, err := NewPlan(tussockServices[:1])
	if err != nil {
		return err
	}
	fleet, err := startFleet(ctx, plan, c.firstNote(), c.upstreamConfig, makeDaemon)
	if err != nil {
		return err
	}
	send, disconnect, err := connect(fleet)
	if err != nil {
		return errors.Join(err, fleet.stop())
	}
	move := &azMove{
		command:  c,
		way:      way,
		fleet:    fleet,
		meter:    NewMeter(),
		send:     send,
		outHosts: plan.InZone(outZone),
	}
	err = move.run(ctx)
	disconnect()
	return errors.Join(err, fleet.stop())
}

// firstNote returns note 1 with all routes to the only service of the benchmark.
func (c *BenchZoneMoveCommand) firstNote() core.Note {
	capacity := tussockCapacity
	capacity.WarmUp = core.Duration(azMoveWarmUp)
	note := FirstNote(capacity)
	for i := range note.Add.Routes {
		note.Add.Routes[i].Service = tussockServices[0]
	}
	return note
}

func (c *BenchZoneMoveCommand) upstreamConfig(host HostPlan) stand.UpstreamConfig {
	return stand.UpstreamConfig{
		Host:             host.Name,
		AvailabilityZone: host.AvailabilityZone,
		Service:          host.Service,
		Slots:            tussockCapacity.Slots,
		Connections:      tussockCapacity.Connections,
		ConnectionCost:   time.Millisecond,
		ColdSlots:        tussockCapacity.ColdSlots,
		ColdFor:          c.ColdFor,
		StartWarm:        true,
		ServiceTime:      azMoveServiceTime,
		Distribution:     stand.DistributionExponential,
		Seed:             c.Seed,
	}
}

func (m *azMove) run(ctx context.Context) error {
	mix, err := ParseMix("lookup=90,order=10")
	if err != nil {
		return err
	}
	sendCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		Run(sendCtx, RunConfig{
			Mix:  mix,
			Rate: m.command.Rate,
			Seed: m.command.Seed,
			Name: m.way,
			Send: m.send,
		}, m.meter)
	})
	err = m.runPhases(ctx)
	stop()
	group.Wait()
	if err == nil {
		m.print()
	}
	return err
}

// runPhases runs the phases while requests are sent.
func (m *azMove) runPhases(ctx context.Context) error {
	if !sleep(ctx, m.command.Settle) {
		return ctx.Err()
	}
	m.phases[0] = m.meter.BeginPhase()
	if !sleep(ctx, m.command.Phase) {
		return ctx.Err()
	}
	m.phases[1] = m.meter.BeginPhase()
	if err := m.takeOut(ctx); err != nil {
		return err
	}
	m.phases[2] = m.meter.BeginPhase()
	if err := m.bringBack(ctx); err != nil {
		return err
	}
	if !sleep(ctx, m.command.Phase) {
		return ctx.Err()
	}
	return nil
}

// takeOut takes the availability zone out. Its upstreams drain once leaveTimeout has passed,
// since operators rely on upstreams receiving no new requests from then on. bringBack restarts
// them.
func (m *azMove) takeOut(ctx context.Context) error {
	start := time.Now()
	note := m.fleet.nextNote("take " + string(outZone) + " out")
	note.TakeOut = []core.AvailabilityZone{outZone}
	m.setHosts(core.HostLeaving)
	if err := m.fleet.publish(ctx, note); err != nil {
		return err
	}
	if !sleep(ctx, time.Until(start.Add(leaveTimeout))) {
		return ctx.Err()
	}
	m.setFaults(stand.UpstreamFaults{
		Drain: true,
	})
	if !sleep(ctx, time.Until(start.Add(m.command.Phase))) {
		return ctx.Err()
	}
	m.lastNewRequest = max(0, time.UnixMilli(m.fleet.runs(m.outHosts).LastStart).Sub(start))
	return nil
}

// bringBack brings the availability zone back with cold upstreams.
func (m *azMove) bringBack(ctx context.Context) error {
	m.setFaults(stand.UpstreamFaults{
		Restart: true,
	})
	note := m.fleet.nextNote("bring " + string(outZone) + " back")
	note.BringBack = []core.AvailabilityZone{outZone}
	m.setHosts(core.HostLive)
	return m.fleet.publish(ctx, note)
}

// setHosts sets the state of the hosts of the availability zone in the host list. Readers of
// the list see the change after HostsLag.
func (m *azMove) setHosts(state core.HostState) {
	if m.way == "verbenaway" {
		// The mesh learns of the move from the note alone, to show that this is enough.
		return
	}
	list := m.fleet.plan.HostList()
	for i := range list.Hosts {
		if list.Hosts[i].AvailabilityZone == outZone {
			list.Hosts[i].State = state
		}
	}
	lag := core.Duration(m.command.HostsLag)
	m.fleet.store.SetFaults(stand.StoreFaults{
		HostsLag: &lag,
	})
	m.fleet.store.SetHosts(list)
}

func (m *azMove) setFaults(faults stand.UpstreamFaults) {
	for _, host := range m.outHosts {
		m.fleet.upstreams[host.Name].SetFaults(faults)
	}
}

func (m *azMove) print() {
	runs := m.fleet.runs(m.fleet.plan.Hosts)
	requests, failed := int64(0), int64(0)
	for _, phase := range m.phases {
		requests += phase.Counts().Requests
		failed += phase.Counts().NotOK()
	}
	fmt.Printf("%s before: %s\n%s during: %s\n%s after: %s\n",
		m.way, m.phases[0].Line(), m.way, m.phases[1].Line(), m.way, m.phases[2].Line())
	for _, phase := range m.phases {
		for _, text := range phase.Errors() {
			fmt.Printf("%s error: %s\n", m.way, text)
		}
	}
	fmt.Printf("azMove way=%s requests=%d failed=%d duplicated=%d coldOverloads=%d lateNewWorkMs=%d p99BeforeMs=%s p99DuringMs=%s p99AfterMs=%s\n",
		m.way, requests, failed, runs.Duplicated, runs.ColdOverloads, m.lastNewRequest.Milliseconds(),
		formatMs(m.phases[0].Percentile(99)), formatMs(m.phases[1].Percentile(99)), formatMs(m.phases[2].Percentile(99)))
}
