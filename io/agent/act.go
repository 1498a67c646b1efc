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

// act carries out one action of the spread decisions.
func (a *Agent) act(now time.Time, action spread.Action) {
	switch act := action.(type) {
	case spread.SendExchange:
		a.sendExchange(now, act)
	case spread.SendPush:
		a.sendPush(now, act)
	case spread.SendPull:
		a.sendPull(now, act)
	case spread.SendHosts:
		a.sendHosts(now, act)
	case spread.ReadCheckpoint:
		a.readCheckpoint(now, act)
	case spread.WatchNotes:
		a.watchNotes(now, act)
	case spread.WatchHosts:
		a.watchHosts(now, act)
	case spread.UpdateHosts:
		a.dirty = true
		a.tracker.HandleHosts(now, act.List)
	case spread.Report:
		a.record(act.Kind, act.Version, act.Subject, act.Detail)
	}
}

// job calls out in a goroutine of its own and passes the resulting function to the loop.
// If all slots are taken, the function gets an error at once instead.
func (a *Agent) job(now time.Time, slots chan struct{}, timeout time.Duration, run func(ctx context.Context) error, done func(now time.Time, err error)) {
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

// peerJob makes one call to a peer.
func (a *Agent) peerJob(now time.Time, timeout time.Duration, run func(ctx context.Context) error, done func(now time.Time, err error)) {
	a.job(now, a.peerSlots, timeout, run, done)
}

// askPeer sends one message to a peer and passes the answer to the loop.
func askPeer[Message, Answer any](
	a *Agent,
	now time.Time,
	timeout time.Duration,
	to core.Host,
	message Message,
	send func(context.Context, string, Message) (Answer, error),
	done func(now time.Time, answer Answer, err error),
) {
	var answer Answer
	a.peerJob(now, timeout, func(ctx context.Context) (err error) {
		answer, err = send(ctx, to.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		done(now, answer, err)
	})
}

func (a *Agent) sendExchange(now time.Time, act spread.SendExchange) {
	message := core.ExchangeMessage{Digest: a.digest(now)}
	if act.Purpose == spread.PurposeStart {
		message.Events = a.tracker.RecentEvents(startEvents)
	}
	askPeer(a, now, a.timings.ExchangeTimeout, act.To, message, a.config.Peers.Exchange, func(now time.Time, answer core.ExchangeMessage, err error) {
		a.takeAnswer(now, answer, err)
		a.input(now, spread.ExchangeResult{
			Request: act,
			Digest:  answer.Digest,
			Err:     err,
		})
	})
}

// takeAnswer passes the events of an answer to the membership.
func (a *Agent) takeAnswer(now time.Time, answer core.ExchangeMessage, err error) {
	if err != nil {
		return
	}
	a.seeTimestamp(answer.Digest)
	a.carryOut(now, a.tracker.HandleExchange(now, core.ExchangeMessage{
		Digest: answer.Digest,
		Events: answer.Events,
	}))
	a.syncMembers(now)
}

func (a *Agent) sendPush(now time.Time, act spread.SendPush) {
	message := core.PushMessage{
		Digest:  a.digest(now),
		Slices:  act.Slices,
		Subtree: act.Subtree,
	}
	askPeer(a, now, a.timings.PushTimeout, act.To, message, a.config.Peers.Push, func(now time.Time, digest core.Digest, err error) {
		a.input(now, spread.PushResult{
			Request: act,
			Digest:  digest,
			Err:     err,
		})
	})
}

func (a *Agent) sendPull(now time.Time, act spread.SendPull) {
	request := core.PullRequest{
		Digest: a.digest(now),
		After:  act.After,
	}
	var answer core.PullAnswer
	var snapshot *core.Snapshot
	a.peerJob(now, a.timings.PullTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Pull(ctx, act.To.PeerAddress, request)
		if err == nil && len(answer.Snapshot) > 0 {
			snapshot, err = snap.Decode(answer.Snapshot)
		}
		return err
	}, func(now time.Time, err error) {
		a.input(now, spread.PullResult{
			Request:  act,
			Digest:   answer.Digest,
			Slices:   answer.Slices,
			Snapshot: snapshot,
			Err:      err,
		})
	})
}

func (a *Agent) sendHosts(now time.Time, act spread.SendHosts) {
	request := core.HostsRequest{
		Digest: a.digest(now),
		After:  act.After,
	}
	askPeer(a, now, a.timings.ExchangeTimeout, act.To, request, a.config.Peers.Hosts, func(now time.Time, answer core.HostsAnswer, err error) {
		a.input(now, spread.HostsResult{
			Request: act,
			Answer:  answer,
			Err:     err,
		})
	})
}

func (a *Agent) readCheckpoint(now time.Time, act spread.ReadCheckpoint) {
	result := spread.CheckpointResult{Epoch: act.Epoch}
	a.job(now, a.storeSlots, a.timings.StoreTimeout, func(ctx context.Context) (err error) {
		result.Value, result.Found, err = a.config.Store.Value(ctx, note.CheckpointKey)
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.input(now, result)
	})
}

func (a *Agent) watchNotes(now time.Time, act spread.WatchNotes) {
	result := spread.NotesResult{Request: act}
	timeout := act.Delay + act.Wait + a.timings.StoreTimeout
	a.job(now, a.storeSlots, timeout, func(ctx context.Context) (err error) {
		if err = sleep(ctx, act.Delay); err != nil {
			return err
		}
		result.Started = a.config.Clock.Now()
		result.Values, err = a.config.Store.Watch(ctx, note.Key(act.After), act.Wait)
		if err == nil && act.Verify {
			result.Newest, result.NewestFound, err = a.config.Store.Value(ctx, note.Key(act.After))
		}
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.input(now, result)
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

func (a *Agent) watchHosts(now time.Time, act spread.WatchHosts) {
	result := spread.StoreHostsResult{Request: act}
	a.job(now, a.storeSlots, act.Wait+a.timings.StoreTimeout, func(ctx context.Context) (err error) {
		result.List, result.Changed, err = a.config.Store.Hosts(ctx, act.After, act.Wait)
		return err
	}, func(now time.Time, err error) {
		result.Err = err
		a.input(now, result)
	})
}

// observe passes on a version that came with a request.
func (a *Agent) observe(now time.Time, host core.HostName, version core.Version) {
	a.input(now, spread.VersionObserved{
		Host:    host,
		Version: version,
	})
}

// carryOut carries out the actions of the membership.
func (a *Agent) carryOut(now time.Time, actions []member.Action) {
	for _, action := range actions {
		switch act := action.(type) {
		case member.SendProbe:
			a.sendProbe(now, act)
		case member.SendIndirectProbe:
			a.sendIndirect(now, act)
		case member.SendGossip:
			a.sendGossip(now, act, nil)
		case member.StateChanged:
			a.memberChanged(act.Member)
		}
	}
}

func (a *Agent) memberChanged(m core.Member) {
	a.dirty = true
	// The members that a starting daemon learns of are no changes of theirs.
	if a.machine.Refusal() != core.Starting {
		a.record(core.EventMemberChanged, 0, string(m.Host.Name), stateNames[m.State])
	}
}

var stateNames = map[core.MemberState]string{
	core.MemberAlive:   "alive",
	core.MemberLeaving: "leaving",
	core.MemberSuspect: "suspect",
	core.MemberDead:    "dead",
	core.MemberLeft:    "left",
}

func (a *Agent) sendProbe(now time.Time, act member.SendProbe) {
	message := core.ExchangeMessage{
		Digest: a.digest(now),
		Events: act.Events,
		Probe:  true,
	}
	var answer core.ExchangeMessage
	a.job(now, a.probeSlots, a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Exchange(ctx, act.Target.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		a.carryOut(now, a.tracker.HandleProbeResult(now, member.ProbeResult{
			Target:  act.Target.Name,
			Reached: err == nil,
			Digest:  answer.Digest,
			Events:  answer.Events,
		}))
		if err == nil {
			a.seeTimestamp(answer.Digest)
			a.input(now, spread.DigestReceived{Digest: answer.Digest})
		}
	})
}

func (a *Agent) sendIndirect(now time.Time, act member.SendIndirectProbe) {
	request := core.ProbeForRequest{
		Digest: a.digest(now),
		Target: act.Target,
	}
	var answer core.ProbeForAnswer
	a.job(now, a.probeSlots, 2*a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.ProbeFor(ctx, act.Via.PeerAddress, request)
		return err
	}, func(now time.Time, err error) {
		a.carryOut(now, a.tracker.HandleProbeResult(now, member.ProbeResult{
			Target:     act.Target.Name,
			Via:        act.Via.Name,
			ViaReached: err == nil,
			Reached:    answer.Reached,
			Digest:     answer.TargetDigest,
		}))
	})
}

// sendGossip passes events on. after is called once the message was sent or failed.
func (a *Agent) sendGossip(now time.Time, act member.SendGossip, after func()) {
	message := core.ExchangeMessage{
		Digest: a.digest(now),
		Events: act.Events,
	}
	var answer core.ExchangeMessage
	a.peerJob(now, a.timings.ExchangeTimeout, func(ctx context.Context) (err error) {
		answer, err = a.config.Peers.Exchange(ctx, act.To.PeerAddress, message)
		return err
	}, func(now time.Time, err error) {
		a.takeAnswer(now, answer, err)
		if err == nil {
			a.input(now, spread.DigestReceived{Digest: answer.Digest})
		}
		if after != nil {
			after()
		}
	})
}

// announceLeft tells some members of the end of the process and then closes done.
func (a *Agent) announceLeft(now time.Time, done chan struct{}) {
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
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
				end()
			}
		})
	}
	if pending == 0 {
		end()
		return
	}
	timer := time.AfterFunc(a.timings.LeaveTimeout, end)
	a.jobs.Go(func() {
		<-done
		timer.Stop()
	})
}
