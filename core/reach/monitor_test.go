package reach_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core/reach"
)

// TestCutOff guards against callers that stay at a daemon that reaches no other one, and against
// a sound daemon that sends its callers away.
func TestCutOff(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name string
		// reached holds the times after the start at which another daemon was reached.
		reached []time.Duration
		others  int
		want    bool
	}{
		{name: "reached a moment ago", reached: []time.Duration{9 * time.Second}, others: 17},
		{name: "nobody for three seconds", reached: []time.Duration{7 * time.Second}, others: 17, want: true},
		{name: "a late note of an early answer", reached: []time.Duration{9 * time.Second, 5 * time.Second}, others: 17},
		{name: "started alone", others: 17},
		{name: "one other daemon, which may be gone", reached: []time.Duration{time.Second}, others: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			m := reach.New(reach.Config{})
			for _, at := range tc.reached {
				m.Reached(start.Add(at))
			}
			now := start.Add(10 * time.Second)
			isCutOff, isChanged, _ := m.Look(now, tc.others)
			c.Check(isCutOff, qt.Equals, tc.want)
			c.Check(isChanged, qt.Equals, tc.want)
			_, isChanged, _ = m.Look(now, tc.others)
			c.Check(isChanged, qt.IsFalse)
			m.Reached(now)
			isCutOff, isChanged, _ = m.Look(now, tc.others)
			c.Check(isCutOff, qt.IsFalse)
			c.Check(isChanged, qt.Equals, tc.want)
		})
	}
}
