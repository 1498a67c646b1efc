package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

var loadStart = time.Unix(1_700_000_000, 0)

// loadRig simulates the gatekeeper of a registered upstream with 4 slots in virtual time. Each
// request has the service time of its route.
type loadRig struct {
	controller *admit.Controller
	upstream   admit.Upstream
	now        time.Time
	// running has the end time of each running request.
	running map[*admit.Ticket]time.Time
	// started and arrived have the start and arrival times of all requests.
	started map[*admit.Ticket]time.Time
	arrived map[*admit.Ticket]time.Time
	// answered has the answered requests; late counts those that missed their latency target.
	answered []answeredRequest
	refused  map[core.RouteName]int
	late     map[core.RouteName]int
}

type answeredRequest struct {
	route core.RouteName
	took  time.Duration
}

// loadRoutes lists the routes of loadRig, most urgent first, with their service times.
var loadRoutes = []struct {
	spec        core.RouteSpec
	serviceTime time.Duration
}{
	{
		spec:        core.RouteSpec{Name: "check", Service: "s", Class: core.ClassLookup, Priority: 1, LatencyTarget: core.Duration(150 * time.Millisecond), Timeout: core.Duration(500 * time.Millisecond)},
		serviceTime: 40 * time.Millisecond,
	},
	{
		spec:        core.RouteSpec{Name: "order", Service: "s", Class: core.ClassOrder, Priority: 1, LatencyTarget: core.Duration(600 * time.Millisecond), Timeout: core.Duration(1500 * time.Millisecond)},
		serviceTime: 200 * time.Millisecond,
	},
	{
		spec:        core.RouteSpec{Name: "lookup", Service: "s", Class: core.ClassLookup, Priority: 2, LatencyTarget: core.Duration(500 * time.Millisecond), Timeout: core.Duration(1200 * time.Millisecond)},
		serviceTime: 160 * time.Millisecond,
	},
}

func newLoadRig(coldFor time.Duration) *loadRig {
	return newRig(admit.Config{
		IsRegistered: true,
	}, loadStart, coldFor)
}

// newLoadRigAt returns the rig of a process that starts at a time, in place of an earlier one.
func newLoadRigAt(start time.Time, coldFor time.Duration) *loadRig {
	return newRig(admit.Config{
		IsRegistered: true,
		StartedAt:    start,
	}, start, coldFor)
}

func newRig(config admit.Config, start time.Time, coldFor time.Duration) *loadRig {
	rig := &loadRig{
		controller: admit.New(config),
		upstream: admit.Upstream{
			Instance:  "i1",
			Service:   "s",
			Slots:     4,
			ColdUntil: start.Add(coldFor),
		},
		now:     start,
		running: map[*admit.Ticket]time.Time{},
		started: map[*admit.Ticket]time.Time{},
		arrived: map[*admit.Ticket]time.Time{},
		refused: map[core.RouteName]int{},
		late:    map[core.RouteName]int{},
	}
	snapshot := &core.Snapshot{
		Version: 1,
		Services: map[core.ServiceName]core.ServiceSpec{
			"s": {Name: "s", Slots: 1, ColdRate: 28},
		},
		Routes: map[core.RouteName]core.RouteSpec{},
	}
	for _, r := range loadRoutes {
		snapshot.Routes[r.spec.Name] = r.spec
	}
	rig.controller.SetUpstream(rig.now, &rig.upstream)
	rig.controller.Configure(rig.now, snapshot)
	return rig
}

func loadRoute(name core.RouteName) (spec core.RouteSpec, serviceTime time.Duration) {
	for _, r := range loadRoutes {
		if r.spec.Name == name {
			return r.spec, r.serviceTime
		}
	}
	panic("no such route")
}

// offer simulates the arrival of a request.
func (r *loadRig) offer(name core.RouteName) admit.Decision {
	spec, _ := loadRoute(name)
	ticket := &admit.Ticket{
		Owner: name,
	}
	r.arrived[ticket] = r.now
	decision := r.controller.Offer(r.now, admit.Request{
		Route:    name,
		Service:  "s",
		Deadline: r.now.Add(time.Duration(spec.Timeout)),
		Target:   r.now.Add(time.Duration(spec.LatencyTarget)),
	}, ticket)
	switch {
	case decision.Kind != "":
		r.refused[name]++
	case !decision.Wait:
		r.start(ticket)
	}
	r.wake(r.controller.Displaced())
	return decision
}

func (r *loadRig) start(ticket *admit.Ticket) {
	_, serviceTime := loadRoute(ticket.Owner.(core.RouteName))
	r.running[ticket] = r.now.Add(serviceTime)
	r.started[ticket] = r.now
}

// advance moves the virtual time on by one millisecond and ends the requests that are due.
func (r *loadRig) advance() {
	r.now = r.now.Add(time.Millisecond)
	if at := r.controller.NextGrant(r.now); !at.IsZero() && !at.After(r.now) {
		r.wake(r.controller.Grant(r.now))
	}
	for ticket, end := range r.running {
		if end.After(r.now) {
			continue
		}
		delete(r.running, ticket)
		name := ticket.Owner.(core.RouteName)
		spec, _ := loadRoute(name)
		took := r.now.Sub(r.arrived[ticket])
		r.answered = append(r.answered, answeredRequest{route: name, took: took})
		if took > time.Duration(spec.LatencyTarget) {
			r.late[name]++
		}
		r.wake(r.controller.Finish(r.now, ticket, true))
	}
}

func (r *loadRig) wake(wakes []admit.Wake) {
	for _, wake := range wakes {
		if wake.Kind != "" {
			r.refused[wake.Ticket.Owner.(core.RouteName)]++
			continue
		}
		r.start(wake.Ticket)
	}
}

// count returns the number of answered requests of a route.
func (r *loadRig) count(name core.RouteName) int {
	count := 0
	for _, e := range r.answered {
		if e.route == name {
			count++
		}
	}
	return count
}

// maxStartsPerSecond returns the highest number of requests that started within any second.
func (r *loadRig) maxStartsPerSecond() int {
	highest := 0
	for _, from := range r.started {
		count := 0
		for _, at := range r.started {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// TestBurstOnColdUpstream guards against overloading a cold upstream: hundreds of requests per
// second arrive at an upstream that can take 18 per second. The platform tolerates 1.5 times as
// many plus 5, of which ColdRate uses 28.
func TestBurstOnColdUpstream(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(3 * time.Second)
	for i := range 2800 {
		if i%3 == 0 {
			rig.offer("check")
		}
		rig.advance()
	}
	c.Assert(rig.maxStartsPerSecond() <= 18*3/2+5, qt.IsTrue, qt.Commentf("at most %d started in one second", rig.maxStartsPerSecond()))
	c.Assert(rig.maxStartsPerSecond() >= 18, qt.IsTrue, qt.Commentf("at most %d started in one second", rig.maxStartsPerSecond()))
}

// TestRepeatedColdStart guards against too many requests after a cold start is announced to a
// gatekeeper that ran at full rate, and against a rate limit that stays on after the cold start.
func TestRepeatedColdStart(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for range 1000 {
		rig.offer("check")
		rig.advance()
	}
	before := len(rig.started)
	rig.upstream.ColdUntil = rig.now.Add(2 * time.Second)
	rig.wake(rig.controller.SetUpstream(rig.now, &rig.upstream))
	for range 900 {
		rig.offer("check")
		rig.advance()
	}
	// The previous second was full, so nearly nothing may start until it has passed.
	c.Assert(len(rig.started)-before <= 18*3/2+5, qt.IsTrue, qt.Commentf("%d started", len(rig.started)-before))
	rig.upstream.ColdUntil = time.Time{}
	rig.wake(rig.controller.SetUpstream(rig.now, &rig.upstream))
	before = len(rig.started)
	for range 500 {
		rig.offer("check")
		rig.advance()
	}
	c.Assert(len(rig.started)-before > 40, qt.IsTrue, qt.Commentf("%d started", len(rig.started)-before))
}

// TestOverloadAnswersInTime guards against a queue so long that every answer is late: requests
// arrive at 1.6 times the rate that the slots can serve.
func TestOverloadAnswersInTime(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 10_000 {
		if i%25 == 0 {
			rig.offer("lookup")
		}
		rig.advance()
	}
	answered := rig.count("lookup")
	c.Assert(answered >= 240, qt.IsTrue, qt.Commentf("%d answered of 250 that the slots can run", answered))
	c.Assert(rig.late["lookup"]*20 < answered, qt.IsTrue, qt.Commentf("%d late of %d", rig.late["lookup"], answered))
}

// TestUrgentFirstInOverload guards against urgent requests that are refused or late while less
// urgent ones are served: the lookups alone would occupy all slots.
func TestUrgentFirstInOverload(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 10_000 {
		if i%20 == 0 {
			rig.offer("lookup")
		}
		if i%50 == 10 {
			rig.offer("check")
		}
		if i%100 == 30 {
			rig.offer("order")
		}
		rig.advance()
	}
	c.Assert(rig.refused["check"], qt.Equals, 0)
	c.Assert(rig.refused["order"], qt.Equals, 0)
	c.Assert(rig.late["order"] <= 2, qt.IsTrue, qt.Commentf("%d late", rig.late["order"]))
	c.Assert(rig.count("lookup") > 0, qt.IsTrue)
}

// TestOrdersInTimeInOverload guards against a queue of orders so long that each of them is late:
// orders arrive at 1.6 times the rate that the slots can serve, with lookups that rank behind.
func TestOrdersInTimeInOverload(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 10_000 {
		if i%31 == 0 {
			rig.offer("order")
		}
		if i%100 == 50 {
			rig.offer("lookup")
		}
		rig.advance()
	}
	answered := rig.count("order")
	c.Assert(answered >= 190, qt.IsTrue, qt.Commentf("%d answered of 200 that the slots can run", answered))
	c.Assert(rig.late["order"]*20 < answered, qt.IsTrue, qt.Commentf("%d late of %d", rig.late["order"], answered))
}

// TestRetryAfterFromBacklog guards against refusals without a RetryAfter, or with one that does not
// depend on the backlog.
func TestRetryAfterFromBacklog(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for range 400 {
		rig.offer("lookup")
		rig.advance()
		rig.advance()
	}
	var decision admit.Decision
	for range 20 {
		decision = rig.offer("lookup")
	}
	c.Assert(decision.Kind, qt.Equals, core.Overloaded)
	c.Assert(decision.RetryAfter >= 160*time.Millisecond && decision.RetryAfter <= 600*time.Millisecond, qt.IsTrue,
		qt.Commentf("%v", decision.RetryAfter))
}

// TestLeavingUpstream guards against running new or waiting requests at an upstream that is
// leaving, that is gone, or whose address another service has taken.
func TestLeavingUpstream(t *testing.T) {
	cases := []struct {
		name string
		edit func(*admit.Upstream) *admit.Upstream
		kind core.ErrorKind
	}{
		{
			name: "leaving",
			edit: func(u *admit.Upstream) *admit.Upstream {
				u.IsLeaving = true
				return u
			},
			kind: core.Leaving,
		},
		{
			name: "gone",
			edit: func(*admit.Upstream) *admit.Upstream { return nil },
			kind: core.NoUpstream,
		},
		{
			name: "another service",
			edit: func(u *admit.Upstream) *admit.Upstream {
				u.Instance, u.Service = "i2", "other"
				return u
			},
			kind: core.NoUpstream,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newLoadRig(0)
			for range 5 {
				rig.offer("order")
			}
			wakes := rig.controller.SetUpstream(rig.now, tc.edit(&rig.upstream))
			c.Assert(wakes, qt.HasLen, 1)
			c.Assert(wakes[0].Kind, qt.Equals, tc.kind)
			c.Assert(rig.offer("order").Kind, qt.Equals, tc.kind)
		})
	}
}

// TestFailuresInEstimate guards against an upstream that fails quickly and therefore looks like
// the fastest and least loaded one of its service.
func TestFailuresInEstimate(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	run := func(taken time.Duration, signal admit.Signal) {
		ticket := &admit.Ticket{}
		decision := rig.controller.Offer(rig.now, admit.Request{
			Route:    "lookup",
			Service:  "s",
			Deadline: rig.now.Add(time.Second),
			Target:   rig.now.Add(time.Second),
		}, ticket)
		c.Assert(decision, qt.DeepEquals, admit.Decision{})
		rig.now = rig.now.Add(taken)
		rig.controller.RecordSignal(rig.now, ticket, signal, "")
		rig.controller.Finish(rig.now, ticket, signal == admit.SignalAnswered || signal == admit.SignalFailed)
	}
	for range 30 {
		run(160*time.Millisecond, admit.SignalAnswered)
	}
	estimate := rig.controller.Estimate(rig.now, "lookup")
	c.Assert(estimate.FailureRatio < 0.01, qt.IsTrue)
	for range 20 {
		run(time.Millisecond, admit.SignalFailed)
	}
	estimate = rig.controller.Estimate(rig.now, "lookup")
	c.Assert(estimate.FailureRatio > 0.8, qt.IsTrue, qt.Commentf("%v", estimate))
	c.Assert(estimate.ServiceTime > 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimate))
	// A request that its caller canceled does not count.
	before := estimate.FailureRatio
	run(time.Millisecond, admit.SignalNone)
	c.Assert(rig.controller.Estimate(rig.now, "lookup").FailureRatio, qt.Equals, before)
}

// TestRestartOnColdUpstream guards against a daemon that starts again and lets a second share of the same
// second through to a cold upstream, and one whose start holds back requests to a warm one or to one that
// has started with it.
func TestRestartOnColdUpstream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		coldFor time.Duration
		// startedBefore is how long before the daemon the upstream started.
		startedBefore time.Duration
		// least is how many requests start in the first second after the restart.
		least int
		most  int
	}{
		{name: "cold", coldFor: time.Hour, startedBefore: time.Minute, most: 18*3/2 + 5},
		{name: "warm", startedBefore: time.Minute, least: 90},
		{name: "started with it", coldFor: time.Hour, startedBefore: 300 * time.Millisecond, least: 18},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			before := newLoadRig(tc.coldFor)
			for range 900 {
				before.offer("check")
				before.advance()
			}
			// The process ends, and another one starts at once.
			after := newLoadRigAt(before.now, tc.coldFor)
			after.upstream.StartedAt = before.now.Add(-tc.startedBefore)
			after.controller.SetUpstream(after.now, &after.upstream)
			for range 2000 {
				after.offer("check")
				after.advance()
			}
			for ticket, at := range before.started {
				after.started[ticket] = at
			}
			if tc.most > 0 {
				c.Assert(after.maxStartsPerSecond() <= tc.most, qt.IsTrue, qt.Commentf("%d started in one second", after.maxStartsPerSecond()))
			}
			first := 0
			for _, at := range after.started {
				if since := at.Sub(before.now); since > 0 && since < time.Second {
					first++
				}
			}
			c.Assert(first >= tc.least, qt.IsTrue, qt.Commentf("%d started in the first second", first))
		})
	}
}
