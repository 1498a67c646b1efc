package follow_test

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/follow"
)

// TestLateWrites guards against an earlier record of an upstream that the store writes late: it would
// end a cold start, bring back an upstream that leaves or has left, or hide one that has started again.
func TestLateWrites(t *testing.T) {
	const live, leaving = core.HostLive, core.HostLeaving
	// write is a record of an upstream, or its deletion if there is no state.
	type write struct {
		state     core.HostState
		startedMs int64
		sequence  int64
	}
	gone := write{}
	wrote := func(state core.HostState, startedMs, sequence int64) write {
		return write{
			state:     state,
			startedMs: startedMs,
			sequence:  sequence,
		}
	}
	cases := []struct {
		name   string
		writes []write
		// want is the last record in use, zero for none.
		want write
	}{
		{
			name:   "heartbeat of the start before",
			writes: []write{wrote(live, 1000, 1), wrote(leaving, 1000, 3), wrote(live, 2000, 1), wrote(live, 1000, 2)},
			want:   wrote(live, 2000, 1),
		},
		{
			name:   "heartbeat from before it leaves",
			writes: []write{wrote(live, 1000, 1), wrote(leaving, 1000, 3), wrote(live, 1000, 2)},
			want:   wrote(leaving, 1000, 3),
		},
		{
			name:   "heartbeat of an upstream that has left",
			writes: []write{wrote(live, 1000, 1), wrote(leaving, 1000, 3), gone, wrote(live, 1000, 2)},
		},
		{
			name:   "registered again after it expired",
			writes: []write{wrote(live, 1000, 5), gone, wrote(live, 1000, 6)},
			want:   wrote(live, 1000, 6),
		},
		{
			name:   "last heartbeat of a crashed start",
			writes: []write{wrote(live, 1000, 5), wrote(live, 2000, 1), wrote(live, 1000, 6)},
			want:   wrote(live, 2000, 1),
		},
		{
			name:   "clock stepped back between the starts",
			writes: []write{wrote(live, 2000, 5), wrote(live, 1000, 1), wrote(live, 2000, 4)},
			want:   wrote(live, 1000, 1),
		},
		{
			name:   "clock stepped back, and the last heartbeat before it is late",
			writes: []write{wrote(live, 2000, 5), wrote(live, 1000, 1), wrote(live, 2000, 6), wrote(live, 1000, 2), wrote(live, 1000, 3)},
			want:   wrote(live, 1000, 3),
		},
		{
			name:   "two starts later",
			writes: []write{wrote(live, 1000, 5), wrote(live, 2000, 4), wrote(live, 3000, 1), wrote(live, 1000, 4), wrote(live, 2000, 3)},
			want:   wrote(live, 3000, 1),
		},
		{
			name:   "no time of the start",
			writes: []write{wrote(live, 0, 5), wrote(live, 0, 1)},
			want:   wrote(live, 0, 1),
		},
	}
	for _, isListed := range []bool{false, true} {
		for _, tc := range cases {
			t.Run(tc.name+map[bool]string{true: ", in a listing"}[isListed], func(t *testing.T) {
				c := qt.New(t)
				state := follow.New(follow.Config{
					RecoveryGrace: grace,
				})
				state.ApplyListing(start, []core.RegistryChange{configChange(1, 1)}, at(0, 1))
				revision := uint64(1)
				for _, w := range tc.writes {
					revision++
					change := upstreamDeleted(revision, "i1")
					if w.state != "" {
						change = record(revision, "i1", w.state, w.startedMs, w.sequence)
						change.Upstream.Host.Instance = strconv.FormatInt(w.startedMs, 10)
						change.Upstream.Slots = int(w.sequence)
					}
					changes := []core.RegistryChange{change}
					if !isListed {
						state.ApplyWatch(start, changes, at(0, revision))
						continue
					}
					if change.IsDelete {
						changes = nil
					}
					state.ApplyListing(start, append(changes, configChange(1, 1)), at(0, revision))
				}
				members := state.View().Members["netbook"]
				if tc.want.state == "" {
					c.Assert(members, qt.HasLen, 0)
					return
				}
				c.Assert(members, qt.HasLen, 1)
				c.Assert(members[0].Host.Instance, qt.Equals, strconv.FormatInt(tc.want.startedMs, 10))
				c.Assert(members[0].Host.State, qt.Equals, tc.want.state)
				c.Assert(members[0].Slots, qt.Equals, int(tc.want.sequence))
			})
		}
	}
}
