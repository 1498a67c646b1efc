package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core/admit"
)

// TestSuspectsRunOneAtATime guards against two suspects that are lost together with their upstream, so
// that nothing tells which of them is the cause, and against other requests that wait behind them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		coldFor time.Duration
	}{
		{name: "warm"},
		{name: "cold", coldFor: time.Hour},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newLoadRig(tc.coldFor)
			offerSuspect := func() (*admit.Ticket, admit.Decision) {
				ticket := &admit.Ticket{}
				decision := rig.controller.Offer(rig.now, admit.Request{
					Route:     "lookup",
					Service:   "s",
					Deadline:  rig.now.Add(time.Second),
					Target:    rig.now.Add(500 * time.Millisecond),
					IsSuspect: true,
				}, ticket)
				return ticket, decision
			}
			first, decision := offerSuspect()
			c.Assert(decision.Wait, qt.IsFalse)
			second, decision := offerSuspect()
			c.Assert(decision.Wait, qt.IsTrue)
			c.Assert(rig.controller.NextGrant(rig.now).After(rig.now) || rig.controller.NextGrant(rig.now).IsZero(), qt.IsTrue)
			for range 3 {
				decision = rig.offer("order")
				c.Assert(decision.Kind == "" && !decision.Wait, qt.IsTrue)
			}
			wakes := rig.controller.Finish(rig.now, first, true)
			c.Assert(len(wakes), qt.Equals, 1)
			c.Assert(wakes[0].Ticket, qt.Equals, second)
			c.Assert(string(wakes[0].Kind), qt.Equals, "")
			third, decision := offerSuspect()
			c.Assert(decision.Wait, qt.IsTrue)
			c.Assert(rig.controller.Abandon(third), qt.IsTrue)
			rig.controller.Finish(rig.now, second, false)
			_, decision = offerSuspect()
			c.Assert(decision.Wait, qt.IsFalse)
		})
	}
}
