package follow

import (
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/kernel"
)

// eventLog is a core.Journal that keeps the events.
type eventLog struct {
	mu     sync.Mutex
	events []core.Event
}

// Record implements core.Journal.
func (l *eventLog) Record(event core.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *eventLog) has(isWanted func(core.Event) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.events, isWanted)
}

// TestSourceFailureIsLogged guards against logs and metrics that do not show why a daemon hears of no
// change while its source gives no answer.
func TestSourceFailureIsLogged(t *testing.T) {
	c := qt.New(t)
	store := newFakeRegistry()
	store.register("d1")
	store.write(1)
	log := &eventLog{}
	f := New(Config{
		Self: core.Host{
			Name:             "self",
			AvailabilityZone: "a",
		},
		Registry: store,
		Relay: &testZone{
			unreachable: map[core.HostName]bool{"d1": true},
		},
		Clock:   kernel.SystemClock{},
		Journal: log,
	})
	c.Assert(f.Start(t.Context()), qt.IsNil)
	defer func() { _ = f.Stop(t.Context()) }()
	waitUntil(t, 5*time.Second, func() bool { return f.Counters.SourceFailures.Load() > 0 })
	waitUntil(t, time.Second, func() bool {
		return log.has(func(event core.Event) bool {
			return event.Kind == core.EventSourceFailed && event.Subject == "d1"
		})
	})
}

// TestSilentWatchIsLogged guards against logs that do not show why the content is listed.
func TestSilentWatchIsLogged(t *testing.T) {
	c := qt.New(t)
	store := newFakeRegistry()
	store.write(1)
	log := &eventLog{}
	f := New(Config{
		Registry: store,
		Clock:    kernel.SystemClock{},
		Journal:  log,
	})
	c.Assert(f.Start(t.Context()), qt.IsNil)
	defer func() { _ = f.Stop(t.Context()) }()
	waitVersion(t, f, 1, applyDeadline)
	store.set(func() { store.isUnresponsive = true })
	store.write(2)
	waitVersion(t, f, 2, applyDeadline)
	c.Assert(log.has(func(event core.Event) bool {
		return event.Kind == core.EventWatchSilent && event.Revision == 2
	}), qt.IsTrue)
}
