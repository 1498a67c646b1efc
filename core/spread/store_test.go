package spread_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/spread"
)

// harness drives one machine and collects its actions.
type harness struct {
	machine *spread.Machine
	now     time.Time
	actions []spread.Action
	reports []spread.Report
}

func newHarness() *harness {
	return &harness{
		now: startTime,
		machine: spread.New(spread.Config{
			Self:   hostAt(0),
			Random: rand.New(rand.NewPCG(1, 1)),
		}),
	}
}

func (h *harness) handle(input spread.Input) {
	actions := h.machine.Handle(h.now, input)
	h.actions = append(h.actions, actions...)
	for _, action := range actions {
		if report, ok := action.(spread.Report); ok {
			h.reports = append(h.reports, report)
		}
	}
}

func (h *harness) advance(by time.Duration) {
	for end := h.now.Add(by); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.handle(spread.Tick{})
	}
}

// last returns the newest action of a type and whether there was one.
func last[A spread.Action](h *harness) (A, bool) {
	for i := len(h.actions) - 1; i >= 0; i-- {
		if action, ok := h.actions[i].(A); ok {
			return action, true
		}
	}
	var none A
	return none, false
}

// count returns the number of actions of a type.
func count[A spread.Action](h *harness) int {
	found := 0
	for _, action := range h.actions {
		if _, ok := action.(A); ok {
			found++
		}
	}
	return found
}

// refused returns the kinds of the refused histories, in order.
func (h *harness) refused() []core.ErrorKind {
	var kinds []core.ErrorKind
	for _, report := range h.reports {
		if report.Kind == core.EventHistoryRefused {
			kinds = append(kinds, core.ErrorKind(report.Detail))
		}
	}
	return kinds
}

// answerWatch answers the latest watch from a history.
func (h *harness) answerWatch(c *chain) {
	request, _ := last[spread.WatchNotes](h)
	result := spread.NotesResult{
		Request: request,
		Started: h.now,
		Values:  c.values(min(request.After, c.head())),
	}
	if request.After > 0 && request.After <= c.head() {
		result.Newest, result.NewestFound = c.notes[request.After-1], true
	}
	h.handle(result)
}

// newSoleDaemon returns the only daemon of a fleet, which is about to read the checkpoint.
func newSoleDaemon(c *qt.C) (*harness, spread.ReadCheckpoint) {
	h := newHarness()
	h.advance(6 * time.Second)
	h.handle(spread.StoreHostsResult{
		List: core.HostList{
			Revision: 1,
			Hosts:    []core.Host{hostAt(0)},
		},
		Changed: true,
	})
	h.advance(time.Second)
	request, ok := last[spread.ReadCheckpoint](h)
	c.Assert(ok, qt.IsTrue)
	return h, request
}

// newReader returns the only daemon of a fleet, ready with the whole history.
func newReader(c *qt.C, history *chain) *harness {
	h, checkpoint := newSoleDaemon(c)
	h.handle(spread.CheckpointResult{Epoch: checkpoint.Epoch})
	h.answerWatch(history)
	h.answerWatch(history)
	c.Assert(h.machine.Refusal(), qt.Equals, core.ErrorKind(""))
	c.Assert(h.machine.Served().Version, qt.Equals, history.head())
	h.actions, h.reports = nil, nil
	return h
}

// storeFault is a result of a store read and its expected effect.
type storeFault struct {
	name string
	// answer modifies the correct answer to a parked watch of a reader at version 3, which
	// has the notes 4 and 5.
	answer func(c *chain, result *spread.NotesResult)
	// version is the version in force after the answer.
	version core.Version
	refused []core.ErrorKind
	// minDelay is the minimum time until the next read.
	minDelay time.Duration
}

var storeFaults = []storeFault{
	{
		name:    "good",
		answer:  func(*chain, *spread.NotesResult) {},
		version: 5,
	},
	{
		name:     "down",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Err = core.Errorf(core.StoreDown, "no response") },
		version:  3,
		minDelay: 50 * time.Millisecond,
	},
	{
		name:     "busy",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Err = core.Errorf(core.StoreBusy, "429") },
		version:  3,
		minDelay: 50 * time.Millisecond,
	},
	{
		name:     "malformed key",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Values[0].Key = "notes/four" },
		version:  3,
		refused:  []core.ErrorKind{core.StoreMalformed},
		minDelay: 50 * time.Millisecond,
	},
	{
		name:     "values up to the current version",
		answer:   func(c *chain, result *spread.NotesResult) { result.Values = c.branch(3).values(0) },
		version:  3,
		minDelay: 400 * time.Millisecond,
	},
	{
		name: "updates out of order",
		answer: func(_ *chain, result *spread.NotesResult) {
			result.Values[0], result.Values[1] = result.Values[1], result.Values[0]
		},
		version: 5,
	},
	{
		name:     "gap",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Values = result.Values[1:] },
		version:  3,
		minDelay: 400 * time.Millisecond,
	},
	{
		name:     "rolled back",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Newest, result.NewestFound = nil, false },
		version:  3,
		refused:  []core.ErrorKind{core.StoreStale},
		minDelay: 900 * time.Millisecond,
	},
	{
		name:     "forked",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Newest = []byte("version = 3 # another note") },
		version:  3,
		refused:  []core.ErrorKind{core.StoreFork},
		minDelay: 900 * time.Millisecond,
	},
	{
		name:    "invalid note",
		answer:  func(_ *chain, result *spread.NotesResult) { result.Values[0].Value = []byte("no note") },
		version: 5,
	},
	{
		name:     "returns early without a note",
		answer:   func(_ *chain, result *spread.NotesResult) { result.Values = nil },
		version:  3,
		minDelay: 400 * time.Millisecond,
	},
}

// TestStoreFaults guards against following a store with another or an older history, and
// against a failing store that is read again without a delay, or never.
func TestStoreFaults(t *testing.T) {
	for _, fault := range storeFaults {
		t.Run(fault.name, func(t *testing.T) {
			c := qt.New(t)
			history := longChain(5)
			h := newReader(c, history.branch(3))
			request := parkedWatch(c, h, history.branch(3))
			result := spread.NotesResult{
				Request:     request,
				Started:     h.now,
				Values:      history.values(3),
				Newest:      history.notes[2],
				NewestFound: true,
			}
			fault.answer(history, &result)
			h.actions = nil
			h.handle(result)
			c.Check(h.machine.Served().Version, qt.Equals, fault.version)
			c.Check(h.refused(), qt.DeepEquals, fault.refused)
			if fault.minDelay > 0 {
				h.now = h.now.Add(fault.minDelay - time.Millisecond)
				h.handle(spread.Tick{})
				c.Check(count[spread.WatchNotes](h)+count[spread.ReadCheckpoint](h), qt.Equals, 0)
			}
			h.advance(6 * time.Second)
			c.Check(count[spread.WatchNotes](h)+count[spread.ReadCheckpoint](h), qt.Equals, 1)
		})
	}
}

// parkedWatch returns the watch that waits for new notes.
func parkedWatch(c *qt.C, h *harness, history *chain) spread.WatchNotes {
	for range 3 {
		request, ok := last[spread.WatchNotes](h)
		if ok && request.Wait > 0 && request.Verify {
			return request
		}
		h.advance(time.Second)
		h.answerWatch(history)
	}
	c.Fatal("the reader has no parked watch")
	return spread.WatchNotes{}
}

// TestStoreBehindPeers guards against missing a fork that only shows once the store reaches a
// version already in force from peers, and against not reporting a store that stays behind.
func TestStoreBehindPeers(t *testing.T) {
	c := qt.New(t)
	history := longChain(6)
	h := newReader(c, history.branch(3))
	h.handle(spread.PushReceived{Message: core.PushMessage{
		Digest: digestOf(1, history, 6),
		Slices: history.regional("north", 4, 6),
	}})
	c.Assert(h.machine.Served().Version, qt.Equals, core.Version(6))
	for range 5 {
		h.advance(time.Second)
		h.answerWatch(history.branch(3))
	}
	c.Check(h.refused(), qt.DeepEquals, []core.ErrorKind{core.StoreStale})
	c.Check(h.machine.Status(h.now).StoreError, qt.Equals, core.StoreStale)
	fork := history.branch(3)
	fork.add(routeText(4, "", "another"))
	h.advance(time.Second)
	h.answerWatch(fork)
	c.Check(h.refused(), qt.DeepEquals, []core.ErrorKind{core.StoreStale, core.StoreFork})
	c.Check(h.machine.Served().Version, qt.Equals, core.Version(6))
	c.Check(h.machine.Served().Hash, qt.Equals, history.fulls[6].Hash)
}

// TestCheckpoint guards against a reader that ignores a checkpoint, stops at one that cannot
// be read, or omits the notes after it.
func TestCheckpoint(t *testing.T) {
	history := longChain(5)
	for _, test := range []struct {
		name  string
		value []byte
	}{
		{name: "absent"},
		{name: "in the middle", value: history.checkpoint(3)},
		{name: "newest", value: history.checkpoint(5)},
		{name: "malformed", value: []byte("no checkpoint")},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, request := newSoleDaemon(c)
			h.handle(spread.CheckpointResult{
				Epoch: request.Epoch,
				Value: test.value,
				Found: test.value != nil,
			})
			c.Check(h.machine.Refusal(), qt.Equals, core.Starting)
			h.answerWatch(history)
			h.answerWatch(history)
			c.Check(h.machine.Refusal(), qt.Equals, core.ErrorKind(""))
			c.Check(h.machine.Served().Version, qt.Equals, core.Version(5))
			c.Check(h.machine.Served().Hash, qt.Equals, history.fulls[5].Hash)
		})
	}
}

// TestUnverifiedCheckpoint guards against folding notes of another history onto a checkpoint:
// the store may be restored from a backup between the checkpoint and the first note after it.
func TestUnverifiedCheckpoint(t *testing.T) {
	c := qt.New(t)
	h, request := newSoleDaemon(c)
	h.handle(spread.CheckpointResult{
		Epoch: request.Epoch,
		Value: longChain(3).checkpoint(3),
		Found: true,
	})
	watch, ok := last[spread.WatchNotes](h)
	c.Assert(ok, qt.IsTrue)
	h.actions = nil
	h.handle(spread.NotesResult{
		Request: watch,
		Err:     core.Errorf(core.StoreDown, "no response"),
	})
	h.advance(5 * time.Second)
	c.Check(count[spread.WatchNotes](h), qt.Equals, 0)
	c.Check(count[spread.ReadCheckpoint](h), qt.Equals, 1)
}

// TestIsolatedFleet guards against 5,000 daemons, each of which sees no other, that together
// exceed the store's 2,000 operations per second.
func TestIsolatedFleet(t *testing.T) {
	c := qt.New(t)
	history := longChain(5)
	list := core.HostList{Revision: 1}
	for i := range 5000 {
		list.Hosts = append(list.Hosts, hostAt(i))
	}
	h := newHarness()
	operations := 0
	for range 1200 {
		h.advance(100 * time.Millisecond)
		for len(h.actions) > 0 {
			action := h.actions[0]
			h.actions = h.actions[1:]
			operations += h.serveRead(action, history, list)
		}
	}
	c.Check(h.machine.Served().Version, qt.Equals, core.Version(5))
	c.Check(h.machine.Refusal(), qt.Equals, core.ErrorKind(""))
	perSecond := float64(operations*len(list.Hosts)) / 120
	c.Check(perSecond <= 2000, qt.IsTrue, qt.Commentf("%.0f operations per second", perSecond))
}

// serveRead answers a read of the store at once and returns its number of operations.
func (h *harness) serveRead(action spread.Action, history *chain, list core.HostList) int {
	switch act := action.(type) {
	case spread.ReadCheckpoint:
		h.handle(spread.CheckpointResult{Epoch: act.Epoch, Value: history.checkpoint(3), Found: true})
		return 1
	case spread.WatchHosts:
		h.handle(spread.StoreHostsResult{Request: act, List: list, Changed: act.AfterRevision != list.Revision})
		return 1
	case spread.WatchNotes:
		result := spread.NotesResult{Request: act, Values: history.values(act.After), Started: h.now}
		if act.Verify {
			result.Newest, result.NewestFound = history.notes[act.After-1], true
		}
		h.handle(result)
		return 2
	}
	return 0
}
