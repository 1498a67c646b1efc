package dedup_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/core/dedup"
	"verbenaway/tools/fixed"
)

// TestMain fixes the random seed, so that every run gives the same result; command-line flags
// take precedence.
func TestMain(m *testing.M) {
	fixed.ConfigureRapid(20261204, fixed.Flag{Name: "rapid.steps", Value: "300"}, fixed.Flag{Name: "rapid.checks", Value: "1500"})
	os.Exit(m.Run())
}

const (
	slots         = 5
	coldSlots     = 2
	reserved      = 2
	warmUp        = time.Second
	leaseDuration = 6 * time.Second
)

// simulation is a service of three hosts with differing clocks. It counts how often each request
// really ran at an upstream, as the oracle.
type simulation struct {
	// claims counts the keys that were claimed in all simulations.
	claims  *int
	t       *rapid.T
	now     time.Time
	hosts   []*hostModel
	updates []memberUpdate
	keys    []string
	runs    map[string]int
}

// hostModel is one daemon with its upstream. Its view of the members lags behind.
type hostModel struct {
	name      core.HostName
	skew      time.Duration
	isDead    bool
	isLeaving bool
	table     *dedup.Table
	control   *admit.Controller
	members   []core.Member
	// since is Ownership.Since for every key.
	since             time.Time
	upstreamBootCount int
	upstreamBootedAt  time.Time
	running           []*jobModel
	waiting           []*jobModel
}

// jobModel is a request that waits or runs at a host.
type jobModel struct {
	host   *hostModel
	key    string
	class  core.RequestClass
	ticket *admit.Ticket
	isShed bool
}

// memberUpdate is a change of a member that a host learns of at a later time.
type memberUpdate struct {
	at     time.Time
	host   *hostModel
	member core.Member
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: start, runs: map[string]int{}}
	for i := range 3 {
		host := &hostModel{
			name: core.HostName(fmt.Sprintf("h%d", i)),
			skew: time.Duration(rapid.SampledFrom([]int{0, 250, 499}).Draw(t, "skew")) * time.Millisecond,
		}
		sim.hosts = append(sim.hosts, host)
		sim.startDaemon(host)
		sim.restartUpstream(host)
	}
	for _, host := range sim.hosts {
		for _, other := range sim.hosts {
			host.members = append(host.members, memberOf(other, core.MemberAlive))
		}
	}
	sim.advance(time.Minute)
	return sim
}

// memberOf returns a member that may own all keys.
func memberOf(h *hostModel, state core.MemberState) core.Member {
	return core.Member{
		Host: core.Host{
			Name: h.name,
		},
		State:      state,
		EligibleAt: 1,
	}
}

func (sim *simulation) startDaemon(h *hostModel) {
	h.isDead, h.isLeaving = false, false
	h.table = dedup.NewTable(dedup.Config{MaxKeys: 40}, sim.clock(h))
	h.control = admit.New(admit.Config{Self: core.Host{Name: h.name, Service: "s"}, QueueLength: 2})
	h.since = sim.clock(h)
	service := core.ServiceSpec{Slots: slots, ColdSlots: coldSlots, ReservedSlots: reserved, WarmUp: core.Duration(warmUp)}
	route := func(class core.RequestClass) core.RouteSpec {
		return core.RouteSpec{Service: "s", Class: class}
	}
	h.control.Configure(sim.clock(h), &core.Snapshot{
		Version:  1,
		Services: map[core.ServiceName]core.ServiceSpec{"s": service},
		Routes: map[core.RouteName]core.RouteSpec{
			"lookup": route(core.ClassLookup),
			"order":  route(core.ClassOrder),
			"bulk":   route(core.ClassBulk),
		},
	})
}

func (sim *simulation) clock(h *hostModel) time.Time { return sim.now.Add(h.skew) }

// advance lets time pass and delivers the updates that are due.
func (sim *simulation) advance(by time.Duration) {
	end := sim.now.Add(by)
	slices.SortStableFunc(sim.updates, func(a, b memberUpdate) int { return a.at.Compare(b.at) })
	for len(sim.updates) > 0 && !sim.updates[0].at.After(end) {
		due := sim.updates[0]
		sim.updates = sim.updates[1:]
		sim.now = due.at
		i := slices.IndexFunc(due.host.members, func(m core.Member) bool { return m.Host.Name == due.member.Host.Name })
		due.host.members[i].State = due.member.State
		due.host.since = sim.clock(due.host)
	}
	sim.now = end
}

// announce schedules the other hosts to learn a member state after a delay from least to most.
func (sim *simulation) announce(about *hostModel, state core.MemberState, least, most time.Duration) {
	for _, host := range sim.hosts {
		if host == about {
			continue
		}
		delay := rapid.SampledFrom([]time.Duration{least, least + 100*time.Millisecond, most}).Draw(sim.t, "delay")
		sim.updates = append(sim.updates, memberUpdate{
			at:     sim.now.Add(delay),
			host:   host,
			member: memberOf(about, state),
		})
	}
}

// send sends a request through a random entry, which forwards it to the owner in its own view.
func (sim *simulation) send(key string, class core.RequestClass) {
	entry := rapid.SampledFrom(sim.hosts).Draw(sim.t, "entry")
	target := entry
	if key != "" {
		host, ok := dedup.Owner(key, entry.members)
		if !ok {
			return
		}
		target = sim.hosts[slices.IndexFunc(sim.hosts, func(h *hostModel) bool { return h.name == host.Name })]
	}
	if target.isDead {
		return
	}
	if key != "" && !sim.claim(target, key) {
		return
	}
	sim.admit(target, key, class)
}

// claim reports whether the request is the first with its key and may run.
func (sim *simulation) claim(h *hostModel, key string) bool {
	host, ok := dedup.Owner(key, h.members)
	ownership := dedup.Ownership{
		IsOwner: ok && host.Name == h.name,
		Lease:   sim.clock(h).Add(time.Second),
		Since:   h.since,
	}
	decision := claim(h.table, sim.clock(h), key, ownership)
	switch decision.Verdict {
	case dedup.Run:
		*sim.claims++
		return true
	case dedup.Recorded:
		sim.check(sim.runs[key] == 1, "a recorded answer for a request that ran %d times", sim.runs[key])
	case dedup.Refused:
		// NotOwner says nothing about the key's request, which the owner may have run.
		if decision.Kind != core.NotOwner {
			sim.checkNotRun(key, decision.Kind)
		}
	}
	return false
}

func (sim *simulation) admit(h *hostModel, key string, class core.RequestClass) {
	job := &jobModel{host: h, key: key, class: class, ticket: &admit.Ticket{}}
	job.ticket.Owner = job
	request := admit.Request{Route: core.RouteName(class), Deadline: sim.clock(h).Add(time.Minute)}
	decision := h.control.Offer(sim.clock(h), request, job.ticket)
	switch {
	case decision.Wait:
		h.waiting = append(h.waiting, job)
	case decision.Kind != "":
		sim.release(job, decision.Kind)
	default:
		sim.run(job)
	}
}

func (sim *simulation) release(job *jobModel, kind core.ErrorKind) {
	if job.key != "" {
		sim.checkNotRun(job.key, kind)
		job.host.table.Release(dedup.Key{Text: job.key}, kind, "")
	}
}

// run is the upstream: it sheds or runs the request, and counts and checks the runs.
func (sim *simulation) run(job *jobModel) {
	h := job.host
	job.isShed = rapid.IntRange(0, 19).Draw(sim.t, "shed") == 0
	h.running = append(h.running, job)
	warm := float64(sim.now.Sub(h.upstreamBootedAt)) / float64(warmUp)
	capacity := min(slots, coldSlots+int(math.Floor(warm*(slots-coldSlots))))
	sim.check(len(h.running) <= capacity, "%d requests at an upstream with a capacity of %d", len(h.running), capacity)
	bulk := 0
	for _, other := range h.running {
		if other.class == core.ClassBulk {
			bulk++
		}
	}
	sim.check(bulk <= slots-reserved, "%d bulk requests run in spite of the reserved slots", bulk)
	if job.key != "" && !job.isShed {
		sim.runs[job.key]++
		sim.check(sim.runs[job.key] == 1, "%s ran %d times", job.key, sim.runs[job.key])
	}
}

// finish ends a running request; if the answer is lost, its outcome is unknown.
func (sim *simulation) finish(job *jobModel, isLost bool) {
	h := job.host
	h.running = slices.DeleteFunc(h.running, func(other *jobModel) bool { return other == job })
	signal := admit.SignalAnswered
	switch {
	case isLost:
		signal = admit.SignalReset
	case job.isShed:
		signal = admit.SignalShed
	}
	bootID := fmt.Sprint(h.upstreamBootCount)
	if isLost {
		bootID = ""
	}
	h.control.RecordSignal(sim.clock(h), job.ticket, signal, bootID)
	if job.key != "" {
		switch {
		case isLost:
			h.table.Complete(dedup.Key{Text: job.key}, nil)
		case job.isShed:
			sim.release(job, core.Overloaded)
		default:
			h.table.Complete(dedup.Key{Text: job.key}, &dedup.Answer{Status: 200})
		}
	}
	sim.handleWakes(h, h.control.Finish(sim.clock(h), job.ticket, signal == admit.SignalAnswered))
}

func (sim *simulation) handleWakes(h *hostModel, wakes []admit.Wake) {
	for _, wake := range slices.Clone(wakes) {
		job := wake.Ticket.Owner.(*jobModel)
		h.waiting = slices.DeleteFunc(h.waiting, func(other *jobModel) bool { return other == job })
		if wake.Kind != "" {
			sim.release(job, wake.Kind)
			continue
		}
		sim.run(job)
	}
}

// restartUpstream resets all connections and begins a cold start.
func (sim *simulation) restartUpstream(h *hostModel) {
	h.upstreamBootCount++
	h.upstreamBootedAt = sim.now
	h.control.SuspectRestart()
	lost := h.running
	h.running = nil
	for _, job := range lost {
		h.control.RecordSignal(sim.clock(h), job.ticket, admit.SignalReset, "")
	}
	for _, job := range lost {
		sim.finish(job, true)
	}
}

func (sim *simulation) checkNotRun(key string, kind core.ErrorKind) {
	if kind.Info().NotRun {
		sim.check(sim.runs[key] == 0, "%s claims that %s has not run", kind, key)
	}
}

func (sim *simulation) check(ok bool, format string, args ...any) {
	if !ok {
		sim.t.Fatalf(format, args...)
	}
}

func (sim *simulation) drawHost(t *rapid.T, accept func(*hostModel) bool) *hostModel {
	host := rapid.SampledFrom(sim.hosts).Draw(t, "host")
	if !accept(host) {
		t.Skip("the host is in another state")
	}
	return host
}

func isUp(h *hostModel) bool { return !h.isDead && !h.isLeaving }

// TestOracle guards against a request that runs twice, a false "not run" answer, and more
// requests at an upstream than its slots, reserved slots or cold start allow, while daemons die,
// leave and return and upstreams restart.
func TestOracle(t *testing.T) {
	claims := 0
	defer func() { qt.Check(t, claims > 0, qt.IsTrue, qt.Commentf("no key was ever claimed")) }()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.claims = &claims
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				sim.t = t
				created := sim.now.Add(time.Duration(rapid.SampledFrom([]int{-500, 0, 500, 999}).Draw(t, "age")) * time.Millisecond)
				key := fmt.Sprintf("%d-%d", created.UnixMilli(), len(sim.keys))
				sim.keys = append(sim.keys, key)
				// Callers send duplicates of an order at once through several entries.
				for range 3 {
					sim.send(key, core.ClassOrder)
				}
			},
			"again": func(t *rapid.T) {
				sim.t = t
				if len(sim.keys) == 0 {
					t.Skip("no key yet")
				}
				recent := sim.keys[max(0, len(sim.keys)-8):]
				sim.send(rapid.SampledFrom(recent).Draw(t, "key"), core.ClassOrder)
			},
			"plain": func(t *rapid.T) {
				sim.t = t
				host := sim.drawHost(t, isUp)
				class := rapid.SampledFrom([]core.RequestClass{core.ClassLookup, core.ClassBulk}).Draw(t, "class")
				for range slots + 1 {
					sim.admit(host, "", class)
				}
			},
			"serve": func(t *rapid.T) {
				// Steady load warms the upstream up.
				sim.t = t
				host := sim.drawHost(t, func(h *hostModel) bool { return isUp(h) && len(h.running) > 0 })
				for range 20 {
					sim.advance(60 * time.Millisecond)
					if len(host.running) > 0 {
						sim.finish(host.running[0], false)
					}
					sim.admit(host, "", core.ClassLookup)
				}
			},
			"finish": func(t *rapid.T) {
				sim.t = t
				host := sim.drawHost(t, func(h *hostModel) bool { return len(h.running) > 0 })
				job := rapid.SampledFrom(host.running).Draw(t, "job")
				sim.finish(job, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			},
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.SampledFrom([]int{1, 200, 600, 1000, 7000}).Draw(t, "ms")) * time.Millisecond)
			},
			"upstream restarts": func(t *rapid.T) {
				sim.t = t
				sim.restartUpstream(sim.drawHost(t, isUp))
			},
			"leave": func(t *rapid.T) {
				sim.t = t
				host := sim.drawHost(t, isUp)
				host.isLeaving = true
				i := slices.IndexFunc(host.members, func(m core.Member) bool { return m.Host.Name == host.name })
				host.members[i].State = core.MemberLeaving
				sim.handleWakes(host, host.control.Drain())
				sim.announce(host, core.MemberLeaving, 0, 3*time.Second)
			},
			"die": func(t *rapid.T) {
				sim.t = t
				host := sim.drawHost(t, isUp)
				host.isDead = true
				host.running, host.waiting = nil, nil
				sim.announce(host, core.MemberDead, leaseDuration, leaseDuration+2*time.Second)
			},
			"return": func(t *rapid.T) {
				sim.t = t
				host := sim.drawHost(t, func(h *hostModel) bool { return !isUp(h) })
				sim.updates = slices.DeleteFunc(sim.updates, func(u memberUpdate) bool { return u.member.Host.Name == host.name })
				host.running, host.waiting = nil, nil
				sim.startDaemon(host)
				sim.restartUpstream(host)
				i := slices.IndexFunc(host.members, func(m core.Member) bool { return m.Host.Name == host.name })
				host.members[i].State = core.MemberAlive
				sim.announce(host, core.MemberAlive, 0, 3*time.Second)
			},
		})
	})
}
