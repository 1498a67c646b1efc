package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// closingRig returns a warm controller whose 4 slots are in use and where a request takes 100 ms.
func closingRig(c *qt.C) (controller *admit.Controller, running []*admit.Ticket) {
	controller = newController(nil)
	warmUp(controller, 0)
	_, ticket := offer(controller, at(1100), "order")
	controller.Finish(at(1200), ticket, true)
	for range 4 {
		decision, ticket := offer(controller, at(1200), "order")
		c.Assert(decision, qt.Equals, admit.Decision{})
		running = append(running, ticket)
	}
	return controller, running
}

// TestCloseSender guards against requests that wait for a slot when their sender closes the connections
// of their callers, who then learn nothing, and against a sender that ends the wait of another's.
func TestCloseSender(t *testing.T) {
	cases := []struct {
		name     string
		closesAt time.Time
		want     []core.HostName
	}{
		{"at once", at(1200), []core.HostName{"b", "b"}},
		{"before an answer", at(1290), []core.HostName{"b", "b"}},
		{"later", at(5000), nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			controller, running := closingRig(c)
			senders := map[*admit.Ticket]core.HostName{}
			for _, sender := range []core.HostName{"a", "b", "b"} {
				ticket := &admit.Ticket{}
				decision := controller.Offer(at(1200), admit.Request{
					Route:    "order",
					Sender:   sender,
					Deadline: at(9000),
				}, ticket)
				c.Assert(decision.Wait, qt.IsTrue)
				senders[ticket] = sender
			}
			var refused []core.HostName
			for _, wake := range controller.CloseSender(at(1200), "b", test.closesAt) {
				c.Check(wake.Kind.Info().NotRun, qt.IsTrue)
				refused = append(refused, senders[wake.Ticket])
			}
			c.Check(refused, qt.DeepEquals, test.want)
			c.Check(controller.Waiting(), qt.Equals, 3-len(refused))
			granted := controller.Finish(at(1210), running[0], true)
			c.Assert(granted, qt.HasLen, 1)
			c.Check(granted[0].Kind, qt.Equals, core.ErrorKind(""))
		})
	}
}

// TestNoStartAfterClosing guards against a waiting request that gets its slot too late for an answer
// before its sender closes the connections of its callers.
func TestNoStartAfterClosing(t *testing.T) {
	c := qt.New(t)
	controller, running := closingRig(c)
	decision := controller.Offer(at(1200), admit.Request{
		Route:    "order",
		Sender:   "b",
		Deadline: at(9000),
	}, &admit.Ticket{})
	c.Assert(decision.Wait, qt.IsTrue)
	c.Assert(controller.CloseSender(at(1200), "b", at(2000)), qt.HasLen, 0)
	wakes := controller.Finish(at(1990), running[0], true)
	c.Assert(wakes, qt.HasLen, 1)
	c.Check(wakes[0].Kind, qt.Equals, core.Overloaded)
}

// TestOfferOfLeavingSender guards against a request that is passed on although its sender closes the
// connection of its caller before an answer can come.
func TestOfferOfLeavingSender(t *testing.T) {
	cases := []struct {
		name     string
		closesAt time.Time
		want     core.ErrorKind
	}{
		{"not leaving", time.Time{}, ""},
		{"time for an answer", at(2000), ""},
		{"no time for an answer", at(1290), core.Overloaded},
		{"closed", at(1200), core.Overloaded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			controller, running := closingRig(c)
			controller.Finish(at(1200), running[0], false)
			decision := controller.Offer(at(1200), admit.Request{
				Route:          "order",
				Sender:         "b",
				Deadline:       at(9000),
				SenderClosesAt: test.closesAt,
			}, &admit.Ticket{})
			c.Check(decision.Kind, qt.Equals, test.want)
			c.Check(decision.Wait, qt.IsFalse)
		})
	}
}
