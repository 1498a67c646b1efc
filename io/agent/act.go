package agent

import (
	"context"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/core/member"
	"verbenaway/core/note"
	"verbenaway/core/snap"
	"verbenaway/core/spread"
)

// executeAction executes one action of the spread machine.
func (a *Agent) executeAction(now time.Time, action spread.Action) {
	switch action := action.(type) {
	case spread.SendExchange:
		a.sendExchange(now, action)
	case spread.SendPush:
		a.sendPush(now, action)
	case spread.SendPull:
		a.sendPull(now, action)
	case spread.SendHosts:
		a.sendHosts(now, action)
	case spread.ReadCheckpoint:
		a.readCheckpoint(now, action)
	case spread.WatchNotes:
		a.watchNotes(now, action)
	case spread.WatchHosts:
		a.watchHosts(now, action)
	case spread.UpdateHosts:
		a.membersDirty = true
		a.tracker.HandleHosts(now, action.List)
	case spread.Report:
		a.record(action.Kind, action.Version, action.Subject, action.Detail)
	}
}

// startJob calls run in a new goroutine and then done on the event loop. If all slots are
// taken, it calls done with an error at once.
func (a *Agent) startJob(now time.Time, slots chan struct{}, timeout time.Duration, run func(ctx context.Context) error, done func(now time.Time, err error)) {
	select {
	case slots <- struct{}{}:
	default:
		done(now, core.Errorf(core.PeerUnreachable, "%d calls are in flight already", cap(slots)))
		return
	}
	a.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(a.ctx, timeout)
		err := run(ctx)
		cancel()
		<-slots
		a.post(func(now time.Time) { done(now, err) })
	})
}

// startPeerJob starts a job in one of the peer slots.
func (a *Agent) startPeerJob(now time.Time, timeout time.Duration, run func(ctx context.Context) error, done func(now time.Time, err error)) {
	a.startJob(now, a.peerSlots, timeout, run, done)
}

// callPeer sends one message to a peer and calls done with the answer on the event loop.
func callPeer[Message, Answer any](
	a *Agent,
	now time.Time,
	timeout time.Duration,
	to core.Host,
	message Message,
	send func(context.Context, string, Message) (Answer, error),
	done func(now time.Time, answer Answer, err error),
) {
	var answer Answer
	a.startPeerJob(now, timeout, func(ctx context.Context) (err error) {
		answer, err = send(ctx, to.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		done(now, answer, err)
	})
}

func (a *Agent) sendExchange(now time.Time, action spread.SendExchange) {
	message := core.ExchangeMessage{Digest: a.digest(now)}
	if action.Purpose == spread.PurposeStart {
		message.Events = a.tracker.RecentEvents(maxStartEvents)
	}
	callPeer(a, now, a.timings.ExchangeTimeout, action.To, message, a.config.Peers.Exchange, func(now time.Time, answer core.ExchangeMessage, err error) {
		a.handleExchangeAnswer(now, answer, err)
		a.handleInput(now, spread.ExchangeResult{
			Request: action,
			Digest:  answer.Digest,
			Err:     err,
		})
	})
}

// handleExchangeAnswer passes the events of an answer to the tracker.
func (a *Agent) handleExchangeAnswer(now time.Time, answer core.ExchangeMessage, err error) {
	if err != nil {
		return
	}
	a.observeTimestamp(answer.Digest)
	a.executeMemberActions(now, a.tracker.HandleExchange(now, core.ExchangeMessage{
		Digest: answer.Digest,
		Events: answer.Events,
	}))
	a.syncMembers(now)
}

func (a *Agent) sendPush(now time.Time, action spread.SendPush) {
	message := core.PushMessage{
		Digest:  a.digest(now),
		Slices:  action.Slices,
		Subtree: action.Subtree,
	}
	callPeer(a, now, a.timings.PushTimeout, action.To, message, a.config.Peers.Push, func(now time.Time, digest core.Digest, err error) {
		a.handleInput(now, spread.PushResult{
			Request: action,
			Digest:  digest,
			Err:     err,
		})
	})
}

func (a *Agent) sendPull(now time.Time, action spread.SendPull) {
	request := core.PullRequest{
		Digest: a.digest(now),
		After:  action.After,
	}
	var answer core.PullAnswer
	var snapshot *core.Snapshot
	a.startPeerJob(now, a.timings.PullTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Pull(ctx, action.To.PeerAddress, request)
		if err == nil && len(answer.Snapshot) > 0 {
			snapshot, err = snap.Decode(answer.Snapshot)
		}
		return err
	}, func(now time.Time, err error) {
		a.handleInput(now, spread.PullResult{
			Request:  action,
			Digest:   answer.Digest,
			Slices:   answer.Slices,
			Snapshot: snapshot,
			Err:      err,
		})
	})
}

func (a *Agent) sendHosts(now time.Time, action spread.SendHosts) {
	request := core.HostsRequest{
		Digest: a.digest(now),
		After:  action.AfterRevision,
	}
	callPeer(a, now, a.timings.ExchangeTimeout, action.To, request, a.config.Peers.Hosts, func(now time.Time, answer core.HostsAnswer, err error) {
		a.handleInput(now, spread.HostsResult{
			Request: action,
			Answer:  answer,
			Err:     err,
		})
	})
}

func (a *Agent) readCheckpoint(now time.Time, action spread.ReadCheckpoint) {
	result := spread.CheckpointResult{Epoch: action.Epoch}
	a.startJob(now, a.storeSlots, a.timings.StoreTimeout, func(ctx context.Context) (err error) {
		result.Value, result.Found, err = a.config.Store.Value(ctx, note.CheckpointKey)
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.handleInput(now, result)
	})
}

func (a *Agent) watchNotes(now time.Time, action spread.WatchNotes) {
	result := spread.NotesResult{Request: action}
	timeout := action.Delay + action.Wait + a.timings.StoreTimeout
	a.startJob(now, a.storeSlots, timeout, func(ctx context.Context) (err error) {
		if err = sleep(ctx, action.Delay); err != nil {
			return err
		}
		result.Started = a.config.Clock.Now()
		result.Values, err = a.config.Store.Watch(ctx, note.Key(action.After), action.Wait)
		if err == nil && action.Verify {
			result.Newest, result.NewestFound, err = a.config.Store.Value(ctx, note.Key(action.After))
		}
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.handleInput(now, result)
	})
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Agent) watchHosts(now time.Time, action spread.WatchHosts) {
	result := spread.StoreHostsResult{Request: action}
	a.startJob(now, a.storeSlots, action.Wait+a.timings.StoreTimeout, func(ctx context.Context) (err error) {
		result.List, result.Changed, err = a.config.Store.Hosts(ctx, action.AfterRevision, action.Wait)
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.handleInput(now, result)
	})
}

// observeVersion passes the version of a request to the spread machine.
func (a *Agent) observeVersion(now time.Time, host core.HostName, version core.Version) {
	a.handleInput(now, spread.VersionObserved{
		Host:    host,
		Version: version,
	})
}

// executeMemberActions executes the actions of the tracker.
func (a *Agent) executeMemberActions(now time.Time, actions []member.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case member.SendProbe:
			a.sendProbe(now, action)
		case member.SendIndirectProbe:
			a.sendIndirectProbe(now, action)
		case member.SendGossip:
			a.sendGossip(now, action, nil)
		case member.StateChanged:
			a.recordMemberChange(action.Member)
		}
	}
}

func (a *Agent) recordMemberChange(m core.Member) {
	a.membersDirty = true
	// The members that a starting daemon learns of have not changed their state.
	if a.machine.Refusal() != core.Starting {
		a.record(core.EventMemberChanged, 0, string(m.Host.Name), memberStateNames[m.State])
	}
}

var memberStateNames = map[core.MemberState]string{
	core.MemberAlive:   "alive",
	core.MemberLeaving: "leaving",
	core.MemberSuspect: "suspect",
	core.MemberDead:    "dead",
	core.MemberLeft:    "left",
}

func (a *Agent) sendProbe(now time.Time, action member.SendProbe) {
	message := core.ExchangeMessage{
		Digest: a.digest(now),
		Events: action.Events,
		Probe:  true,
	}
	var answer core.ExchangeMessage
	a.startJob(now, a.probeSlots, a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Exchange(ctx, action.Target.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		a.executeMemberActions(now, a.tracker.HandleProbeResult(now, member.ProbeResult{
			Target:  action.Target.Name,
			Reached: err == nil,
			Digest:  answer.Digest,
			Events:  answer.Events,
		}))
		if err == nil {
			a.observeTimestamp(answer.Digest)
			a.handleInput(now, spread.DigestReceived{Digest: answer.Digest})
		}
	})
}

func (a *Agent) sendIndirectProbe(now time.Time, action member.SendIndirectProbe) {
	request := core.ProbeForRequest{
		Digest: a.digest(now),
		Target: action.Target,
	}
	var answer core.ProbeForAnswer
	a.startJob(now, a.probeSlots, 2*a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.ProbeFor(ctx, action.Via.PeerAddress, request)
		return err
	}, func(now time.Time, err error) {
		a.executeMemberActions(now, a.tracker.HandleProbeResult(now, member.ProbeResult{
			Target:     action.Target.Name,
			Via:        action.Via.Name,
			ViaReached: err == nil,
			Reached:    answer.Reached,
			Digest:     answer.TargetDigest,
		}))
	})
}

// sendGossip sends events to a member. done, if not nil, is called after the answer or failure.
func (a *Agent) sendGossip(now time.Time, action member.SendGossip, done func()) {
	message := core.ExchangeMessage{
		Digest: a.digest(now),
		Events: action.Events,
	}
	var answer core.ExchangeMessage
	a.startPeerJob(now, a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Exchange(ctx, action.To.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		a.handleExchangeAnswer(now, answer, err)
		if err == nil {
			a.handleInput(now, spread.DigestReceived{Digest: answer.Digest})
		}
		if done != nil {
			done()
		}
	})
}

// announceLeft announces the exit to some members and closes done once all have answered or
// failed, at the latest after LeaveTimeout.
func (a *Agent) announceLeft(now time.Time, done chan struct{}) {
	var once sync.Once
	closeDone := func() { once.Do(func() { close(done) }) }
	pending := 0
	for _, action := range a.tracker.AnnounceLeft(now) {
		gossip, ok := action.(member.SendGossip)
		if !ok {
			continue
		}
		pending++
		a.sendGossip(now, gossip, func() {
			pending--
			if pending == 0 {
				closeDone()
			}
		})
	}
	if pending == 0 {
		closeDone()
		return
	}
	timer := time.AfterFunc(a.timings.LeaveTimeout, closeDone)
	a.jobs.Go(func() {
		<-done
		timer.Stop()
	})
}
