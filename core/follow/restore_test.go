package follow_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/follow"
)

const hold = 6 * time.Second

// record returns the registration of an upstream with its start time and sequence.
func record(revision uint64, id string, state core.HostState, startedMs, sequence int64) core.RegistryChange {
	change := upstreamChange(revision, id, state)
	change.Upstream.StartedMs = startedMs
	change.Upstream.Sequence = sequence
	return change
}

// TestRestoredStore guards against a view that ignores changes whose revisions a lost history had
// before, and against one that follows the copy back to a configuration, an upstream or an
// availability zone that was replaced, had left or was taken out.
func TestRestoredStore(t *testing.T) {
	live, leaving := core.HostLive, core.HostLeaving
	cases := []struct {
		name    string
		before  []step
		steps   []step
		version core.Version
		out     bool
		members map[string]core.MemberState
	}{
		{
			name:    "a change at a revision of the lost history is in force",
			before:  []step{{watch: []core.RegistryChange{configChange(23, 12)}}},
			steps:   []step{{list: listingOf(2, 22, configChange(22, 12))}, {watch: []core.RegistryChange{configChange(23, 14)}}},
			version: 14,
		},
		{
			name:    "a listing shows a newer version at a lower revision",
			before:  []step{{watch: []core.RegistryChange{configChange(23, 12)}}},
			steps:   []step{{list: listingOf(2, 20, configChange(20, 14))}},
			version: 14,
		},
		{
			name:    "the copy does not revert the configuration",
			before:  []step{{watch: []core.RegistryChange{configChange(23, 12)}}},
			steps:   []step{{list: listingOf(2, 20, configChange(2, 4))}},
			version: 12,
		},
		{
			name:    "a malformed configuration is not used",
			before:  []step{{watch: []core.RegistryChange{configChange(23, 12)}}},
			steps:   []step{{list: listingOf(2, 20, core.RegistryChange{RegistryItem: core.RegistryItem{Key: "config", Revision: 20}})}},
			version: 12,
		},
		{
			name:    "an answer of the lost history is ignored",
			steps:   []step{{list: listingOf(2, 5, configChange(4, 3))}, {list: listingOf(1, 30, configChange(30, 9))}},
			version: 3,
		},
		{
			name:    "a second restoration",
			before:  []step{{watch: []core.RegistryChange{configChange(23, 12)}}},
			steps:   []step{{list: listingOf(2, 22, configChange(22, 12))}, {list: listingOf(3, 21, configChange(21, 12))}, {watch: []core.RegistryChange{configChange(22, 15)}}},
			version: 15,
		},
		{
			name:    "a zone that the copy does not take out stays out",
			before:  []step{{watch: []core.RegistryChange{zoneChange(9, false)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {at: grace - 1, expire: true}},
			version: 2,
			out:     true,
		},
		{
			name:    "a zone is back after the grace period unless it is taken out again",
			before:  []step{{watch: []core.RegistryChange{zoneChange(9, false)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {at: grace, expire: true}},
			version: 2,
		},
		{
			name:    "a zone that is taken out again stays out",
			before:  []step{{watch: []core.RegistryChange{zoneChange(9, false)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {watch: []core.RegistryChange{zoneChange(9, false)}}, {at: 2 * grace, expire: true}},
			version: 2,
			out:     true,
		},
		{
			name:    "a zone is brought back during the grace period",
			before:  []step{{watch: []core.RegistryChange{zoneChange(9, false)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {watch: []core.RegistryChange{zoneChange(9, true)}}},
			version: 2,
		},
		{
			name:    "an upstream that the copy lacks is kept",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 1)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {at: grace - 1, expire: true}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name:    "an upstream that does not register again is gone after the grace period",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 1)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2))}, {at: grace, expire: true}},
			version: 2,
		},
		{
			name:    "a leaving upstream does not become live by the copy",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", leaving, 1, 7)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {at: 2 * hold, expire: true}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberLeaving},
		},
		{
			name:    "a leaving upstream without sequence does not become live by the copy",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", leaving, 1, 0)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 0))}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberLeaving},
		},
		{
			name:    "an upstream that started again under its id replaces the leaving one",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", leaving, 1, 7)}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {watch: []core.RegistryChange{record(9, "i1", live, 2, 1)}}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name:    "an upstream that has left is not used again",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {at: hold - 1, expire: true}},
			version: 2,
		},
		{
			name:    "an upstream that has left is not used again after a second restoration",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {list: listingOf(3, 7, configChange(2, 2), record(5, "i1", live, 1, 3))}, {at: hold - 1, expire: true}},
			version: 2,
		},
		{
			name:    "an upstream that has left and is deleted again is not used later",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {watch: []core.RegistryChange{upstreamDeleted(9, "i1")}}, {at: 2 * hold, expire: true}},
			version: 2,
		},
		{
			name:    "an upstream that has left and is missing in a listing is not used later",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {list: listingOf(2, 9, configChange(2, 2))}, {at: 2 * hold, expire: true}},
			version: 2,
		},
		{
			name:    "an upstream whose registration the store keeps is used again",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))}, {at: hold, expire: true}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name: "an upstream that left during an outage is not used again after the grace period",
			before: []step{
				{watch: []core.RegistryChange{record(9, "i1", live, 1, 7)}},
				{down: true},
				{watch: []core.RegistryChange{upstreamDeleted(10, "i1")}},
			},
			steps: []step{
				{at: time.Second, list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: time.Second + grace, expire: true},
				{at: time.Second + hold - 1, expire: true},
			},
			version: 2,
		},
		{
			name:   "an upstream that left just after a restoration is not used again after the grace period",
			before: []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7)}}},
			steps: []step{
				{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: time.Second, watch: []core.RegistryChange{upstreamDeleted(9, "i1")}},
				{at: 2 * time.Second, list: listingOf(3, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: 2*time.Second + grace, expire: true},
			},
			version: 2,
		},
		{
			name: "an upstream that left during an outage is used again at the end of the hold if its registration is kept",
			before: []step{
				{watch: []core.RegistryChange{record(9, "i1", live, 1, 7)}},
				{down: true},
				{watch: []core.RegistryChange{upstreamDeleted(10, "i1")}},
			},
			steps: []step{
				{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: grace, expire: true},
				{at: hold, expire: true},
			},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name: "an upstream whose registration expired during an outage is kept for the grace period",
			before: []step{
				{watch: []core.RegistryChange{record(9, "i1", live, 1, 7)}},
				{down: true},
				{watch: []core.RegistryChange{upstreamDeleted(10, "i1")}},
			},
			steps: []step{
				{at: time.Second, list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: time.Second + grace - 1, expire: true},
			},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name: "an upstream whose registration expired during an outage and that registers again is kept",
			before: []step{
				{watch: []core.RegistryChange{record(9, "i1", live, 1, 7)}},
				{down: true},
				{watch: []core.RegistryChange{upstreamDeleted(10, "i1")}},
			},
			steps: []step{
				{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 3))},
				{at: time.Second, watch: []core.RegistryChange{record(9, "i1", live, 1, 8)}},
				{at: 2 * hold, expire: true},
			},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
		{
			name:    "an upstream that had left and registers again is used at once",
			before:  []step{{watch: []core.RegistryChange{record(9, "i1", live, 1, 7), upstreamDeleted(10, "i1")}}},
			steps:   []step{{list: listingOf(2, 8, configChange(2, 2), record(5, "i1", live, 1, 8))}},
			version: 2,
			members: map[string]core.MemberState{"i1": core.MemberAlive},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			state := follow.New(follow.Config{
				RecoveryGrace: grace,
				DepartureHold: hold,
			})
			apply(state, step{list: listingOf(1, 2, configChange(2, 2))})
			for _, s := range append(tc.before, tc.steps...) {
				apply(state, s)
			}
			view := state.View()
			c.Assert(view.Snapshot.Version, qt.Equals, tc.version)
			c.Assert(view.Snapshot.Out["a"], qt.Equals, tc.out)
			found := map[string]core.MemberState{}
			for _, member := range view.Members["netbook"] {
				found[member.Host.Instance] = member.State
			}
			if tc.members == nil {
				tc.members = map[string]core.MemberState{}
			}
			c.Assert(found, qt.DeepEquals, tc.members)
		})
	}
}

// TestReusedAddressAfterRestoration guards against an address that goes back to an upstream that has
// crashed, because the copy lacks the registration of the one that started there later.
func TestReusedAddressAfterRestoration(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{
		RecoveryGrace: grace,
	})
	crashed := record(3, "i1", core.HostLive, 1000, 1)
	next := record(6, "i2", core.HostLive, 2000, 1)
	next.Upstream.Host.Name = crashed.Upstream.Host.Name
	state.ApplyListing(start, []core.RegistryChange{configChange(1, 1), crashed, next}, at(1, 6))
	state.ApplyListing(start, []core.RegistryChange{configChange(1, 1), crashed}, at(2, 5))
	c.Assert(state.View().ByName[crashed.Upstream.Host.Name].Host.Instance, qt.Equals, "i2")
}

// TestColdStartAfterRestoration guards against a cold start that begins again because a restored store
// has the registration of the upstream in another epoch.
func TestColdStartAfterRestoration(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{})
	cold := upstreamChange(3, "i1", core.HostLive)
	cold.Upstream.ColdRemaining = 3 * time.Second
	changes := []core.RegistryChange{configChange(1, 1), cold}
	state.ApplyListing(start, changes, at(1, 4))
	state.ApplyListing(start.Add(time.Second), changes, at(2, 3))
	c.Assert(state.View().Members["netbook"][0].ColdUntil, qt.Equals, start.Add(3*time.Second))
}

// TestChangesSinceRestoration guards against daemons that follow this one and miss a deletion between
// the copy and the listing, or what is known to be newer than the copy.
func TestChangesSinceRestoration(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{
		DepartureHold: hold,
	})
	newest := configChange(9, 3)
	newest.Value = []byte("newest")
	state.ApplyListing(start, []core.RegistryChange{newest, record(8, "i1", core.HostLive, 1, 7)}, at(1, 9))
	state.ApplyWatch(start, []core.RegistryChange{upstreamDeleted(10, "i1")}, at(1, 10))
	state.ApplyListing(start, []core.RegistryChange{configChange(2, 2), record(5, "i1", core.HostLive, 1, 3)}, at(2, 8))
	_, ok := state.ChangesSince(7)
	c.Assert(ok, qt.IsFalse)
	answer, ok := state.ChangesSince(0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.StorePosition, qt.Equals, at(2, 8))
	c.Assert(keysOf(answer), qt.DeepEquals, []string{"config", "upstream/i1"})
	c.Assert(string(answer.Items[0].Value), qt.Equals, "newest")
}

// TestKeptItems guards against a daemon that stays on the content of the copy although the one that it
// follows knows newer content, and against one that gets content that the store has replaced since.
func TestKeptItems(t *testing.T) {
	live, leaving := core.HostLive, core.HostLeaving
	withValue := func(change core.RegistryChange, value string) core.RegistryChange {
		change.Value = []byte(value)
		return change
	}
	version := func(revision uint64, number core.Version) core.RegistryChange {
		return withValue(configChange(revision, number), strconv.Itoa(int(number)))
	}
	registration := func(revision uint64, id string, state core.HostState, sequence int64) core.RegistryChange {
		return withValue(record(revision, id, state, 1, sequence), id+strconv.Itoa(int(sequence)))
	}
	copied := listingOf(2, 8, version(3, 3), registration(4, "i1", live, 4), registration(5, "i2", live, 5))
	newest := map[string]core.MemberState{"i1": core.MemberLeaving}
	cases := []struct {
		name string
		// since are the changes that the store has told both daemons, or one of them, after the
		// restoration.
		since, sinceOther, sinceOwn []core.RegistryChange
		// isFull says that the daemon asks for the whole content.
		isFull  bool
		version core.Version
		members map[string]core.MemberState
	}{
		{name: "nothing is written", version: 9, members: newest},
		{name: "whole content", isFull: true, version: 9, members: newest},
		{name: "the other daemon knows more", sinceOther: []core.RegistryChange{upstreamDeleted(9, "i9")}, version: 9, members: newest},
		{
			name:    "the store has replaced all",
			since:   []core.RegistryChange{version(9, 4), registration(10, "i1", live, 4), registration(11, "i2", live, 5)},
			version: 4,
			members: map[string]core.MemberState{"i1": core.MemberAlive, "i2": core.MemberAlive},
		},
		{
			name:       "the other daemon knows that the store has replaced all",
			sinceOther: []core.RegistryChange{version(9, 4), registration(10, "i1", live, 4), registration(11, "i2", live, 5)},
			version:    4,
			members:    map[string]core.MemberState{"i1": core.MemberAlive, "i2": core.MemberAlive},
		},
		{
			name:     "only this daemon knows that the store has replaced all",
			sinceOwn: []core.RegistryChange{version(9, 4), registration(10, "i1", live, 4), registration(11, "i2", live, 5)},
			version:  4,
			members:  map[string]core.MemberState{"i1": core.MemberAlive, "i2": core.MemberAlive},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			config := follow.Config{
				DepartureHold: hold,
			}
			decode := decoderOf(append([]core.RegistryChange{
				version(20, 9),
				registration(21, "i1", leaving, 6),
				version(9, 4),
				registration(10, "i1", live, 4),
				registration(11, "i2", live, 5),
			}, copied.changes...))
			other := follow.New(config)
			other.ApplyListing(start, []core.RegistryChange{version(20, 9), registration(21, "i1", leaving, 6), registration(22, "i2", live, 7)}, at(1, 22))
			other.ApplyWatch(start, []core.RegistryChange{upstreamDeleted(23, "i2")}, at(1, 23))
			other.ApplyListing(start, copied.changes, copied.position)
			own, third := follow.New(config), follow.New(config)
			for _, state := range []*follow.State{own, third} {
				state.ApplyListing(start, copied.changes, copied.position)
			}
			tell := func(state *follow.State, changes []core.RegistryChange) {
				if len(changes) > 0 {
					state.ApplyWatch(start, changes, at(2, changes[len(changes)-1].Revision))
				}
			}
			for _, state := range []*follow.State{other, own, third} {
				tell(state, tc.since)
			}
			tell(other, tc.sinceOther)
			tell(own, tc.sinceOwn)
			// The third daemon follows the one that follows the other.
			followState(c, own, other, tc.isFull, decode)
			followState(c, third, own, tc.isFull, decode)
			for _, state := range []*follow.State{own, third} {
				view := state.View()
				c.Check(view.Snapshot.Version, qt.Equals, tc.version)
				found := map[string]core.MemberState{}
				for _, member := range view.Members["netbook"] {
					found[member.Host.Instance] = member.State
				}
				c.Check(found, qt.DeepEquals, tc.members)
				if _, isUsed := tc.members["i2"]; !isUsed {
					state.Expire(start.Add(hold))
					c.Check(state.View().Members["netbook"], qt.HasLen, 2)
				}
			}
		})
	}
}

// TestLateAnswerIsNotKept guards against changes of a late answer that count as kept from before a
// restoration because they are known by now; all daemons would send them once more.
func TestLateAnswerIsNotKept(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{})
	state.ApplyListing(start, []core.RegistryChange{configChange(3, 1)}, at(1, 3))
	late := []core.RegistryChange{configChange(4, 2), upstreamChange(5, "i1", core.HostLive)}
	state.ApplyAnswer(start, late, 3, at(1, 5))
	state.ApplyAnswer(start, late, 3, at(1, 5))
	c.Assert(state.View().Snapshot.Version, qt.Equals, core.Version(2))
	c.Assert(state.KeptChanges(), qt.Equals, uint64(0))
	c.Assert(state.KeptItems(), qt.HasLen, 0)
}

// decoderOf returns a decoder of items that knows the values of changes.
func decoderOf(changes []core.RegistryChange) func(core.RegistryItem) core.RegistryChange {
	return func(item core.RegistryItem) core.RegistryChange {
		decoded := core.RegistryChange{}
		for _, change := range changes {
			if !item.IsDelete && change.Key == item.Key && string(change.Value) == string(item.Value) {
				decoded = change
			}
		}
		decoded.RegistryItem = item
		return decoded
	}
}

// followState applies to a state what another one knows.
func followState(c *qt.C, state, other *follow.State, isFull bool, decode func(core.RegistryItem) core.RegistryChange) {
	after := state.Position().Revision
	if isFull {
		after = 0
	}
	answer, ok := other.ChangesSince(after)
	c.Assert(ok, qt.IsTrue)
	var changes []core.RegistryChange
	for _, item := range append(answer.Items, other.KeptItems()...) {
		changes = append(changes, decode(item))
	}
	if isFull {
		state.ApplyListing(start, changes, answer.StorePosition)
		return
	}
	state.ApplyAnswer(start, changes, after, answer.StorePosition)
}
