package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowness checks the slowness that is reported to entries: compared with the time in which the
// service times were measured, and only while it is recent.
func TestSlowness(t *testing.T) {
	c := qt.New(t)
	controller := newController(nil)
	now := start
	slowness := func() float64 {
		return controller.Estimate(now, "lookup").Slowness
	}
	c.Assert(slowness(), qt.Equals, 0.0)
	// The host is always twice as slow as usual, so that the service times say so already.
	for range 1000 {
		controller.RecordSlowness(now, 2)
	}
	c.Assert(slowness() > 0.99 && slowness() < 1.01, qt.IsTrue)
	controller.RecordSlowness(now, 5)
	c.Assert(slowness() > 2, qt.IsTrue)
	now = now.Add(time.Second)
	c.Assert(slowness(), qt.Equals, 1.0)
}
