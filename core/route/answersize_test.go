package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// TestDownloadsStayNear guards against large answers that cross paid links because the local upstream is
// busy. Short answers may leave for a free upstream, so that the downloads keep their slots.
func TestDownloadsStayNear(t *testing.T) {
	cases := []struct {
		name        string
		answerBytes int64
		busy        route.LoadReport
		want        core.HostName
	}{
		{
			name:        "short answers leave a busy upstream",
			answerBytes: 400,
			busy:        route.LoadReport{InFlight: 20, Limit: 18, ServiceTime: 100 * time.Millisecond},
			want:        "a2",
		},
		{
			name:        "downloads wait a little",
			answerBytes: 90 << 10,
			busy:        route.LoadReport{InFlight: 20, Limit: 18, ServiceTime: 100 * time.Millisecond},
			want:        "a1",
		},
		{
			name:        "downloads leave rather than be late",
			answerBytes: 90 << 10,
			busy:        route.LoadReport{InFlight: 40, Limit: 18, QueueTime: 450 * time.Millisecond, ServiceTime: 100 * time.Millisecond},
			want:        "a2",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newCostFixture()
			for _, name := range []core.HostName{"a2", "b1", "b2"} {
				fixture.report(name, route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: 100 * time.Millisecond})
			}
			fixture.report("a1", tc.busy)
			for range 5 {
				fixture.balancer.RecordAnswerBytes("lookup", tc.answerBytes)
			}
			counts := fixture.countChoices()
			qt.Assert(t, counts[tc.want] >= 90, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// TestAnswerSizes checks what is expected of a route's answers: nothing at first, then a mean that
// follows the answers and outlasts configurations that keep the route.
func TestAnswerSizes(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	balancer := fixture.balancer
	c.Assert(balancer.ExpectedAnswerBytes("lookup"), qt.Equals, int64(0))
	balancer.RecordAnswerBytes("lookup", 90_000)
	c.Assert(balancer.ExpectedAnswerBytes("lookup"), qt.Equals, int64(90_000))
	balancer.ForgetRoutes(fixture.query.Snapshot)
	c.Assert(balancer.ExpectedAnswerBytes("lookup"), qt.Equals, int64(90_000))
	for range 50 {
		balancer.RecordAnswerBytes("lookup", 1_000)
	}
	mean := balancer.ExpectedAnswerBytes("lookup")
	c.Assert(mean >= 1_000 && mean < 2_000, qt.IsTrue, qt.Commentf("%d", mean))
	balancer.ForgetRoutes(newSnapshot(core.RouteSpec{Name: "other", Service: "s"}))
	c.Assert(balancer.ExpectedAnswerBytes("lookup"), qt.Equals, int64(0))
}
