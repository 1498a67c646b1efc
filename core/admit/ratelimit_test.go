package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// namedRate is the limit that an upstream names from a time on; negative means none.
type namedRate struct {
	from      time.Duration
	perSecond float64
}

// TestNamedRateLimit guards against more requests than the limit that the upstream names at the time,
// and against few of them under a limit that has ended or that another process named.
func TestNamedRateLimit(t *testing.T) {
	const length = 9 * time.Second
	for _, tc := range []struct {
		name  string
		rates []namedRate
		// skipped is the number of answers without a limit between two that name it.
		skipped int
		// replacedAt is the time at which another process takes the place of the upstream, 0 for none.
		replacedAt time.Duration
		// from is the time from which the bounds hold, at least and most those for any 4 s.
		from  time.Duration
		least int
		most  int
	}{
		{name: "steady", rates: []namedRate{{perSecond: 20}}, least: 75, most: 125},
		{name: "below one a second", rates: []namedRate{{perSecond: 0.4}}, least: 1, most: 7},
		{name: "zero", rates: []namedRate{{perSecond: 0}}, from: 3 * time.Second, least: 1, most: 5},
		{name: "lowered", rates: []namedRate{{perSecond: 40}, {from: 3 * time.Second, perSecond: 10}}, from: 3 * time.Second, least: 36, most: 65},
		{name: "raised", rates: []namedRate{{perSecond: 2}, {from: 3 * time.Second, perSecond: 30}}, from: 3 * time.Second, least: 110, most: 185},
		{name: "named in one of three answers", rates: []namedRate{{perSecond: 20}}, skipped: 2, least: 75, most: 125},
		{name: "ended", rates: []namedRate{{perSecond: 5}, {from: 3 * time.Second, perSecond: -1}}, from: 5 * time.Second, least: 300, most: 1000},
		{name: "another process", rates: []namedRate{{perSecond: 5}, {from: 3 * time.Second, perSecond: -1}}, replacedAt: 3 * time.Second, from: 3 * time.Second, least: 300, most: 1000},
		{name: "more than there are requests", rates: []namedRate{{perSecond: 1e300}}, least: 300, most: 1000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newLoadRig(0)
			answered := 0
			for rig.now.Before(loadStart.Add(length)) {
				elapsed := rig.now.Sub(loadStart)
				if tc.replacedAt > 0 && elapsed >= tc.replacedAt {
					rig.upstream.Instance = "i2"
					rig.controller.SetUpstream(rig.now, &rig.upstream)
				}
				rig.offer("check")
				rig.advance()
				for ; answered < len(rig.answered); answered++ {
					report := admit.RateReport{
						Instance: rig.upstream.Instance,
						SentAt:   rig.now.Add(-40 * time.Millisecond),
					}
					for _, rate := range tc.rates {
						if elapsed >= rate.from {
							report.PerSecond, report.HasLimit = rate.perSecond, rate.perSecond >= 0
						}
					}
					report.HasLimit = report.HasLimit && answered%(tc.skipped+1) == 0
					_, wakes := rig.controller.RecordRate(rig.now, report)
					rig.wake(wakes)
				}
			}
			for from := tc.from; from+4*time.Second <= length; from += 100 * time.Millisecond {
				count := 0
				for _, at := range rig.started {
					if since := at.Sub(loadStart); since >= from && since < from+4*time.Second {
						count++
					}
				}
				c.Assert(count >= tc.least && count <= tc.most, qt.IsTrue, qt.Commentf("%d requests started from %v to %v", count, from, from+4*time.Second))
			}
		})
	}
}

// TestOlderAnswerEndsNoLimit guards against a limit that ends with an answer to a request that was
// passed on before the upstream named the limit.
func TestOlderAnswerEndsNoLimit(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	record := func(sentAt time.Time, hasLimit bool) {
		rig.controller.RecordRate(rig.now, admit.RateReport{
			Instance:  "i1",
			PerSecond: 20,
			HasLimit:  hasLimit,
			SentAt:    sentAt,
		})
	}
	record(rig.now, true)
	rig.now = rig.now.Add(2 * time.Second)
	record(loadStart.Add(-time.Second), false)
	_, ok := rig.controller.RateLimit()
	c.Assert(ok, qt.IsTrue)
	record(rig.now, false)
	_, ok = rig.controller.RateLimit()
	c.Assert(ok, qt.IsFalse)
}

// TestLeavingRefusesWaiting guards against requests that wait on for an upstream that has said in an
// answer that it leaves, and against a process that is refused because of an earlier one.
func TestLeavingRefusesWaiting(t *testing.T) {
	c := qt.New(t)
	rig := newLoadRig(0)
	for range 6 {
		c.Assert(rig.offer("lookup").Kind, qt.Equals, core.ErrorKind(""))
	}
	isNew, wakes := rig.controller.RecordLeaving("i1")
	c.Assert(isNew, qt.IsTrue)
	c.Assert(len(wakes), qt.Equals, 2)
	c.Assert(wakes[0].Kind, qt.Equals, core.Leaving)
	c.Assert(rig.offer("lookup").Kind, qt.Equals, core.Leaving)
	rig.upstream.Instance = "i2"
	rig.controller.SetUpstream(rig.now, &rig.upstream)
	c.Assert(rig.offer("lookup").Kind, qt.Equals, core.ErrorKind(""))
}
