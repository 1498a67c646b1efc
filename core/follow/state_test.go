package follow_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/follow"
)

var start = time.Unix(1_700_000_000, 0)

const grace = 2 * time.Second

func configChange(revision uint64, version core.Version) core.RegistryChange {
	return core.RegistryChange{
		RegistryItem: core.RegistryItem{
			Key:      "config",
			Revision: revision,
		},
		Config: &core.Snapshot{
			Version: version,
		},
	}
}

func zoneChange(revision uint64, isDelete bool) core.RegistryChange {
	change := core.RegistryChange{
		RegistryItem: core.RegistryItem{
			Key:      "zone/a",
			Revision: revision,
			IsDelete: isDelete,
		},
	}
	if !isDelete {
		change.Zone = "a"
	}
	return change
}

func upstreamChange(revision uint64, id string, state core.HostState) core.RegistryChange {
	return core.RegistryChange{
		RegistryItem: core.RegistryItem{
			Key:      "upstream/" + id,
			Revision: revision,
		},
		Upstream: &core.UpstreamRecord{
			Host: core.Host{
				Name:     core.HostName("address-" + id),
				Service:  "netbook",
				State:    state,
				Instance: id,
			},
			Slots: 18,
		},
	}
}

func upstreamDeleted(revision uint64, id string) core.RegistryChange {
	return core.RegistryChange{
		RegistryItem: core.RegistryItem{
			Key:      "upstream/" + id,
			Revision: revision,
			IsDelete: true,
		},
	}
}

// step is one input to a State, at a time after start.
type step struct {
	at     time.Duration
	list   *content
	watch  []core.RegistryChange
	down   bool
	expire bool
}

// content is the content of the store at a position.
type content struct {
	changes  []core.RegistryChange
	position core.StorePosition
}

func at(epoch, revision uint64) core.StorePosition {
	return core.StorePosition{
		Epoch:    epoch,
		Revision: revision,
	}
}

func listing(revision uint64, changes ...core.RegistryChange) *content {
	return listingOf(0, revision, changes...)
}

func listingOf(epoch, revision uint64, changes ...core.RegistryChange) *content {
	return &content{
		changes:  changes,
		position: at(epoch, revision),
	}
}

// TestState guards against a view that reverts to older content when answers of the store arrive
// out of order, and against upstreams dropped because of a store outage.
func TestState(t *testing.T) {
	cases := []struct {
		name    string
		steps   []step
		version core.Version
		out     bool
		members map[string]core.MemberState
		ready   bool
	}{
		{
			name:  "not ready before a configuration is known",
			steps: []step{{list: listing(5, upstreamChange(3, "i1", core.HostLive))}},
			members: map[string]core.MemberState{
				"i1": core.MemberAlive,
			},
		},
		{
			name: "an older listing does not revert a watch",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive))},
				{watch: []core.RegistryChange{configChange(8, 2), upstreamChange(7, "i1", core.HostLeaving), zoneChange(9, false)}},
				{list: listing(6, configChange(4, 1), upstreamChange(3, "i1", core.HostLive))},
			},
			version: 2,
			out:     true,
			ready:   true,
			members: map[string]core.MemberState{
				"i1": core.MemberLeaving,
			},
		},
		{
			name: "a key that is missing in a newer listing is deleted",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive), zoneChange(5, false))},
				{list: listing(9, configChange(4, 1))},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{},
		},
		{
			name: "a deleted key is not restored by an older listing",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive))},
				{watch: []core.RegistryChange{upstreamDeleted(7, "i1"), zoneChange(8, true)}},
				{list: listing(6, configChange(4, 1), upstreamChange(3, "i1", core.HostLive), zoneChange(6, false))},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{},
		},
		{
			name: "a registration that expired during an outage is kept for the grace period",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive), upstreamChange(4, "i2", core.HostLive))},
				{at: time.Second, down: true},
				{at: 9 * time.Second, watch: []core.RegistryChange{upstreamDeleted(7, "i1")}},
				{at: 10 * time.Second, watch: []core.RegistryChange{upstreamDeleted(8, "i2")}, expire: true},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{
				"i1": core.MemberAlive,
				"i2": core.MemberAlive,
			},
		},
		{
			name: "a registration that is not renewed within the grace period is dropped",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive), upstreamChange(4, "i2", core.HostLive))},
				{at: time.Second, down: true},
				{at: 9 * time.Second, watch: []core.RegistryChange{upstreamDeleted(7, "i1"), upstreamDeleted(8, "i2")}},
				{at: 10 * time.Second, watch: []core.RegistryChange{upstreamChange(9, "i2", core.HostLive)}},
				{at: 9*time.Second + grace, expire: true},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{
				"i2": core.MemberAlive,
			},
		},
		{
			name: "a leaving upstream is not kept when its registration expires",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLeaving))},
				{at: time.Second, down: true},
				{at: 9 * time.Second, watch: []core.RegistryChange{upstreamDeleted(7, "i1")}},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{},
		},
		{
			name: "a value that cannot be decoded names no upstream and does not affect others",
			steps: []step{
				{list: listing(5, configChange(4, 1), upstreamChange(3, "i1", core.HostLive))},
				{watch: []core.RegistryChange{
					{RegistryItem: core.RegistryItem{Key: "upstream/i9", Revision: 6}},
					{RegistryItem: core.RegistryItem{Key: "config", Revision: 7}},
				}},
			},
			version: 1,
			ready:   true,
			members: map[string]core.MemberState{
				"i1": core.MemberAlive,
			},
		},
		{
			name: "zones are taken out beside a configuration that cannot be decoded",
			steps: []step{
				{list: listing(5, configChange(4, 1))},
				{watch: []core.RegistryChange{{RegistryItem: core.RegistryItem{Key: "config", Revision: 6}}}},
				{watch: []core.RegistryChange{zoneChange(7, false)}},
			},
			version: 1,
			out:     true,
			ready:   true,
			members: map[string]core.MemberState{},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			state := follow.New(follow.Config{
				RecoveryGrace: grace,
			})
			for _, s := range tc.steps {
				apply(state, s)
			}
			c.Assert(state.IsReady(), qt.Equals, tc.ready)
			view := state.View()
			if tc.version != 0 {
				c.Assert(view.Snapshot.Version, qt.Equals, tc.version)
				c.Assert(view.Snapshot.Out["a"], qt.Equals, tc.out)
			}
			found := map[string]core.MemberState{}
			for _, member := range view.Members["netbook"] {
				found[member.Host.Instance] = member.State
			}
			c.Assert(found, qt.DeepEquals, tc.members)
		})
	}
}

func apply(state *follow.State, s step) {
	now := start.Add(s.at)
	switch {
	case s.down:
		state.MarkStoreDown()
		return
	case s.list != nil:
		state.MarkStoreUp(now)
		state.ApplyListing(now, s.list.changes, s.list.position)
	case s.watch != nil:
		state.MarkStoreUp(now)
		state.ApplyWatch(now, s.watch, at(state.Position().Epoch, s.watch[len(s.watch)-1].Revision))
	}
	if s.expire {
		state.Expire(now)
	}
}

// TestReusedAddress guards against requests to an upstream that has exited but whose registration
// still exists while an upstream of another service uses its address.
func TestReusedAddress(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{
		RecoveryGrace: grace,
	})
	old := upstreamChange(3, "i1", core.HostLive)
	old.Upstream.StartedMs = 1000
	next := upstreamChange(6, "i2", core.HostLive)
	next.Upstream.Host.Name = old.Upstream.Host.Name
	next.Upstream.Host.Service = "roadguard"
	next.Upstream.StartedMs = 2000
	state.ApplyListing(start, []core.RegistryChange{configChange(1, 1), next, old}, at(0, 6))
	view := state.View()
	c.Assert(view.Members["netbook"], qt.HasLen, 0)
	c.Assert(view.Members["roadguard"], qt.HasLen, 1)
	c.Assert(view.ByName[old.Upstream.Host.Name].Host.Instance, qt.Equals, "i2")
}

// TestUnknownServiceAtAddress guards against an entry of a service that the configuration does not name
// and that takes the address of a sound upstream. Once a version names the service, the upstream that
// started last has the address.
func TestUnknownServiceAtAddress(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{
		RecoveryGrace: grace,
	})
	sound := upstreamChange(3, "i1", core.HostLive)
	sound.Upstream.StartedMs = 1000
	foreign := upstreamChange(6, "i2", core.HostLive)
	foreign.Upstream.Host.Name = sound.Upstream.Host.Name
	foreign.Upstream.Host.Service = "nowhere"
	foreign.Upstream.StartedMs = 2000
	config := func(revision uint64, version core.Version, services ...core.ServiceName) core.RegistryChange {
		change := configChange(revision, version)
		change.Config.Services = map[core.ServiceName]core.ServiceSpec{}
		for _, name := range services {
			change.Config.Services[name] = core.ServiceSpec{
				Name: name,
			}
		}
		return change
	}
	owner := func() string { return state.View().ByName[sound.Upstream.Host.Name].Host.Instance }
	state.ApplyListing(start, []core.RegistryChange{foreign, sound, config(1, 1, "netbook")}, at(0, 6))
	c.Assert(owner(), qt.Equals, "i1")
	c.Assert(state.View().Members["netbook"], qt.HasLen, 1)
	state.ApplyWatch(start, []core.RegistryChange{config(7, 2, "netbook", "nowhere")}, at(0, 7))
	c.Assert(owner(), qt.Equals, "i2")
	state.ApplyWatch(start, []core.RegistryChange{config(8, 3, "netbook")}, at(0, 8))
	c.Assert(owner(), qt.Equals, "i1")
}

// TestColdStart guards against a cold start that is longer or shorter than the upstream
// declares, and against a snapshot that is rebuilt although nothing in it has changed.
func TestColdStart(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{
		RecoveryGrace: grace,
	})
	cold := upstreamChange(3, "i1", core.HostLive)
	cold.Upstream.ColdRemaining = 3 * time.Second
	state.ApplyListing(start, []core.RegistryChange{configChange(1, 1), cold}, at(0, 4))
	before := state.View()
	c.Assert(before.Members["netbook"][0].ColdUntil, qt.Equals, start.Add(3*time.Second))
	state.ApplyWatch(start.Add(time.Second), []core.RegistryChange{upstreamChange(5, "i1", core.HostLive)}, at(0, 5))
	after := state.View()
	c.Assert(after.Members["netbook"][0].ColdUntil.IsZero(), qt.IsTrue)
	c.Assert(after.Snapshot, qt.Equals, before.Snapshot)
}

// TestChangesSince guards against a daemon that follows another one and misses deletions, and
// against a state that keeps every deleted key forever.
func TestChangesSince(t *testing.T) {
	c := qt.New(t)
	state := follow.New(follow.Config{})
	_, ok := state.ChangesSince(0)
	c.Assert(ok, qt.IsFalse)
	state.ApplyListing(start, []core.RegistryChange{configChange(2, 1), upstreamChange(3, "i1", core.HostLive)}, at(0, 4))
	state.ApplyWatch(start, []core.RegistryChange{upstreamChange(6, "i2", core.HostLive), upstreamDeleted(7, "i1")}, at(0, 9))
	answer, ok := state.ChangesSince(5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(9))
	c.Assert(keysOf(answer), qt.DeepEquals, []string{"upstream/i2", "upstream/i1 deleted"})
	answer, ok = state.ChangesSince(0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(keysOf(answer), qt.DeepEquals, []string{"config", "upstream/i2"})
	answer, ok = state.ChangesSince(9)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Items, qt.HasLen, 0)

	revision := uint64(10)
	for i := range 5000 {
		id := strconv.Itoa(i)
		state.ApplyWatch(start, []core.RegistryChange{upstreamChange(revision, id, core.HostLive), upstreamDeleted(revision+1, id)}, at(0, revision+1))
		revision += 2
	}
	_, ok = state.ChangesSince(9)
	c.Assert(ok, qt.IsFalse)
	answer, ok = state.ChangesSince(revision - 100)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Items, qt.HasLen, 50)
	// The oldest revision that is still answered gets at most 4,096 deleted keys.
	oldest := uint64(10)
	for _, ok = state.ChangesSince(oldest); !ok; _, ok = state.ChangesSince(oldest) {
		oldest++
	}
	answer, _ = state.ChangesSince(oldest)
	c.Assert(len(answer.Items) > 2000 && len(answer.Items) <= 4096+2, qt.IsTrue, qt.Commentf("%d items", len(answer.Items)))
}

// TestChangesSinceListing guards against daemons that follow this one and keep using an upstream that
// has left: it registered after the last change that this daemon knew, and left before its listing.
func TestChangesSinceListing(t *testing.T) {
	state := follow.New(follow.Config{})
	state.ApplyListing(start, []core.RegistryChange{configChange(2, 1)}, at(0, 9))
	state.ApplyWatch(start, []core.RegistryChange{configChange(11, 2)}, at(0, 11))
	state.ApplyListing(start, []core.RegistryChange{configChange(11, 2)}, at(0, 20))
	cases := []struct {
		after uint64
		ok    bool
	}{
		{after: 0, ok: true},
		{after: 5},
		{after: 9, ok: true},
		{after: 11, ok: true},
		{after: 12},
		{after: 19},
		{after: 20, ok: true},
		{after: 21, ok: true},
	}
	for _, tc := range cases {
		_, ok := state.ChangesSince(tc.after)
		qt.Check(t, ok, qt.Equals, tc.ok, qt.Commentf("after %d", tc.after))
	}
	state.ApplyListing(start, []core.RegistryChange{configChange(11, 2)}, at(0, 30))
	for _, after := range []uint64{12, 25} {
		_, ok := state.ChangesSince(after)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("after %d", after))
	}
}

func keysOf(answer core.RegistryAnswer) []string {
	var keys []string
	for _, item := range answer.Items {
		key := item.Key
		if item.IsDelete {
			key += " deleted"
		}
		keys = append(keys, key)
	}
	return keys
}
