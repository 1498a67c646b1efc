package events_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/events"
)

type fixedClock struct {
	now time.Time
}

func (c *fixedClock) Now() time.Time {
	return c.now
}

// TestOrderUnderClockSkew guards against a timeline that shows an effect before its cause when the
// receiver's clock is behind the sender's.
func TestOrderUnderClockSkew(t *testing.T) {
	c := qt.New(t)
	ahead := events.NewHybridClock(&fixedClock{now: time.UnixMilli(20_000)})
	behind := events.NewHybridClock(&fixedClock{now: time.UnixMilli(10_000)})
	sender := events.NewJournal(events.JournalConfig{Self: core.Host{Name: "sender"}, Clock: ahead})
	receiver := events.NewJournal(events.JournalConfig{Self: core.Host{Name: "receiver"}, Clock: behind})
	sender.Record(core.Event{Kind: core.EventVersionApplied})
	behind.Observe(ahead.Now())
	receiver.Record(core.Event{Kind: core.EventVersionSeen})
	merged := events.Merge(events.Filter{}, receiver.Events(), sender.Events())
	c.Assert(merged[0].Host, qt.Equals, core.HostName("sender"))
	c.Assert(merged[1].Host, qt.Equals, core.HostName("receiver"))
}

// TestClockIgnoresFarFuture guards against one host with a clock far ahead that moves the
// timestamps of all others.
func TestClockIgnoresFarFuture(t *testing.T) {
	c := qt.New(t)
	clock := events.NewHybridClock(&fixedClock{now: time.UnixMilli(10_000)})
	clock.Observe(core.Timestamp{Wall: 10_000 + time.Hour.Milliseconds()})
	c.Assert(clock.Now().Wall, qt.Equals, int64(10_000))
}

// TestJournalIsBounded guards against a journal that exceeds its capacity or drops its newest
// events.
func TestJournalIsBounded(t *testing.T) {
	c := qt.New(t)
	clock := events.NewHybridClock(&fixedClock{now: time.UnixMilli(1)})
	journal := events.NewJournal(events.JournalConfig{Clock: clock, Capacity: 3})
	for version := range core.Version(8) {
		journal.Record(core.Event{Version: version})
	}
	var kept []core.Version
	for _, event := range journal.Events() {
		kept = append(kept, event.Version)
	}
	c.Assert(kept, qt.DeepEquals, []core.Version{5, 6, 7})
}
