package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// TestIsSilent guards against a healthy upstream that counts as silent because it is slow or has
// few requests, and against one that stops answering and is not noticed within a second.
func TestIsSilent(t *testing.T) {
	cases := []struct {
		name    string
		running int
		// sinceAnswer is the time since the latest answer.
		sinceAnswer time.Duration
		want        bool
	}{
		{name: "idle", running: 0, sinceAnswer: time.Minute, want: false},
		{name: "full and answering", running: 4, sinceAnswer: 50 * time.Millisecond, want: false},
		{name: "full and twice as slow", running: 4, sinceAnswer: 300 * time.Millisecond, want: false},
		{name: "one request that takes five times as long", running: 1, sinceAnswer: 800 * time.Millisecond, want: false},
		{name: "full without an answer for a second", running: 4, sinceAnswer: time.Second, want: true},
		{name: "two requests without an answer for a second", running: 2, sinceAnswer: time.Second, want: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			controller := newLoadRig(0).controller
			now := loadStart
			offer := func(ticket *admit.Ticket) {
				decision := controller.Offer(now, admit.Request{
					Route:    "lookup",
					Service:  "s",
					Deadline: now.Add(10 * time.Second),
				}, ticket)
				c.Assert(decision, qt.Equals, admit.Decision{})
			}
			var answered admit.Ticket
			offer(&answered)
			now = now.Add(160 * time.Millisecond)
			controller.RecordSignal(now, &answered, admit.SignalAnswered, "")
			controller.Finish(now, &answered, true)
			for range tc.running {
				offer(&admit.Ticket{})
			}
			c.Assert(controller.InFlight(), qt.Equals, tc.running)
			now = now.Add(tc.sinceAnswer)
			c.Assert(controller.IsSilent(now), qt.Equals, tc.want)
		})
	}
}

// TestSilenceBeginsWithRequest guards against an upstream that counts as silent because it had no
// requests for a while.
func TestSilenceBeginsWithRequest(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	rig.now = rig.now.Add(time.Hour)
	for range 4 {
		c.Assert(rig.offer("lookup").Kind, qt.Equals, core.ErrorKind(""))
	}
	c.Assert(rig.controller.IsSilent(rig.now.Add(100*time.Millisecond)), qt.IsFalse)
}

// TestSlowShortRequestIsTolerated guards against a healthy upstream that counts as silent because one
// short request takes many times as long as usual.
func TestSlowShortRequestIsTolerated(t *testing.T) {
	rig := newLoadRig(0)
	rig.finish(t, "check", 40*time.Millisecond)
	qt.Assert(t, rig.offer("check").Kind, qt.Equals, core.ErrorKind(""))
	qt.Assert(t, rig.controller.IsSilent(rig.now.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, rig.controller.IsSilent(rig.now.Add(2*time.Second)), qt.IsTrue)
}

// TestSimultaneousRequestsAreTolerated guards against retries of requests that a healthy upstream is
// still running: four that were sent at the same time are answered at the same time, and a cold
// upstream takes more than twice as long as usual.
func TestSimultaneousRequestsAreTolerated(t *testing.T) {
	rig := newLoadRig(0)
	rig.finish(t, "lookup", 180*time.Millisecond)
	for range 4 {
		qt.Assert(t, rig.offer("lookup").Kind, qt.Equals, core.ErrorKind(""))
	}
	qt.Assert(t, rig.controller.IsSilent(rig.now.Add(500*time.Millisecond)), qt.IsFalse)
	// One that has stopped is still detected in time for another attempt.
	qt.Assert(t, rig.controller.IsSilent(rig.now.Add(600*time.Millisecond)), qt.IsTrue)
}

// TestLongRequestsBesideShortOnes guards against a healthy upstream that counts as silent because
// most of its requests are short, while only long ones are running.
func TestLongRequestsBesideShortOnes(t *testing.T) {
	rig := newLoadRig(0)
	rig.finish(t, "order", 640*time.Millisecond)
	for range 50 {
		rig.finish(t, "check", 40*time.Millisecond)
	}
	for range 4 {
		qt.Assert(t, rig.offer("order").Kind, qt.Equals, core.ErrorKind(""))
	}
	qt.Assert(t, rig.controller.IsSilent(rig.now.Add(1500*time.Millisecond)), qt.IsFalse)
}

// finish runs a request of a route alone.
func (r *loadRig) finish(t *testing.T, route core.RouteName, serviceTime time.Duration) {
	t.Helper()
	var ticket admit.Ticket
	decision := r.controller.Offer(r.now, admit.Request{
		Route:    route,
		Service:  "s",
		Deadline: r.now.Add(10 * time.Second),
	}, &ticket)
	qt.Assert(t, decision, qt.Equals, admit.Decision{})
	r.now = r.now.Add(serviceTime)
	r.controller.RecordSignal(r.now, &ticket, admit.SignalAnswered, "")
	r.controller.Finish(r.now, &ticket, true)
}
