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
	// fullViewEvery is the time after which a member that is still starting gets the whole view
	// of the members again. It is 100 bytes per member.
	fullViewEvery = 10 * time.Second
	// fullViewPeers bounds the memory of who got the view.
	fullViewPeers = 1024
	// startEvents is what others that start get.
	startEvents = 32
)

// Exchange answers with the own digest and with events that the sender may lack.
func (a *Agent) Exchange(ctx context.Context, message core.ExchangeMessage) (core.ExchangeMessage, error) {
	a.seeTimestamp(message.Digest)
	var answer core.ExchangeMessage
	err := a.call(ctx, func(now time.Time) {
		a.carryOut(now, a.tracker.HandleExchange(now, message))
		a.input(now, spread.DigestReceived{Digest: message.Digest})
		answer.Events = a.reply(now, message)
		answer.Digest = a.digest(now)
	})
	if err != nil {
		return core.ExchangeMessage{}, err
	}
	return answer, nil
}

// reply keeps a daemon that starts slowly from getting the whole view with each exchange.
func (a *Agent) reply(now time.Time, message core.ExchangeMessage) []core.MemberEvent {
	if message.Digest.Ready || message.Digest.MembersHash == a.tracker.Hash() {
		return a.tracker.Reply(now, message)
	}
	sender := message.Digest.Sender
	if last, ok := a.fullViewSent[sender]; ok && now.Sub(last) < fullViewEvery {
		return a.tracker.RecentEvents(startEvents)
	}
	if len(a.fullViewSent) >= fullViewPeers {
		clear(a.fullViewSent)
	}
	a.fullViewSent[sender] = now
	return a.tracker.Reply(now, message)
}

// Push takes slices; the error of a daemon that cannot use them yet makes the sender take
// over its children.
func (a *Agent) Push(ctx context.Context, message core.PushMessage) (core.Digest, error) {
	a.seeTimestamp(message.Digest)
	var answer core.Digest
	accepted := false
	err := a.call(ctx, func(now time.Time) {
		accepted = a.machine.AcceptsPushes()
		a.input(now, spread.PushReceived{Message: message})
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

// Pull returns what follows a version.
func (a *Agent) Pull(ctx context.Context, request core.PullRequest) (core.PullAnswer, error) {
	a.seeTimestamp(request.Digest)
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
		return core.PullAnswer{}, core.Errorf(core.PeerUnreachable, "%d snapshots are served already", encodeJobs)
	}
	answer.Snapshot, err = a.encoded.of(contents.Snapshot)
	if err != nil {
		return core.PullAnswer{}, err
	}
	return answer, nil
}

// ProbeFor probes a third daemon on behalf of another.
func (a *Agent) ProbeFor(ctx context.Context, request core.ProbeForRequest) (core.ProbeForAnswer, error) {
	var message core.ExchangeMessage
	err := a.call(ctx, func(now time.Time) {
		message.Digest = a.digest(now)
		message.Probe = true
	})
	if err != nil {
		return core.ProbeForAnswer{}, err
	}
	probe, cancel := context.WithTimeout(ctx, a.timings.ExchangeTimeout)
	defer cancel()
	reached, err := a.config.Peers.Exchange(probe, request.Target.PeerAddress, message)
	return core.ProbeForAnswer{
		Digest:       message.Digest,
		Reached:      err == nil && reached.Digest.Sender == request.Target.Name,
		TargetDigest: reached.Digest,
	}, nil
}

// Hosts returns the difference of the host list.
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

// encodedSnapshots keeps the newest encoded snapshot of each region, so that many daemons
// that start at once cost one encoding. The lock is held while encoding.
type encodedSnapshots struct {
	mutex    sync.Mutex
	byRegion map[core.Region]encodedSnapshot
}

type encodedSnapshot struct {
	hash core.Hash
	data []byte
}

func (e *encodedSnapshots) of(snapshot *core.Snapshot) ([]byte, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if kept, ok := e.byRegion[snapshot.Region]; ok && kept.hash == snapshot.Hash {
		return kept.data, nil
	}
	data, err := snap.Encode(snapshot)
	if err != nil {
		return nil, err
	}
	if e.byRegion == nil {
		e.byRegion = map[core.Region]encodedSnapshot{}
	}
	e.byRegion[snapshot.Region] = encodedSnapshot{
		hash: snapshot.Hash,
		data: data,
	}
	return data, nil
}
