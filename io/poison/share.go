package poison

import (
	"context"
	"maps"
	"time"

	"verbenaway/core"
	"verbenaway/core/poison"
)

// run exchanges what is known with other daemons until the context ends.
func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-k.wake:
			if !pause(ctx, batchTime) {
				return
			}
		}
		if wait := k.shareAll(ctx); wait > 0 {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
	}
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// shareAll begins the exchanges that are due and returns when to look again, 0 if nothing is known that
// others may lack.
func (k *Keeper) shareAll(ctx context.Context) time.Duration {
	hosts := k.config.Hosts()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Clock.Now()
	if k.table.Expire(now) {
		k.changed()
	}
	isEmpty := k.table.Digest() == 0
	if isEmpty && k.isInformed {
		clear(k.peers)
		return 0
	}
	k.forgetPeers(hosts)
	targets := poison.NewRanks(k.config.Self, hosts).Targets(func(name core.HostName) bool {
		p := k.peers[name]
		return p != nil && now.Before(p.downUntil)
	})
	k.isInformed = k.isInformed || len(hosts) > 0 && len(targets) == 0
	next := tickTime
	for _, host := range targets {
		p := k.peer(host.Name)
		wait := k.dueAfter(now, p)
		if wait > 0 {
			next = min(next, wait)
			continue
		}
		p.isAsked = true
		k.exchanges.Go(func() { k.share(ctx, host) })
	}
	return next
}

// dueAfter returns the time until the next exchange with a daemon, 0 if it is due. The caller holds mu.
func (k *Keeper) dueAfter(now time.Time, p *peer) time.Duration {
	switch {
	case p.isAsked:
		// Its end wakes the loop if anything has changed.
		return tickTime
	case now.Before(p.downUntil):
		return p.downUntil.Sub(now)
	case p.sharedAt.IsZero():
		return 0
	case p.differences > 0:
		return max(differTime<<min(p.differences-1, maxDifferences)-now.Sub(p.sharedAt), 0)
	case p.sequence != k.table.Sequence():
		return 0
	}
	return max(refreshTime-now.Sub(p.sharedAt), 0)
}

// share exchanges with one daemon.
func (k *Keeper) share(ctx context.Context, host core.Host) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	k.mu.Lock()
	digest := k.table.Digest()
	lost := k.table.Since(k.config.Clock.Now(), k.peer(host.Name).sequence)
	k.mu.Unlock()
	k.Counters.Shares.Add(1)
	answer, err := k.config.Peers.Share(ctx, host.PeerAddress, core.ShareRequest{
		Sender: k.config.Self.Name,
		Digest: digest,
		Lost:   lost,
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Clock.Now()
	p := k.peer(host.Name)
	p.isAsked = false
	if err != nil {
		k.Counters.ShareFailures.Add(1)
		p.downUntil = now.Add(downTime)
		// The daemon that ranks next is asked at once.
		k.signal()
		return
	}
	k.isInformed = true
	k.merge(answer.Lost)
	p.sharedAt, p.downUntil = now, time.Time{}
	if answer.Digest == k.table.Digest() {
		p.sequence, p.differences = k.table.Sequence(), 0
	} else {
		p.sequence = 0
		p.differences++
	}
	// News may have come during the exchange.
	k.signal()
}

// forgetPeers forgets daemons that are gone. The caller holds mu.
func (k *Keeper) forgetPeers(hosts []core.Host) {
	if len(k.peers) <= 2*len(hosts)+1 {
		return
	}
	known := make(map[core.HostName]bool, len(hosts))
	for _, host := range hosts {
		known[host.Name] = true
	}
	maps.DeleteFunc(k.peers, func(name core.HostName, _ *peer) bool { return !known[name] })
}
