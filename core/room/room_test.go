package room_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/core/room"
)

var start = time.UnixMilli(1_800_000_000_000)

// at returns the time that is a number of milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// claim returns a claim with times in milliseconds after start.
func claim(priority, target, deadline, service int) room.Claim {
	return room.Claim{
		Priority:    priority,
		Target:      at(target),
		Deadline:    at(deadline),
		ServiceTime: time.Duration(service) * time.Millisecond,
		Margin:      room.Margin(time.Duration(service)*time.Millisecond, 0, 0),
	}
}

// TestOrder guards against a waiting request that gets its slot before one whose refusal or delay costs
// callers more.
func TestOrder(t *testing.T) {
	lookup := func(c room.Claim) room.Claim {
		c.IsLookup = true
		return c
	}
	cases := []struct {
		name          string
		first, second room.Claim
	}{
		{"by priority", claim(1, 800, 2000, 50), claim(2, 300, 2000, 50)},
		{"late but more urgent", claim(1, 10, 2000, 50), claim(2, 300, 2000, 50)},
		{"in time before late", claim(2, 300, 2000, 50), claim(2, 10, 1000, 50)},
		{"lookups first", lookup(claim(2, 800, 2000, 50)), claim(2, 300, 2000, 50)},
		{"short targets first", claim(2, 100, 200, 15), claim(2, 800, 5000, 200)},
		{"long work starts earlier", claim(2, 800, 5000, 500), claim(2, 300, 2000, 50)},
		{"late ones by deadline", claim(2, 10, 900, 50), claim(2, 20, 1000, 50)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, room.Compare(start, &tc.first, &tc.second), qt.Equals, -1)
			qt.Check(t, room.Compare(start, &tc.second, &tc.first), qt.Equals, 1)
			qt.Check(t, room.Compare(start, &tc.first, &tc.first), qt.Equals, 0)
		})
	}
}

// TestOrderIsTransitive guards against an order in which the next request depends on the place of the
// others in the queue.
func TestOrderIsTransitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) room.Claim {
			c := claim(
				rapid.IntRange(0, 2).Draw(t, "priority"),
				rapid.IntRange(0, 400).Draw(t, "target"),
				rapid.IntRange(0, 400).Draw(t, "deadline"),
				rapid.IntRange(1, 200).Draw(t, "service"),
			)
			c.IsLookup = rapid.Bool().Draw(t, "lookup")
			return c
		})
		claims := rapid.SliceOfN(draw, 2, 8).Draw(t, "claims")
		slices.SortFunc(claims, func(a, b room.Claim) int {
			return room.Compare(start, &a, &b)
		})
		for i := range claims {
			for j := range i {
				if room.Compare(start, &claims[j], &claims[i]) > 0 {
					t.Fatalf("%+v is behind %+v", claims[j], claims[i])
				}
			}
		}
	})
}

// TestLinkRoom guards against bodies that fill the link of a host, so that short requests arrive after
// their deadlines, and against a link that stays idle while a body waits.
func TestLinkRoom(t *testing.T) {
	c := qt.New(t)
	const body = 60_000
	link := room.Link{
		// 48 ms a body.
		BytesPerSecond: 1_250_000,
	}
	var arriving []*room.Body
	for link.HasRoom(start, body) {
		arriving = append(arriving, link.Begin(start, body))
	}
	c.Assert(arriving, qt.HasLen, 1)
	c.Assert(link.HasRoom(start, 10_000), qt.IsTrue)
	c.Assert(link.HasRoom(start, 0), qt.IsTrue)
	c.Assert(link.Wait(start, body, 0), qt.Equals, 16*time.Millisecond)
	c.Assert(link.Wait(start, body, 2*body), qt.Equals, 112*time.Millisecond)
	link.End(arriving[0])
	c.Assert(link.HasRoom(start, 10*body), qt.IsTrue, qt.Commentf("a body longer than the bound has to get through"))
	link.Begin(start, 10*body)
	c.Assert(link.HasRoom(start, 1), qt.IsFalse)
	var unknown room.Link
	c.Assert(unknown.Begin(start, body), qt.IsNil)
	c.Assert(unknown.HasRoom(start, body), qt.IsTrue)
	c.Assert(unknown.Wait(start, body, body), qt.Equals, time.Duration(0))
}

// TestSlowSender guards against a caller that sends its body slowly and keeps the link from others.
func TestSlowSender(t *testing.T) {
	c := qt.New(t)
	link := room.Link{
		BytesPerSecond: 1_250_000,
	}
	c.Assert(link.NextRoom().IsZero(), qt.IsTrue)
	body := link.Begin(start, 100_000)
	c.Assert(link.HasRoom(at(400), 100_000), qt.IsFalse)
	c.Assert(link.NextRoom(), qt.Equals, at(520))
	c.Assert(link.HasRoom(at(520), 100_000), qt.IsTrue)
	c.Assert(link.NextRoom().IsZero(), qt.IsTrue)
	link.End(body)
}

// TestAbortedBodyIsStillOnLink answers the pattern "an upstream fails uploads as fast as they are let in".
// It guards against bodies that nobody waits for any more and that fill the link all the same.
func TestAbortedBodyIsStillOnLink(t *testing.T) {
	c := qt.New(t)
	link := room.Link{
		BytesPerSecond: 1_250_000,
	}
	body := link.Begin(start, 100_000)
	link.Abort(at(5), body)
	c.Assert(link.HasRoom(at(80), 100_000), qt.IsFalse)
	c.Assert(link.NextRoom(), qt.Equals, at(85))
	c.Assert(link.HasRoom(at(85), 100_000), qt.IsTrue)
}

// TestReturns guards against a request that comes back after a refusal and is taken for a new one, so
// that it makes others late, and against a new request that is taken for a returned one.
func TestReturns(t *testing.T) {
	c := qt.New(t)
	var returns room.Returns
	returns.Add("/read/7", at(2000), at(0))
	returns.Add("/read/7", at(2004), at(20))
	for _, tc := range []struct {
		name string
		path string
		// deadline and first are in milliseconds; first is -1 for a new request.
		deadline, first int
	}{
		{"another path", "/read/8", 2000, -1},
		{"another deadline", "/read/7", 2050, -1},
		{"the closest", "/read/7", 2003, 20},
		{"with another way", "/read/7", 2005, 0},
		{"each only once", "/read/7", 2000, -1},
	} {
		first, ok := returns.Take(tc.path, at(tc.deadline))
		c.Assert(ok, qt.Equals, tc.first >= 0, qt.Commentf("%s", tc.name))
		if ok {
			c.Assert(first, qt.Equals, at(tc.first), qt.Commentf("%s", tc.name))
		}
	}
}

// TestFull answers the pattern "all upstreams of a service start at once". It guards against attempts
// at upstreams that are known to have no room, and against upstreams that are avoided for good.
func TestFull(t *testing.T) {
	c := qt.New(t)
	var full room.Full
	c.Assert(full.RoomAfter(start, "check", "h1"), qt.Equals, time.Duration(0))
	full.Record(start, "check", "h1", time.Second)
	c.Assert(full.RoomAfter(at(300), "check", "h1"), qt.Equals, 700*time.Millisecond)
	c.Assert(full.RoomAfter(at(300), "check", "h2"), qt.Equals, time.Duration(0))
	c.Assert(full.RoomAfter(at(300), "order", "h1"), qt.Equals, time.Duration(0))
	c.Assert(full.RoomAfter(at(1000), "check", "h1"), qt.Equals, time.Duration(0))
}

// TestDemand guards against an expected wait that leaves out the more urgent requests that will come
// in the meantime, and against one that is still long after they have stopped.
func TestDemand(t *testing.T) {
	c := qt.New(t)
	var demand room.Demand
	// 40 requests/s of 50 ms occupy 2 of 4 slots.
	for i := 0; i < 5000; i += 25 {
		demand.Add(at(i), 1, 50*time.Millisecond)
	}
	share := demand.UrgentShare(at(5000), 2, 4)
	c.Assert(share > 0.45 && share < 0.55, qt.IsTrue, qt.Commentf("%v", share))
	c.Assert(demand.Pressure(at(5000), 4), qt.Equals, share)
	c.Assert(demand.UrgentShare(at(5000), 1, 4), qt.Equals, 0.0)
	c.Assert(demand.UrgentShare(at(5000), 2, 1) < 1, qt.IsTrue)
	c.Assert(demand.UrgentShare(at(10_000), 2, 4) < 0.01, qt.IsTrue)
}

// TestReturnAfter answers the pattern "a wave of retries after refusals". It guards against callers that
// come back at once though they cannot be in time, and against ones that come back too late for that.
func TestReturnAfter(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                                            string
		roomAfter, answerTime, targetLeft, deadlineLeft time.Duration
		random                                          float64
		want                                            time.Duration
	}{
		{"can be in time", 100 * ms, 50 * ms, 300 * ms, 2000 * ms, 0.9, 100 * ms},
		{"late, first", 100 * ms, 250 * ms, 300 * ms, 2000 * ms, 0, 100 * ms},
		{"late, last", 100 * ms, 250 * ms, 300 * ms, 2000 * ms, 1, 500 * ms},
		{"past the target", 100 * ms, 50 * ms, -10 * ms, 900 * ms, 0.5, 162500 * time.Microsecond},
		{"no time left", 100 * ms, 50 * ms, 0, 200 * ms, 0.5, 100 * ms},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, room.ReturnAfter(tc.roomAfter, tc.answerTime, tc.targetLeft, tc.deadlineLeft, tc.random), qt.Equals, tc.want)
		})
	}
}

// TestMargin guards against a queue that makes most answers late while there is more work than room, and
// against refusals of requests that would mostly be in time while there is enough room.
func TestMargin(t *testing.T) {
	c := qt.New(t)
	const mean, deviation = 100 * time.Millisecond, 70 * time.Millisecond
	c.Assert(room.Margin(mean, deviation, 0.9), qt.Equals, 150*time.Millisecond)
	c.Assert(room.Margin(mean, deviation, 2), qt.Equals, 240*time.Millisecond)
	c.Assert(room.Margin(mean, 0, 2), qt.Equals, 150*time.Millisecond)
}

func BenchmarkTakeReturn(b *testing.B) {
	var returns room.Returns
	for i := range 300 {
		returns.Add("/read/7", at(i*10), at(0))
	}
	for b.Loop() {
		returns.Take("/read/7", at(4000))
	}
}
