package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a cold start: the settings and the configuration give the bound on requests in a second.
const (
	warmupPerS    = 31
	warmupS       = 3
	warmupOverage = 1.5
	warmupSlack   = 5
	coldBound     = warmupPerS*warmupOverage + warmupSlack
	coldWork      = 120 * time.Millisecond
	warmWork      = 60 * time.Millisecond
	coldSlots     = 12
	orderDeadline = 2 * time.Second
	heartbeat     = 1500 * time.Millisecond
	// crashFactor is how many times the tolerated rate makes a cold upstream crash; it is above the bound.
	crashFactor = 2
	// restartDelay is the time from the end of a daemon to its next start.
	restartDelay = 200 * time.Millisecond
)

// newColdMesh starts hosts of one service.
func newColdMesh(rec *record, hosts int) (*mesh, []*upstream, error) {
	var places []place
	for range hosts {
		places = append(places, place{zone: "centro-a", service: "portal"})
	}
	m, err := newMesh(meshConfig{
		places:  places,
		regions: map[string]string{"centro-a": "centro"},
		graceS:  6,
	}, rec)
	if err != nil {
		return nil, nil, err
	}
	m.publish(7, []rule{{prefix: "/ordem/", kind: "non_idempotent", service: "portal", aimS: 0.3, timeS: 1, tries: 2, rank: 1}},
		[]map[string]any{cluster("portal", warmupS, warmupPerS)})
	var upstreams []*upstream
	for _, h := range m.hosts {
		var u *upstream
		u, err = newUpstream(h, upstreamConfig{
			slots:     coldSlots,
			crashPerS: crashFactor * warmupPerS,
			work: func(*http.Request) time.Duration {
				u.mu.Lock()
				defer u.mu.Unlock()
				if time.Now().Before(u.coldUntil) {
					return coldWork
				}
				return warmWork
			},
		})
		if err != nil {
			m.close()
			return nil, nil, err
		}
		upstreams = append(upstreams, u)
	}
	return m, upstreams, nil
}

// drive sends requests at a rate to a host until stop is closed, each on one of some kept connections.
func drive(rec *record, h *host, perSecond int, stop <-chan struct{}) *sync.WaitGroup {
	const callers = 40
	idle := make(chan *caller, callers)
	for range callers {
		idle <- newCaller(h)
	}
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			select {
			case c := <-idle:
				group.Go(func() {
					r := c.send(context.Background(), http.MethodPost, "/ordem/7", strings.NewReader("order"), 5, orderDeadline)
					rec.at(r.endedAt, "host %d: %v", h.index, r)
					idle <- c
				})
			default:
			}
		}
	})
	return &group
}

// worstSecond returns the most requests that a cold upstream got within one second, and when that began.
func worstSecond(arrivals []arrival) (most int, from time.Time) {
	var cold []time.Time
	for _, a := range arrivals {
		if a.isCold {
			cold = append(cold, a.at)
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].Before(cold[j]) })
	first := 0
	for last := range cold {
		for cold[last].Sub(cold[first]) >= time.Second {
			first++
		}
		if last-first+1 > most {
			most, from = last-first+1, cold[first]
		}
	}
	return most, from
}

func judgeCold(rec *record, upstreams []*upstream) bool {
	isBroken := false
	for _, u := range upstreams {
		arrivals := u.taken()
		for _, a := range arrivals {
			rec.at(a.at, "upstream of host %d got %s, cold %v", u.host.index, a.id, a.isCold)
		}
		most, from := worstSecond(arrivals)
		rec.add("upstream of host %d: at most %d requests in one second while cold, from %.3f; the bound is %.1f",
			u.host.index, most, from.Sub(rec.start).Seconds(), coldBound)
		fmt.Printf("host %d: %d in one second, bound %.1f\n", u.host.index, most, coldBound)
		isBroken = isBroken || float64(most) > coldBound
	}
	return isBroken
}

// awaitFullSecond waits until the cold upstreams have got most of what they may get in a second.
func awaitFullSecond(upstreams []*upstream) {
	for range 400 {
		time.Sleep(5 * time.Millisecond)
		recent := 0
		for _, u := range upstreams {
			for _, a := range u.taken() {
				if a.isCold && time.Since(a.at) < 600*time.Millisecond {
					recent++
				}
			}
		}
		if float64(recent) > 0.75*coldBound*float64(len(upstreams)) {
			return
		}
	}
}

// playRestart kills the daemons beside cold upstreams and starts them again.
func playRestart(rec *record, isTroubled bool) (bool, error) {
	m, upstreams, err := newColdMesh(rec, 2)
	if err != nil {
		return false, err
	}
	defer m.close()
	stop := make(chan struct{})
	for _, u := range upstreams {
		u.beat()
		go u.beatEvery(heartbeat, stop)
	}
	if err = m.startDaemons(); err != nil {
		close(stop)
		return false, err
	}
	var groups []*sync.WaitGroup
	for _, h := range m.hosts {
		groups = append(groups, drive(rec, h, 100, stop))
	}
	time.Sleep(3 * time.Second)
	for _, u := range upstreams {
		u.setCold(warmupS * time.Second)
		u.beat()
	}
	rec.add("both upstreams are cold for %d s; their entries say so", warmupS)
	time.Sleep(700 * time.Millisecond)
	if isTroubled {
		awaitFullSecond(upstreams)
		rec.add("SIGKILL to both daemons")
		for _, h := range m.hosts {
			h.kill(syscall.SIGKILL)
		}
		for _, h := range m.hosts {
			h.awaitExit(time.Second)
		}
		time.Sleep(restartDelay)
		for _, h := range m.hosts {
			if err = h.start(); err != nil {
				return false, err
			}
		}
		rec.add("both daemons are started again")
		for _, h := range m.hosts {
			rec.add("daemon of host %d ready again: %v", h.index, h.awaitReady(5*time.Second))
		}
	}
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	for _, group := range groups {
		group.Wait()
	}
	return judgeCold(rec, upstreams), nil
}

// playColdness makes an upstream cold again while the store is down. Only its health answers say so.
func playColdness(rec *record, isTroubled bool) (bool, error) {
	const (
		perSecond = 130
		outage    = 4500 * time.Millisecond
		coldAfter = time.Second
	)
	m, upstreams, err := newColdMesh(rec, 2)
	if err != nil {
		return false, err
	}
	defer m.close()
	stop := make(chan struct{})
	for _, u := range upstreams {
		u.beat()
		go u.beatEvery(heartbeat, stop)
	}
	if err = m.startDaemons(); err != nil {
		close(stop)
		return false, err
	}
	var groups []*sync.WaitGroup
	for _, h := range m.hosts {
		groups = append(groups, drive(rec, h, perSecond, stop))
	}
	time.Sleep(3 * time.Second)
	if isTroubled {
		rec.add("the store is down")
		m.store.setDown(true)
		time.AfterFunc(outage, func() {
			rec.add("the store is back")
			m.store.setDown(false)
		})
		time.Sleep(coldAfter)
		upstreams[0].setCold(warmupS * time.Second)
		rec.add("the upstream of host 0 is cold for %d s; its health answers say so", warmupS)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	for _, group := range groups {
		group.Wait()
	}
	return judgeCold(rec, upstreams), nil
}
