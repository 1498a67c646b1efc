package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// TestLateBehindInTime answers the pattern "overload for minutes": more requests than the slots can
// serve, each with the same right. It guards against waiting requests that take the slots of others
// although their own answers come late, so that nearly all are late.
func TestLateBehindInTime(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 120_000 {
		if i%18 == 0 {
			rig.offer("lookup")
		}
		// Orders come in clumps and push the lookups back.
		if i%600 < 60 && i%10 == 0 {
			rig.offer("order")
		}
		rig.advance()
	}
	answered := rig.count("lookup")
	// The orders take 2 of the 4 slots, so that the others serve 1,500 lookups.
	c.Assert(answered > 1350, qt.IsTrue, qt.Commentf("%d answered", answered))
	c.Assert(rig.late["lookup"]*10 < answered, qt.IsTrue, qt.Commentf("%d late of %d", rig.late["lookup"], answered))
	c.Assert(rig.late["order"], qt.Equals, 0)
}

// TestLeastUrgentAreNotStarved answers the pattern "urgent requests alone fill every slot for minutes".
// It guards against less urgent requests that never get a slot.
func TestLeastUrgentAreNotStarved(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 60_000 {
		if i%4 == 0 {
			rig.offer("check")
		}
		if i%40 == 0 {
			rig.offer("lookup")
		}
		rig.advance()
	}
	total := len(rig.answered)
	c.Assert(rig.count("lookup")*30 > total, qt.IsTrue, qt.Commentf("%d of %d", rig.count("lookup"), total))
	c.Assert(rig.count("check")*10 > total*8, qt.IsTrue, qt.Commentf("%d of %d", rig.count("check"), total))
}

// TestUrgentDisplaces answers the pattern "a clump of urgent requests meets a full queue". It guards
// against a waiting request that is held until it is late although another upstream could still answer
// it in time, and against a displaced request that runs.
func TestUrgentDisplaces(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for range 400 {
		rig.offer("lookup")
		for range 50 {
			rig.advance()
		}
	}
	for range 6 {
		rig.offer("lookup")
	}
	waiting := rig.controller.Waiting()
	c.Assert(waiting > 0, qt.IsTrue)
	var displaced []admit.Wake
	for range 8 {
		c.Assert(rig.offer("order").Kind, qt.Equals, core.ErrorKind(""))
		displaced = append(displaced, rig.controller.Displaced()...)
	}
	c.Assert(len(displaced) > 0, qt.IsTrue)
	for _, wake := range displaced {
		c.Assert(wake.Kind, qt.Equals, core.Displaced)
		c.Assert(wake.Ticket.Owner, qt.Equals, core.RouteName("lookup"))
	}
	for range 2000 {
		rig.advance()
	}
	for _, wake := range displaced {
		c.Assert(rig.started[wake.Ticket].IsZero(), qt.IsTrue)
	}
	c.Assert(rig.controller.Waiting(), qt.Equals, 0)
}

// TestShortCallsBesideLongReads answers the pattern "upstreams call another service while they hold a
// slot": short requests with a short deadline meet long ones in every slot. It guards against calls that
// wait behind long requests until their deadline, so that the work of the callers was in vain.
func TestShortCallsBesideLongReads(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for i := range 20_000 {
		if i%30 == 0 {
			rig.offer("lookup")
		}
		if i%50 == 7 {
			rig.offer("check")
		}
		rig.advance()
	}
	c.Assert(rig.refused["check"], qt.Equals, 0)
	c.Assert(rig.late["check"]*100 < rig.count("check"), qt.IsTrue, qt.Commentf("%d late of %d", rig.late["check"], rig.count("check")))
}

// TestTenantBeforeTarget guards against a tenant whose priority counts less than the targets of others.
func TestTenantBeforeTarget(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	snapshot := &core.Snapshot{
		Version: 2,
		Services: map[core.ServiceName]core.ServiceSpec{
			"s": {Name: "s", Slots: 1},
		},
		Routes: map[core.RouteName]core.RouteSpec{},
		Tenants: map[core.TenantName]core.TenantSpec{
			"clinic": {Name: "clinic", HasPriority: true, Priority: 0},
		},
	}
	for _, r := range loadRoutes {
		snapshot.Routes[r.spec.Name] = r.spec
	}
	rig.controller.Configure(rig.now, snapshot)
	tickets := make([]*admit.Ticket, 6)
	for i := range tickets {
		request := admit.Request{
			Route:    "lookup",
			Service:  "s",
			Deadline: rig.now.Add(time.Second),
			Target:   rig.now.Add(time.Second),
		}
		if i == 5 {
			request.Tenant = "clinic"
		}
		tickets[i] = &admit.Ticket{}
		decision := rig.controller.Offer(rig.now, request, tickets[i])
		c.Assert(decision.Wait, qt.Equals, i >= 4)
	}
	wakes := rig.controller.Finish(rig.now, tickets[0], true)
	c.Assert(wakes, qt.HasLen, 1)
	c.Assert(wakes[0].Ticket, qt.Equals, tickets[5])
}

// TestUploadsLeaveRoomOnLink answers the pattern "uploads over a slow link to the host of an upstream
// that also gets short calls". It guards against uploads that fill the link, so that the calls arrive
// after their deadline, against short requests that wait for the link, and against uploads for which
// there will be no room in time.
func TestUploadsLeaveRoomOnLink(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	controller := admit.New(admit.Config{
		IsRegistered:       true,
		LinkBytesPerSecond: 1_250_000,
	})
	controller.SetUpstream(rig.now, &rig.upstream)
	controller.Configure(rig.now, &core.Snapshot{
		Version: 1,
		Services: map[core.ServiceName]core.ServiceSpec{
			"s": {Name: "s", Slots: 4},
		},
		Routes: map[core.RouteName]core.RouteSpec{
			"upload": {Name: "upload", Service: "s", Class: core.ClassOrder, Priority: 2},
			"check":  {Name: "check", Service: "s", Class: core.ClassLookup, Priority: 1},
		},
	})
	offerBody := func(route core.RouteName, bytes int64) (*admit.Ticket, admit.Decision) {
		ticket := &admit.Ticket{}
		return ticket, controller.Offer(rig.now, admit.Request{
			Route:     route,
			Service:   "s",
			Deadline:  rig.now.Add(time.Second),
			Target:    rig.now.Add(500 * time.Millisecond),
			BodyBytes: bytes,
		}, ticket)
	}
	const body = 62_500 // 50 ms on the link
	first, decision := offerBody("upload", body)
	c.Assert(decision, qt.Equals, admit.Decision{})
	second, decision := offerBody("upload", body)
	c.Assert(decision.Wait, qt.IsTrue)
	_, decision = offerBody("check", 0)
	c.Assert(decision, qt.Equals, admit.Decision{})
	refused := 0
	for range 20 {
		if _, decision = offerBody("upload", body); decision.Kind != "" {
			c.Assert(decision.Kind, qt.Equals, core.Overloaded)
			c.Assert(decision.RetryAfter > 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", decision.RetryAfter))
			refused++
		}
	}
	c.Assert(refused > 5, qt.IsTrue, qt.Commentf("%d refused", refused))
	wakes := controller.BodyArrived(rig.now, first)
	c.Assert(wakes, qt.HasLen, 1)
	c.Assert(wakes[0].Ticket, qt.Equals, second)
	c.Assert(controller.BodyArrived(rig.now, first), qt.HasLen, 0)
	// What was sent of a body whose request ends is still on the link.
	c.Assert(controller.Finish(rig.now, second, false), qt.HasLen, 0)
	at := controller.NextGrant(rig.now)
	c.Assert(at, qt.Equals, rig.now.Add(50*time.Millisecond))
	c.Assert(controller.Grant(at), qt.HasLen, 1)
}

// BenchmarkLongQueue measures an arrival and an end with hundreds of waiting requests.
func BenchmarkLongQueue(b *testing.B) {
	rig := newLoadRig(0)
	request := admit.Request{
		Route:    "lookup",
		Service:  "s",
		Deadline: rig.now.Add(time.Hour),
		Target:   rig.now.Add(time.Hour),
	}
	for range 4 {
		rig.controller.Offer(rig.now, request, &admit.Ticket{})
	}
	for range 300 {
		rig.controller.Offer(rig.now, request, &admit.Ticket{})
	}
	running := &admit.Ticket{}
	rig.controller.Offer(rig.now, request, running)
	b.ResetTimer()
	for b.Loop() {
		ticket := &admit.Ticket{}
		rig.controller.Offer(rig.now, request, ticket)
		rig.controller.Abandon(ticket)
	}
}
