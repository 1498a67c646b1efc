package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

var start = time.UnixMilli(1_800_000_000_000)

// at returns the time that is a number of milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// snapshot returns a configuration of one service with 4 slots, 2 of them when cold, one
// reserved slot and a warm-up of 1 s.
func snapshot(version core.Version, edit func(*core.Snapshot)) *core.Snapshot {
	result := &core.Snapshot{
		Version: version,
		Region:  "otago",
		Services: map[core.ServiceName]core.ServiceSpec{
			"netbook": {Slots: 4, ColdSlots: 2, ReservedSlots: 1, WarmUp: core.Duration(time.Second)},
		},
		Routes: map[core.RouteName]core.RouteSpec{
			"lookup": {Service: "netbook", Class: core.ClassLookup},
			"order":  {Service: "netbook", Class: core.ClassOrder},
			"bulk":   {Service: "netbook", Class: core.ClassBulk},
			"other":  {Service: "cliffvault", Class: core.ClassLookup},
			"south":  {Service: "netbook", Class: core.ClassLookup, HomeRegions: []core.Region{"canterbury"}},
		},
		Tenants: map[core.TenantName]core.TenantSpec{
			"drillers": {},
			"north":    {HomeRegions: []core.Region{"canterbury"}},
		},
		Limits: map[string]core.LimitSpec{},
		Out:    map[core.AvailabilityZone]bool{},
	}
	if edit != nil {
		edit(result)
	}
	return result
}

func newController(edit func(*core.Snapshot)) *admit.Controller {
	controller := admit.New(admit.Config{
		Self:         core.Host{AvailabilityZone: "otago-1", Region: "otago", Service: "netbook"},
		WatchLatency: true,
	})
	controller.Configure(start, snapshot(1, edit))
	return controller
}

func offer(controller *admit.Controller, now time.Time, route core.RouteName) (admit.Decision, *admit.Ticket) {
	ticket := &admit.Ticket{}
	request := admit.Request{
		Route:    route,
		Deadline: now.Add(time.Second),
	}
	return controller.Offer(now, request, ticket), ticket
}

// warmUp raises the limit to the full number of slots from the given millisecond on.
func warmUp(controller *admit.Controller, from int) {
	for i := from; i <= from+1000; i += 50 {
		_, ticket := offer(controller, at(i), "lookup")
		controller.RecordSignal(at(i), ticket, admit.SignalAnswered, "a")
		controller.Finish(at(i), ticket, true)
	}
}

// TestRefusals guards against a request that runs although the configuration forbids it, and
// against a refusal with the wrong kind.
func TestRefusals(t *testing.T) {
	zoneOut := func(s *core.Snapshot) { s.Out["otago-1"] = true }
	otherHomeRegion := func(s *core.Snapshot) {
		service := s.Services["netbook"]
		service.HomeRegions = []core.Region{"canterbury"}
		s.Services["netbook"] = service
	}
	cases := []struct {
		name    string
		edit    func(*core.Snapshot)
		request admit.Request
		want    core.ErrorKind
	}{
		{"served", nil, admit.Request{Route: "lookup", Tenant: "drillers", HomeRegions: []core.Region{"otago"}}, ""},
		{"no such route", nil, admit.Request{Route: "gone", SenderVersion: 1}, core.NoRoute},
		{"route of a newer version", nil, admit.Request{Route: "new", SenderVersion: 2}, core.Starting},
		{"tenant of a newer version", nil, admit.Request{Route: "lookup", Tenant: "new", SenderVersion: 2}, core.Starting},
		{"zone out", zoneOut, admit.Request{Route: "lookup"}, core.ZoneOut},
		{"other service", nil, admit.Request{Route: "other"}, core.NoUpstream},
		{"route of another region", nil, admit.Request{Route: "south"}, core.HomeRegion},
		{"service of another region", otherHomeRegion, admit.Request{Route: "lookup"}, core.HomeRegion},
		{"tenant of another region", nil, admit.Request{Route: "lookup", Tenant: "north"}, core.HomeRegion},
		{"tenant hidden from the region", nil, admit.Request{Route: "lookup", Tenant: "hidden"}, core.HomeRegion},
		{"request of another region", nil, admit.Request{Route: "lookup", HomeRegions: []core.Region{"canterbury"}}, core.HomeRegion},
		{"deadline passed", nil, admit.Request{Route: "lookup", Deadline: start}, core.DeadlineBeforeRun},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if test.request.Deadline.IsZero() {
				test.request.Deadline = at(1)
			}
			decision := newController(test.edit).Offer(start, test.request, &admit.Ticket{})
			qt.Check(t, decision.Kind, qt.Equals, test.want)
		})
	}
}

// TestClasses guards against bulk requests in the reserved slots, an unbounded queue, orders
// ahead of lookups in the queue, and a waiting request that runs after its deadline.
func TestClasses(t *testing.T) {
	c := qt.New(t)
	controller := newController(nil)
	warmUp(controller, 0)
	now := at(1100)
	_, first := offer(controller, now, "bulk")
	for range 2 {
		decision, _ := offer(controller, now, "bulk")
		c.Assert(decision, qt.Equals, admit.Decision{})
	}
	decision, _ := offer(controller, now, "bulk")
	c.Assert(decision.Kind, qt.Equals, core.Overloaded)
	decision, _ = offer(controller, now, "order")
	c.Assert(decision, qt.Equals, admit.Decision{})

	expired := &admit.Ticket{}
	decision = controller.Offer(now, admit.Request{Route: "lookup", Deadline: at(1101)}, expired)
	c.Assert(decision.Wait, qt.IsTrue)
	c.Assert(decision.WaitDeadline, qt.Equals, at(1101))
	_, order := offer(controller, now, "order")
	_, lookup := offer(controller, now, "lookup")
	_, abandoned := offer(controller, now, "order")
	decision, _ = offer(controller, now, "lookup")
	c.Assert(decision.Kind, qt.Equals, core.Overloaded)
	c.Assert(controller.Abandon(abandoned), qt.IsTrue)

	wakes := controller.Finish(at(1102), first, true)
	c.Assert(wakes, qt.HasLen, 2)
	c.Assert(wakes[0].Ticket, qt.Equals, expired)
	c.Assert(wakes[0].Kind, qt.Equals, core.DeadlineBeforeRun)
	c.Assert(wakes[1], qt.Equals, admit.Wake{Ticket: lookup})
	c.Assert(controller.Abandon(lookup), qt.IsFalse)
	wakes = controller.Drain()
	c.Assert(wakes, qt.HasLen, 1)
	c.Assert(wakes[0].Ticket, qt.Equals, order)
	c.Assert(wakes[0].Kind, qt.Equals, core.Leaving)
	c.Assert(controller.InFlight(), qt.Equals, 4)
}

// TestLimits guards against limits that a configuration change resets, and against refused
// requests that count towards a limit.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	limits := func(perSecond float64, concurrent int) func(*core.Snapshot) {
		return func(s *core.Snapshot) {
			s.Limits["a"] = core.LimitSpec{Route: "lookup", RequestsPerSecond: perSecond, Burst: 2}
			s.Limits["b"] = core.LimitSpec{Tenant: "drillers", Concurrent: concurrent}
		}
	}
	controller := newController(limits(1, 1))
	request := admit.Request{Route: "lookup", Tenant: "drillers", Deadline: at(10_000)}
	first, second := &admit.Ticket{}, &admit.Ticket{}
	c.Assert(controller.Offer(start, request, first), qt.Equals, admit.Decision{})
	c.Assert(controller.Offer(start, request, second).Kind, qt.Equals, core.Limited)
	controller.Configure(start, snapshot(2, limits(1, 2)))
	c.Assert(controller.Offer(start, request, second), qt.Equals, admit.Decision{})
	controller.Finish(start, first, true)
	c.Assert(controller.Offer(start, request, &admit.Ticket{}).Kind, qt.Equals, core.Limited)
	c.Assert(controller.Offer(at(1000), request, &admit.Ticket{}), qt.Equals, admit.Decision{})
}

// TestRamp guards against a limit that rises faster than the warm-up allows, in idle time or by
// answers to requests from before a drop, and against one that stays up after a signal of a cold
// start.
func TestRamp(t *testing.T) {
	cases := []struct {
		name   string
		signal func(*admit.Controller, *admit.Ticket)
	}{
		{"shed", func(c *admit.Controller, ticket *admit.Ticket) {
			c.RecordSignal(at(1200), ticket, admit.SignalShed, "a")
		}},
		{"refused", func(c *admit.Controller, ticket *admit.Ticket) {
			c.RecordSignal(at(1200), ticket, admit.SignalRefused, "")
		}},
		{"reset", func(c *admit.Controller, ticket *admit.Ticket) {
			c.RecordSignal(at(1200), ticket, admit.SignalReset, "")
		}},
		{"new boot id", func(c *admit.Controller, ticket *admit.Ticket) {
			c.RecordSignal(at(1200), ticket, admit.SignalAnswered, "b")
		}},
		{"unnoticed restart", func(c *admit.Controller, ticket *admit.Ticket) {
			c.SuspectRestart()
			// An answer to a request from before the suspicion does not end it.
			c.RecordSignal(at(1200), ticket, admit.SignalAnswered, "a")
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			controller := newController(nil)
			c.Assert(controller.Limit(), qt.Equals, 2)
			warmUp(controller, 0)
			c.Assert(controller.Limit(), qt.Equals, 4)
			_, before := offer(controller, at(1100), "lookup")
			_, other := offer(controller, at(1100), "lookup")
			test.signal(controller, before)
			c.Assert(controller.Limit(), qt.Equals, 2)
			controller.Finish(at(1300), before, true)
			controller.Finish(at(2300), other, true)
			c.Assert(controller.Limit(), qt.Equals, 2)
		})
	}
	c := qt.New(t)
	controller := newController(nil)
	for i := range 100 {
		_, ticket := offer(controller, at(i*9), "lookup")
		controller.Finish(at(i*9), ticket, true)
		c.Assert(controller.Limit() <= 2+i*9/500, qt.IsTrue, qt.Commentf("answer %d", i))
	}
	_, ticket := offer(controller, at(50_000), "lookup")
	controller.Finish(at(50_000), ticket, true)
	c.Assert(controller.Limit(), qt.Equals, 4)
	c.Assert(controller.InFlight(), qt.Equals, 0)
	controller.SuspectRestart()
	c.Assert(controller.Limit(), qt.Equals, 2)
}

// TestSuspectedRestartEnds guards against an upstream that keeps its cold limit after an answer
// has shown that it still is the same process.
func TestSuspectedRestartEnds(t *testing.T) {
	controller := newController(nil)
	warmUp(controller, 0)
	controller.SuspectRestart()
	_, ticket := offer(controller, at(1100), "lookup")
	controller.RecordSignal(at(1101), ticket, admit.SignalAnswered, "a")
	qt.Check(t, controller.Limit(), qt.Equals, 4)
}

// TestSlowAnswers guards against an unannounced cold start that is not detected, and against a
// drop of the limit because of a single pause.
func TestSlowAnswers(t *testing.T) {
	cases := []struct {
		name    string
		answers int
		spacing int
		drops   bool
	}{
		{"cold start", 60, 10, true},
		{"single pause", 100, 4, false},
		{"few slow answers", 30, 100, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := newController(nil)
			warmUp(controller, 0)
			answer := func(startedAt, taken int) {
				_, ticket := offer(controller, at(startedAt), "lookup")
				controller.RecordSignal(at(startedAt+taken), ticket, admit.SignalAnswered, "a")
				controller.Finish(at(startedAt+taken), ticket, true)
			}
			for i := range 100 {
				answer(2000+10*i, 2)
			}
			controller.TakeRampChange()
			for i := range test.answers {
				answer(4000+test.spacing*i, 40)
			}
			_, drops := controller.TakeRampChange()
			qt.Check(t, drops, qt.Equals, test.drops)
		})
	}
}

// TestConfigure guards against a configuration that ends requests in flight, exceeds its slots,
// replaces a newer one, or runs a waiting request in an availability zone that is taken out.
func TestConfigure(t *testing.T) {
	c := qt.New(t)
	controller := newController(nil)
	warmUp(controller, 0)
	var running []*admit.Ticket
	for range 4 {
		_, ticket := offer(controller, at(1100), "lookup")
		running = append(running, ticket)
	}
	_, waiting := offer(controller, at(1100), "lookup")
	controller.Configure(at(1101), snapshot(3, func(s *core.Snapshot) {
		s.Services["netbook"] = core.ServiceSpec{Slots: 3, ColdSlots: 1}
	}))
	controller.Configure(at(1101), snapshot(2, nil))
	c.Assert(controller.Limit(), qt.Equals, 3)
	c.Assert(controller.InFlight(), qt.Equals, 4)
	c.Assert(controller.Finish(at(1102), running[0], true), qt.HasLen, 0)
	wakes := controller.Configure(at(1103), snapshot(4, func(s *core.Snapshot) { s.Out["otago-1"] = true }))
	c.Assert(wakes, qt.HasLen, 1)
	c.Assert(wakes[0].Ticket, qt.Equals, waiting)
	c.Assert(wakes[0].Kind, qt.Equals, core.ZoneOut)
	c.Assert(controller.Finish(at(1104), running[1], true), qt.HasLen, 0)
	c.Assert(controller.InFlight(), qt.Equals, 2)
}

// TestTenantPriority guards against a queue that ignores the priority of a tenant, which takes precedence
// over that of the route.
func TestTenantPriority(t *testing.T) {
	c := qt.New(t)
	controller := newController(func(s *core.Snapshot) {
		lookup := s.Routes["lookup"]
		lookup.Priority = 1
		s.Routes["lookup"] = lookup
		s.Tenants = map[core.TenantName]core.TenantSpec{
			"first":  {HasPriority: true},
			"last":   {HasPriority: true, Priority: 2},
			"routes": {},
		}
	})
	var running []*admit.Ticket
	for {
		decision, ticket := offer(controller, at(1), "lookup")
		if decision.Wait {
			controller.Abandon(ticket)
			break
		}
		c.Assert(decision.Kind, qt.Equals, core.ErrorKind(""))
		running = append(running, ticket)
	}
	waiting := map[*admit.Ticket]core.TenantName{}
	for _, tenant := range []core.TenantName{"last", "routes", "first"} {
		ticket := &admit.Ticket{}
		decision := controller.Offer(at(2), admit.Request{
			Route:    "lookup",
			Tenant:   tenant,
			Deadline: at(1000),
		}, ticket)
		c.Assert(decision.Wait, qt.IsTrue)
		waiting[ticket] = tenant
	}
	var order []core.TenantName
	for len(order) < len(waiting) {
		ticket := running[0]
		running = running[1:]
		for _, wake := range controller.Finish(at(3), ticket, true) {
			c.Assert(wake.Kind, qt.Equals, core.ErrorKind(""))
			order = append(order, waiting[wake.Ticket])
			running = append(running, wake.Ticket)
		}
	}
	c.Assert(order, qt.DeepEquals, []core.TenantName{"first", "routes", "last"})
}
