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
