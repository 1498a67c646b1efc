package agent

import (
	"context"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/core/snap"
	"verbenaway/core/spread"
)

const (
	// fullViewInterval is the least time between two full member views sent to the same starting
	// daemon. A view takes 100 bytes per member.
	fullViewInterval = 10 * time.Second
	// maxFullViewPeers bounds the entries of fullViewSent.
	maxFullViewPeers = 1024
	// maxStartEvents bounds the events that a starting daemon sends, and those that it gets
	// instead of the full view.
	maxStartEvents = 32
)

// Exchange answers with the digest of this daemon and with events that the sender may lack.
func (a *Agent) Exchange(ctx context.Context, message core.ExchangeMessage) (core.ExchangeMessage, error) {
	a.observeTimestamp(message.Digest)
	var answer core.ExchangeMessage
	err := a.call(ctx, func(now time.Time) {
		a.executeMemberActions(now, a.tracker.HandleExchange(now, message))
		a.handleInput(now, spread.DigestReceived{Digest: message.Digest})
		answer.Events = a.replyEvents(now, message)
		answer.Digest = a.digest(now)
	})
	if err != nil {
		return core.ExchangeMessage{}, err
	}
	return answer, nil
}

// replyEvents returns the events for an answer. It keeps a daemon that starts slowly from getting
// the full view each time.
func (a *Agent) replyEvents(now time.Time, message core.ExchangeMessage) []core.MemberEvent {
	if message.Digest.Ready || message.Digest.MembersHash == a.tracker.Hash() {
		return a.tracker.Reply(now, message)
	}
	sender := message.Digest.Sender
	if last, ok := a.fullViewSent[sender]; ok && now.Sub(last) < fullViewInterval {
		return a.tracker.RecentEvents(maxStartEvents)
	}
	if len(a.fullViewSent) >= maxFullViewPeers {
		clear(a.fullViewSent)
	}
	a.fullViewSent[sender] = now
	return a.tracker.Reply(now, message)
}

// Push accepts slices. A daemon that cannot use them yet returns an error, which makes the
// sender push to its children instead.
func (a *Agent) Push(ctx context.Context, message core.PushMessage) (core.Digest, error) {
	a.observeTimestamp(message.Digest)
	var answer core.Digest
	accepted := false
	err := a.call(ctx, func(now time.Time) {
		accepted = a.machine.AcceptsPushes()
		a.handleInput(now, spread.PushReceived{Message: message})
		answer = a.digest(now)
	})
	if err != nil {
		return core.Digest{}, err
	}
	if !accepted {
		return core.Digest{}, core.Errorf(core.PeerUnreachable, "daemon is starting and passes nothing on")
	}
	return answer, nil
}

// Pull returns the slices after a version, or a snapshot.
func (a *Agent) Pull(ctx context.Context, request core.PullRequest) (core.PullAnswer, error) {
	a.observeTimestamp(request.Digest)
	var answer core.PullAnswer
	var contents spread.PullContents
	err := a.call(ctx, func(now time.Time) {
		contents = a.machine.AnswerPull(request)
		answer.Digest = a.digest(now)
	})
	if err != nil {
		return core.PullAnswer{}, err
	}
	answer.Slices = contents.Slices
	if contents.Snapshot == nil {
		return answer, nil
	}
	select {
	case a.encodeSlots <- struct{}{}:
		defer func() { <-a.encodeSlots }()
	default:
		return core.PullAnswer{}, core.Errorf(core.PeerUnreachable, "%d snapshots are served already", maxEncodeJobs)
	}
	answer.Snapshot, err = a.snapshots.encode(contents.Snapshot)
	if err != nil {
		return core.PullAnswer{}, err
	}
	return answer, nil
}

// ProbeFor probes a third daemon on behalf of the sender.
func (a *Agent) ProbeFor(ctx context.Context, request core.ProbeForRequest) (core.ProbeForAnswer, error) {
	var message core.ExchangeMessage
	err := a.call(ctx, func(now time.Time) {
		message.Digest = a.digest(now)
		message.Probe = true
	})
	if err != nil {
		return core.ProbeForAnswer{}, err
	}
	probeCtx, cancel := context.WithTimeout(ctx, a.timings.ExchangeTimeout)
	defer cancel()
	answer, err := a.config.Peers.Exchange(probeCtx, request.Target.PeerAddress, message)
	return core.ProbeForAnswer{
		Digest:       message.Digest,
		Reached:      err == nil && answer.Digest.Sender == request.Target.Name,
		TargetDigest: answer.Digest,
	}, nil
}

// Hosts returns the changes of the host list since a revision, or the full list.
func (a *Agent) Hosts(ctx context.Context, request core.HostsRequest) (core.HostsAnswer, error) {
	var answer core.HostsAnswer
	err := a.call(ctx, func(now time.Time) {
		answer = a.machine.AnswerHosts(request.After)
		answer.Digest = a.digest(now)
	})
	if err != nil {
		return core.HostsAnswer{}, err
	}
	return answer, nil
}

// snapshotCache holds the last encoded snapshot of each region, so that it is encoded once
// when many daemons start at the same time. The lock is held while encoding.
type snapshotCache struct {
	mutex    sync.Mutex
	byRegion map[core.Region]encodedSnapshot
}

type encodedSnapshot struct {
	hash core.Hash
	data []byte
}

func (c *snapshotCache) encode(snapshot *core.Snapshot) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cached, ok := c.byRegion[snapshot.Region]; ok && cached.hash == snapshot.Hash {
		return cached.data, nil
	}
	data, err := snap.Encode(snapshot)
	if err != nil {
		return nil, err
	}
	if c.byRegion == nil {
		c.byRegion = map[core.Region]encodedSnapshot{}
	}
	c.byRegion[snapshot.Region] = encodedSnapshot{
		hash: snapshot.Hash,
		data: data,
	}
	return data, nil
}
