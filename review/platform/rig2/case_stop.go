package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playStop stops a daemon while requests that it has accepted wait at another one for a slot.
func playStop(rec *record, isTroubled bool) (bool, error) {
	const (
		// An upstream slows down when it is nearly full.
		work     = 1000 * time.Millisecond
		fullWork = 2000 * time.Millisecond
		slots    = 2
		deadline = 12 * time.Second
		requests = 8
		// sendDelay is the time from SIGTERM to the requests: the platform takes a daemon out after two
		// misses, one question a second.
		sendDelay = 1700 * time.Millisecond
		grace     = 6 * time.Second
	)
	m, err := newMesh(meshConfig{
		places:  []place{{zone: "chc-a", service: "cliffvault"}, {zone: "chc-a", service: "cliffvault"}},
		regions: map[string]string{"chc-a": "canterbury"},
		graceS:  grace.Seconds(),
	}, rec)
	if err != nil {
		return false, err
	}
	defer m.close()
	m.publish(7, []rule{{prefix: "/history/", kind: "non_idempotent", service: "cliffvault", aimS: 5, timeS: 8, tries: 2, rank: 1}},
		[]map[string]any{cluster("cliffvault", 3, 31)})
	stop := make(chan struct{})
	defer close(stop)
	var upstreams []*upstream
	for _, h := range m.hosts {
		var u *upstream
		var upErr error
		u, upErr = newUpstream(h, upstreamConfig{
			slots: slots,
			work: func(*http.Request) time.Duration {
				u.mu.Lock()
				defer u.mu.Unlock()
				if u.running == slots {
					return fullWork
				}
				return work
			},
		})
		if upErr != nil {
			return false, upErr
		}
		u.beat()
		go u.beatEvery(1500*time.Millisecond, stop)
		upstreams = append(upstreams, u)
	}
	if err = m.startDaemons(); err != nil {
		return false, err
	}
	// Every caller has a connection from an earlier request, one after the other.
	callers := make([]*caller, requests)
	var warm sync.WaitGroup
	for i := range callers {
		callers[i] = newCaller(m.hosts[0])
		warm.Go(func() {
			rec.add("warm-up %v", callers[i].send(context.Background(), http.MethodPost, "/history/w", strings.NewReader("warm"), 4, deadline))
		})
		time.Sleep(500 * time.Millisecond)
	}
	warm.Wait()
	if isTroubled {
		rec.add("SIGTERM to the daemon of host 0")
		m.hosts[0].kill(syscall.SIGTERM)
	}
	term := time.Now()
	time.Sleep(sendDelay)
	results := make([]result, requests)
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			results[i] = callers[i].send(context.Background(), http.MethodPost, fmt.Sprintf("/history/%d", i), strings.NewReader("order"), 5, deadline)
		})
	}
	wait.Wait()
	ran := map[string]arrival{}
	for _, u := range upstreams {
		for _, a := range u.taken() {
			ran[a.id] = a
			rec.at(a.at, "upstream of host %d got %s", u.host.index, a.id)
		}
	}
	lost := 0
	for _, r := range results {
		a, isRun := ran[r.id]
		note := ""
		switch {
		case r.status != 0:
		case isRun && a.at.Before(term.Add(grace)):
			// The upstream was at work on it in the last sixth of the grace period.
			note = "; excused, its upstream was at work"
		case r.endedAt.Sub(r.sentAt) > 200*time.Millisecond:
			note = "; LOST: it was read and waited, and no upstream was at work on it"
			lost++
		}
		rec.at(r.endedAt, "%.3f s after SIGTERM: %v%s", r.endedAt.Sub(term).Seconds(), r, note)
	}
	rec.add("%d of %d requests ended without an answer though no upstream was at work on them", lost, requests)
	return lost > 0, nil
}
