package spread_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/spread"
)

// digestOf is the digest of a ready daemon at a version of a history.
func digestOf(index int, c *chain, version core.Version) core.Digest {
	host := hostAt(index)
	return core.Digest{
		Sender:           host.Name,
		AvailabilityZone: host.AvailabilityZone,
		Region:           host.Region,
		Version:          version,
		Hash:             c.fulls[version].Hash,
		ReaderAge:        100 * time.Millisecond,
		Ready:            true,
	}
}

// newMember returns a ready daemon of the region north at a version, with members 0 to 19.
func newMember(c *qt.C, history *chain, at core.Version) *harness {
	h := newHarness()
	h.handle(spread.Tick{})
	var members []core.Member
	for i := range 20 {
		members = append(members, core.Member{Host: hostAt(i)})
	}
	h.handle(spread.MembersChanged{Members: members})
	for _, index := range []int{2, 4} {
		h.handle(spread.ExchangeResult{
			Request: spread.SendExchange{
				To:      hostAt(index),
				Purpose: spread.PurposeStart,
				Sent:    h.now,
			},
			Digest: digestOf(index, history, at),
		})
	}
	pull, ok := last[spread.SendPull](h)
	c.Assert(ok, qt.IsTrue)
	h.handle(spread.PullResult{
		Request: pull,
		Digest:  digestOf(2, history, at),
		Slices:  history.regional("north", 1, at),
	})
	c.Assert(h.machine.Refusal(), qt.Equals, core.ErrorKind(""))
	h.actions, h.reports = nil, nil
	return h
}

func push(from int, c *chain, version core.Version, slices []core.Slice, subtree ...core.HostName) spread.PushReceived {
	return spread.PushReceived{Message: core.PushMessage{
		Digest:  digestOf(from, c, version),
		Slices:  slices,
		Subtree: subtree,
	}}
}

// peerFault is a sequence of messages to a member at version 3, out of a history of 6.
type peerFault struct {
	name   string
	inputs func(history, fork *chain) []spread.Input
	// version is in force afterwards, and pushes is the number of pushes sent.
	version core.Version
	refused []core.ErrorKind
	pushes  int
}

const descendant = "h06"

var peerFaults = []peerFault{
	{
		name: "good",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{push(2, history, 4, history.regional("north", 4, 4), descendant)}
		},
		version: 4,
		pushes:  1,
	},
	{
		name: "late",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{push(2, history, 2, history.regional("north", 2, 2), descendant)}
		},
		version: 3,
	},
	{
		name: "doubled",
		inputs: func(history, _ *chain) []spread.Input {
			message := push(2, history, 4, history.regional("north", 4, 4), descendant)
			return []spread.Input{message, message}
		},
		version: 4,
		pushes:  1,
	},
	{
		name: "out of order",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{
				push(2, history, 6, history.regional("north", 6, 6), descendant),
				push(2, history, 5, history.regional("north", 5, 5), descendant),
				push(2, history, 4, history.regional("north", 4, 4), descendant),
			}
		},
		version: 6,
		pushes:  3,
	},
	{
		name: "gap",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{push(2, history, 5, history.regional("north", 5, 5), descendant)}
		},
		version: 3,
	},
	{
		name: "of another region",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{push(1, history, 4, history.regional("south", 4, 4), descendant)}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerMalformed},
	},
	{
		name: "corrupted contents",
		inputs: func(history, _ *chain) []spread.Input {
			slices := history.regional("north", 4, 4)
			for i := range slices[0].Parts {
				slices[0].Parts[i].Contents = append([]byte("x"), slices[0].Parts[i].Contents...)
			}
			return []spread.Input{push(2, history, 4, slices, descendant)}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerMalformed},
	},
	{
		name: "corrupted hash",
		inputs: func(history, _ *chain) []spread.Input {
			slices := history.regional("north", 4, 4)
			slices[0].Hash[0] ^= 1
			return []spread.Input{push(2, history, 4, slices, descendant)}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerMalformed},
	},
	{
		name: "forked digest",
		inputs: func(_, fork *chain) []spread.Input {
			return []spread.Input{spread.DigestReceived{Digest: digestOf(2, fork, 3)}}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerFork},
	},
	{
		name: "forked slice of a known version",
		inputs: func(_, fork *chain) []spread.Input {
			return []spread.Input{push(2, fork, 4, fork.regional("north", 3, 3), descendant)}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerFork},
	},
	{
		name: "forked continuation",
		inputs: func(_, fork *chain) []spread.Input {
			return []spread.Input{push(2, fork, 4, fork.regional("north", 4, 4), descendant)}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerFork},
	},
	{
		name: "forked slice after a gap",
		inputs: func(history, fork *chain) []spread.Input {
			return []spread.Input{
				push(2, fork, 5, fork.regional("north", 5, 5), descendant),
				push(4, history, 4, history.regional("north", 4, 4), descendant),
			}
		},
		version: 4,
		refused: []core.ErrorKind{core.PeerFork},
		pushes:  1,
	},
	{
		name: "snapshot of another region",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{spread.PullResult{
				Request:  spread.SendPull{To: hostAt(1), After: 3},
				Digest:   digestOf(1, history, 6),
				Snapshot: history.snapshot("south", 6),
			}}
		},
		version: 3,
		refused: []core.ErrorKind{core.PeerMalformed},
	},
	{
		name: "snapshot",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{spread.PullResult{
				Request:  spread.SendPull{To: hostAt(2), After: 3},
				Digest:   digestOf(2, history, 6),
				Snapshot: history.snapshot("north", 6),
			}}
		},
		version: 6,
	},
	{
		name: "old snapshot",
		inputs: func(history, _ *chain) []spread.Input {
			return []spread.Input{spread.PullResult{
				Request:  spread.SendPull{To: hostAt(2), After: 3},
				Digest:   digestOf(2, history, 2),
				Snapshot: history.snapshot("north", 2),
			}}
		},
		version: 3,
	},
}

// TestPeerFaults guards against a message that lowers the version, puts another history or a
// corrupted slice in force, or is forwarded unchecked or twice.
func TestPeerFaults(t *testing.T) {
	for _, fault := range peerFaults {
		t.Run(fault.name, func(t *testing.T) {
			c := qt.New(t)
			history := longChain(6)
			fork := history.branch(2)
			for v := core.Version(3); v <= 5; v++ {
				fork.add(routeText(v, "", "another"))
			}
			h := newMember(c, history, 3)
			for _, input := range fault.inputs(history, fork) {
				h.handle(input)
			}
			c.Check(h.machine.Served().Version, qt.Equals, fault.version)
			c.Check(h.machine.Served().Hash, qt.Equals, history.fulls[fault.version].Hash)
			c.Check(h.refused(), qt.DeepEquals, fault.refused)
			c.Check(count[spread.SendPush](h), qt.Equals, fault.pushes)
		})
	}
}

// TestReaderForwardsPush guards against a reader that drops a push as a duplicate because it
// has the version from the store already, so that the members below it wait for the next
// digest exchange. It must still forward the version only once.
func TestReaderForwardsPush(t *testing.T) {
	c := qt.New(t)
	history := longChain(4)
	h := newReader(c, history)
	h.handle(spread.MembersChanged{Members: []core.Member{{Host: hostAt(2)}, {Host: hostAt(4)}, {Host: hostAt(8)}}})
	h.actions = nil
	for range 2 {
		h.handle(push(4, history, 4, history.regional("north", 4, 4), "h08"))
	}
	c.Assert(count[spread.SendPush](h), qt.Equals, 1)
	next, _ := last[spread.SendPush](h)
	c.Check(next.To.Name, qt.Equals, core.HostName("h08"))
}

// TestLargeNote guards against forwarding a push that names the version of a large note without
// its slices before this daemon can serve the pulls that follow, and against never forwarding it.
func TestLargeNote(t *testing.T) {
	c := qt.New(t)
	history := longChain(4)
	h := newMember(c, history, 3)
	h.handle(push(2, history, 4, nil, descendant))
	c.Check(count[spread.SendPush](h), qt.Equals, 0)
	pull, ok := last[spread.SendPull](h)
	c.Assert(ok, qt.IsTrue)
	c.Check(pull, qt.Equals, spread.SendPull{To: hostAt(2), After: 3})
	h.handle(spread.PullResult{Request: pull, Slices: history.regional("north", 4, 4)})
	next, ok := last[spread.SendPush](h)
	c.Assert(ok, qt.IsTrue)
	c.Check(next.To.Name, qt.Equals, core.HostName(descendant))
	c.Check(next.Slices, qt.HasLen, 0)
}

// TestPushIsTakenOver guards against a subtree that gets no push because its root fails.
func TestPushIsTakenOver(t *testing.T) {
	c := qt.New(t)
	history := longChain(4)
	h := newMember(c, history, 3)
	h.handle(push(2, history, 4, history.regional("north", 4, 4), "h06", "h08"))
	h.actions = nil
	h.handle(spread.PushResult{
		Request: spread.SendPush{
			To:      hostAt(6),
			Slices:  history.regional("north", 4, 4),
			Subtree: []core.HostName{"h10", "h12"},
		},
		Err: core.Errorf(core.PeerUnreachable, "no response"),
	})
	c.Assert(count[spread.SendPush](h), qt.Equals, 2)
	next, _ := last[spread.SendPush](h)
	c.Check(next.To.Name, qt.Equals, core.HostName("h12"))
	c.Check(next.Slices, qt.HasLen, 1)
}

// TestPause guards against a resumed process that serves before its version is confirmed, or
// that accepts an answer to a request from before the pause as confirmation.
func TestPause(t *testing.T) {
	c := qt.New(t)
	history := longChain(4)
	h := newMember(c, history, 3)
	before := h.now
	h.now = h.now.Add(10 * time.Second)
	h.handle(spread.Resumed{})
	c.Check(h.machine.Refusal(), qt.Equals, core.SuspectView)
	answer := func(sent time.Time, version core.Version) {
		h.handle(spread.ExchangeResult{
			Request: spread.SendExchange{
				To:   hostAt(2),
				Sent: sent,
			},
			Digest: digestOf(2, history, version),
		})
	}
	answer(before, 3)
	c.Check(h.machine.Refusal(), qt.Equals, core.SuspectView)
	answer(h.now, 4)
	c.Check(h.machine.Refusal(), qt.Equals, core.SuspectView)
	pull, ok := last[spread.SendPull](h)
	c.Assert(ok, qt.IsTrue)
	h.handle(spread.PullResult{
		Request: pull,
		Digest:  digestOf(2, history, 4),
		Slices:  history.regional("north", 4, 4),
	})
	c.Check(h.machine.Refusal(), qt.Equals, core.ErrorKind(""))
	c.Check(h.machine.Served().Version, qt.Equals, core.Version(4))
}

// TestPullAnswers guards against an answer that shows a region the parts of another, serves a
// requester with another history, or sends many slices where a snapshot is smaller.
func TestPullAnswers(t *testing.T) {
	c := qt.New(t)
	history := longChain(80)
	h := newReader(c, history)
	request := func(index int, after core.Version) core.PullRequest {
		return core.PullRequest{
			Digest: digestOf(index, history, after),
			After:  after,
		}
	}
	sameRegion := h.machine.AnswerPull(request(2, 78))
	c.Check(withChainTime(sameRegion.Slices), qt.DeepEquals, history.regional("north", 79, 80))
	otherRegion := h.machine.AnswerPull(request(1, 78))
	c.Check(withChainTime(otherRegion.Slices), qt.DeepEquals, history.regional("south", 79, 80))
	behind := h.machine.AnswerPull(request(1, 2))
	c.Check(behind.Slices, qt.HasLen, 0)
	c.Check(behind.Snapshot.Routes, qt.DeepEquals, history.snapshot("south", 80).Routes)
	c.Check(h.machine.AnswerPull(request(2, 80)), qt.DeepEquals, spread.PullContents{})
	forked := request(2, 78)
	forked.Digest.Hash[0] ^= 1
	c.Check(h.machine.AnswerPull(forked), qt.DeepEquals, spread.PullContents{})
}

// withChainTime sets the time of reception, which each reader sets itself, to that of the chain.
func withChainTime(slices []core.Slice) []core.Slice {
	for i := range slices {
		slices[i].Received = startTime
	}
	return slices
}
