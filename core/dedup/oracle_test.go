package dedup_test

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/core/dedup"
	"verbenaway/tools/fixed"
)

// TestMain fixes the random input, so that every run gives the same verdict; flags of the
// command line take precedence.
func TestMain(m *testing.M) {
	fixed.Random(20261204, fixed.Preset{Name: "rapid.steps", Value: "300"}, fixed.Preset{Name: "rapid.checks", Value: "1500"})
	os.Exit(m.Run())
}

const (
	slots     = 5
	coldSlots = 2
	reserved  = 2
	warmUp    = time.Second
	leaseEnds = 6 * time.Second
)

// world is a service of three hosts with clocks that differ, and an oracle that counts what
// the upstreams really ran.
type world struct {
	t     *rapid.T
	now   time.Time
	hosts []*hostModel
	news  []newsModel
	keys  []string
	runs  map[string]int
}

// hostModel is one daemon with its upstream. Its members lag behind the truth.
type hostModel struct {
	name      core.HostName
	skew      time.Duration
	isDead    bool
	isLeaving bool
	table     *dedup.Table
	control   *admit.Controller
	members   []core.Member
	since     time.Time
	boot      int
	booted    time.Time
	running   []*jobModel
	waiting   []*jobModel
}

type jobModel struct {
	host   *hostModel
	key    string
	class  core.RequestClass
	ticket *admit.Ticket
	isShed bool
}

// newsModel is a change of the members that a host learns later.
type newsModel struct {
	at     time.Time
	host   *hostModel
	member core.Member
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, runs: map[string]int{}}
	for i := range 3 {
		host := &hostModel{
			name: core.HostName(fmt.Sprintf("h%d", i)),
			skew: time.Duration(rapid.SampledFrom([]int{0, 250, 499}).Draw(t, "skew")) * time.Millisecond,
		}
		w.hosts = append(w.hosts, host)
		w.boot(host)
		w.restartUpstream(host)
	}
	for _, host := range w.hosts {
		for _, other := range w.hosts {
			host.members = append(host.members, core.Member{Host: core.Host{Name: other.name}})
		}
	}
	w.advance(time.Minute)
	return w
}

func (w *world) boot(h *hostModel) {
	h.isDead, h.isLeaving = false, false
	h.table = dedup.NewTable(dedup.Config{MaxKeys: 40}, w.clock(h))
	h.control = admit.New(admit.Config{Self: core.Host{Name: h.name, Service: "s"}, QueueLength: 2})
	h.since = w.clock(h)
	service := core.ServiceSpec{Slots: slots, ColdSlots: coldSlots, ReservedSlots: reserved, WarmUp: core.Duration(warmUp)}
	route := func(class core.RequestClass) core.RouteSpec {
		return core.RouteSpec{Service: "s", Class: class}
	}
	h.control.Configure(w.clock(h), &core.Snapshot{
		Version:  1,
		Services: map[core.ServiceName]core.ServiceSpec{"s": service},
		Routes: map[core.RouteName]core.RouteSpec{
			"lookup": route(core.ClassLookup),
			"order":  route(core.ClassOrder),
			"bulk":   route(core.ClassBulk),
		},
	})
}

func (w *world) clock(h *hostModel) time.Time { return w.now.Add(h.skew) }

// advance lets time pass; each host learns the news that are due.
func (w *world) advance(by time.Duration) {
	end := w.now.Add(by)
	slices.SortStableFunc(w.news, func(a, b newsModel) int { return a.at.Compare(b.at) })
	for len(w.news) > 0 && !w.news[0].at.After(end) {
		due := w.news[0]
		w.news = w.news[1:]
		w.now = due.at
		i := slices.IndexFunc(due.host.members, func(m core.Member) bool { return m.Host.Name == due.member.Host.Name })
		due.host.members[i].State = due.member.State
		due.host.since = w.clock(due.host)
	}
	w.now = end
}

// tell lets the other hosts learn a state after a delay of up to a bound.
func (w *world) tell(about *hostModel, state core.MemberState, least, most time.Duration) {
	for _, host := range w.hosts {
		if host == about {
			continue
		}
		delay := rapid.SampledFrom([]time.Duration{least, least + 100*time.Millisecond, most}).Draw(w.t, "delay")
		w.news = append(w.news, newsModel{
			at:     w.now.Add(delay),
			host:   host,
			member: core.Member{Host: core.Host{Name: about.name}, State: state},
		})
	}
}

// send lets a caller send a request through a random entry, which asks the owner it knows.
func (w *world) send(key string, class core.RequestClass) {
	entry := rapid.SampledFrom(w.hosts).Draw(w.t, "entry")
	target := entry
	if key != "" {
		host, ok := dedup.Owner(key, entry.members)
		if !ok {
			return
		}
		target = w.hosts[slices.IndexFunc(w.hosts, func(h *hostModel) bool { return h.name == host.Name })]
	}
	if target.isDead {
		return
	}
	if key != "" && !w.claim(target, key) {
		return
	}
	w.admit(target, key, class)
}

// claim returns true if the request is the first with its key.
func (w *world) claim(h *hostModel, key string) bool {
	host, ok := dedup.Owner(key, h.members)
	ownership := dedup.Ownership{
		IsOwner: ok && host.Name == h.name,
		Lease:   w.clock(h).Add(time.Second),
		Since:   h.since,
	}
	decision := claim(h.table, w.clock(h), key, ownership)
	switch decision.Verdict {
	case dedup.Run:
		return true
	case dedup.Recorded:
		w.check(w.runs[key] == 1, "an answer for a request that ran %d times", w.runs[key])
	case dedup.Refused:
		// NotOwner speaks of this daemon only: the owner decides on the key.
		if decision.Kind != core.NotOwner {
			w.checkNotRun(key, decision.Kind)
		}
	}
	return false
}

func (w *world) admit(h *hostModel, key string, class core.RequestClass) {
	job := &jobModel{host: h, key: key, class: class, ticket: &admit.Ticket{}}
	job.ticket.Owner = job
	request := admit.Request{Route: core.RouteName(class), Deadline: w.clock(h).Add(time.Minute)}
	decision := h.control.Offer(w.clock(h), request, job.ticket)
	switch {
	case decision.Wait:
		h.waiting = append(h.waiting, job)
	case decision.Kind != "":
		w.release(job, decision.Kind)
	default:
		w.run(job)
	}
}

func (w *world) release(job *jobModel, kind core.Kind) {
	if job.key != "" {
		w.checkNotRun(job.key, kind)
		job.host.table.Release(dedup.Key{Text: job.key}, kind, "")
	}
}

// run is the upstream: it sheds or runs the request, and the oracle counts.
func (w *world) run(job *jobModel) {
	h := job.host
	job.isShed = rapid.IntRange(0, 19).Draw(w.t, "shed") == 0
	h.running = append(h.running, job)
	warm := float64(w.now.Sub(h.booted)) / float64(warmUp)
	bearable := min(slots, coldSlots+int(math.Floor(warm*(slots-coldSlots))))
	w.check(len(h.running) <= bearable, "%d requests at an upstream that bears %d", len(h.running), bearable)
	bulk := 0
	for _, other := range h.running {
		if other.class == core.ClassBulk {
			bulk++
		}
	}
	w.check(bulk <= slots-reserved, "%d bulk requests", bulk)
	if job.key != "" && !job.isShed {
		w.runs[job.key]++
		w.check(w.runs[job.key] == 1, "%s ran %d times", job.key, w.runs[job.key])
	}
}

// finish ends a running request; a lost answer leaves its outcome unknown.
func (w *world) finish(job *jobModel, isLost bool) {
	h := job.host
	h.running = slices.DeleteFunc(h.running, func(other *jobModel) bool { return other == job })
	signal := admit.SignalAnswered
	switch {
	case isLost:
		signal = admit.SignalReset
	case job.isShed:
		signal = admit.SignalShed
	}
	bootID := fmt.Sprint(h.boot)
	if isLost {
		bootID = ""
	}
	h.control.Report(w.clock(h), job.ticket, signal, bootID)
	if job.key != "" {
		switch {
		case isLost:
			h.table.Settle(dedup.Key{Text: job.key}, nil)
		case job.isShed:
			w.release(job, core.Overloaded)
		default:
			h.table.Settle(dedup.Key{Text: job.key}, &dedup.Answer{Status: 200})
		}
	}
	w.wake(h, h.control.Finish(w.clock(h), job.ticket, signal == admit.SignalAnswered))
}

func (w *world) wake(h *hostModel, wakes []admit.Wake) {
	for _, wake := range slices.Clone(wakes) {
		job := wake.Ticket.Owner.(*jobModel)
		h.waiting = slices.DeleteFunc(h.waiting, func(other *jobModel) bool { return other == job })
		if wake.Kind != "" {
			w.release(job, wake.Kind)
			continue
		}
		w.run(job)
	}
}

// restartUpstream resets every connection and begins a cold start.
func (w *world) restartUpstream(h *hostModel) {
	h.boot++
	h.booted = w.now
	h.control.SuspectRestart()
	lost := h.running
	h.running = nil
	for _, job := range lost {
		h.control.Report(w.clock(h), job.ticket, admit.SignalReset, "")
	}
	for _, job := range lost {
		w.finish(job, true)
	}
}

func (w *world) checkNotRun(key string, kind core.Kind) {
	if kind.Info().NotRun {
		w.check(w.runs[key] == 0, "%s says that %s has not run", kind, key)
	}
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		w.t.Fatalf(format, args...)
	}
}

func (w *world) drawHost(t *rapid.T, accept func(*hostModel) bool) *hostModel {
	host := rapid.SampledFrom(w.hosts).Draw(t, "host")
	if !accept(host) {
		t.Skip("the host is in another state")
	}
	return host
}

func isUp(h *hostModel) bool { return !h.isDead && !h.isLeaving }

// TestOracle guards against a request that runs twice, a "not run" that is not true, and more
// requests at an upstream than its slots, its reserved slots or its cold start allow, while
// daemons die, leave and return and upstreams restart.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				w.t = t
				created := w.now.Add(time.Duration(rapid.SampledFrom([]int{-500, 0, 500, 999}).Draw(t, "age")) * time.Millisecond)
				key := fmt.Sprintf("%d-%d", created.UnixMilli(), len(w.keys))
				w.keys = append(w.keys, key)
				// Callers repeat an order at once through several entries.
				for range 3 {
					w.send(key, core.ClassOrder)
				}
			},
			"again": func(t *rapid.T) {
				w.t = t
				if len(w.keys) == 0 {
					t.Skip("no key yet")
				}
				recent := w.keys[max(0, len(w.keys)-8):]
				w.send(rapid.SampledFrom(recent).Draw(t, "key"), core.ClassOrder)
			},
			"plain": func(t *rapid.T) {
				w.t = t
				host := w.drawHost(t, isUp)
				class := rapid.SampledFrom([]core.RequestClass{core.ClassLookup, core.ClassBulk}).Draw(t, "class")
				for range slots + 1 {
					w.admit(host, "", class)
				}
			},
			"serve": func(t *rapid.T) {
				// A host under steady load warms up.
				w.t = t
				host := w.drawHost(t, func(h *hostModel) bool { return isUp(h) && len(h.running) > 0 })
				for range 20 {
					w.advance(60 * time.Millisecond)
					if len(host.running) > 0 {
						w.finish(host.running[0], false)
					}
					w.admit(host, "", core.ClassLookup)
				}
			},
			"finish": func(t *rapid.T) {
				w.t = t
				host := w.drawHost(t, func(h *hostModel) bool { return len(h.running) > 0 })
				job := rapid.SampledFrom(host.running).Draw(t, "job")
				w.finish(job, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{1, 200, 600, 1000, 7000}).Draw(t, "ms")) * time.Millisecond)
			},
			"upstream restarts": func(t *rapid.T) {
				w.t = t
				w.restartUpstream(w.drawHost(t, isUp))
			},
			"leave": func(t *rapid.T) {
				w.t = t
				host := w.drawHost(t, isUp)
				host.isLeaving = true
				i := slices.IndexFunc(host.members, func(m core.Member) bool { return m.Host.Name == host.name })
				host.members[i].State = core.MemberLeaving
				w.wake(host, host.control.Drain())
				w.tell(host, core.MemberLeaving, 0, 3*time.Second)
			},
			"die": func(t *rapid.T) {
				w.t = t
				host := w.drawHost(t, isUp)
				host.isDead = true
				host.running, host.waiting = nil, nil
				w.tell(host, core.MemberDead, leaseEnds, leaseEnds+2*time.Second)
			},
			"return": func(t *rapid.T) {
				w.t = t
				host := w.drawHost(t, func(h *hostModel) bool { return !isUp(h) })
				w.news = slices.DeleteFunc(w.news, func(n newsModel) bool { return n.member.Host.Name == host.name })
				host.running, host.waiting = nil, nil
				w.boot(host)
				w.restartUpstream(host)
				i := slices.IndexFunc(host.members, func(m core.Member) bool { return m.Host.Name == host.name })
				host.members[i].State = core.MemberAlive
				w.tell(host, core.MemberAlive, 0, 3*time.Second)
			},
		})
	})
}
