package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["late-heartbeat"] = playLateHeartbeat
}

// The bound of FAILBACK with the settings and the configuration of the rig.
const (
	warmupPerSecond = 18
	warmupOverage   = 1.5
	warmupSlack     = 5
	coldTime        = 3 * time.Second
	// crashAt is well above what a cold upstream tolerates: twice the bound.
	crashAt = 2 * (warmupPerSecond*warmupOverage + warmupSlack)
)

// playLateHeartbeat restarts upstreams in turn, each under the id that it had. With the disruption, the store
// loses the answer to one heartbeat of each before it leaves, and does that write late.
func playLateHeartbeat(f *fleet, opts options) (verdict, error) {
	const (
		service        = "dele69a"
		callersPerHost = 14
		deadline       = 1200 * time.Millisecond
		calmTime       = 5 * time.Second
		// lateness is the time from the heartbeat until its write is done.
		lateness    = 3500 * time.Millisecond
		leaveAfter  = 300 * time.Millisecond
		servesOn    = 500 * time.Millisecond
		restartTime = 300 * time.Millisecond
		rounds      = 3
	)
	behavior := upstreamConfig{
		slots: 18,
		work:  func(string) time.Duration { return 50 * time.Millisecond },
		seed:  opts.Seed,
	}
	for _, zone := range []string{"chc-a", "chc-b", "gmn-a", "gmn-b"} {
		if _, err := f.addHost(zone, service, behavior); err != nil {
			return verdict{}, err
		}
	}
	f.publish(f.configuration([]routeSpec{{
		prefix: "/lepu270/", service: service, kind: "non_idempotent", timeout: deadline, target: 500 * time.Millisecond, maxAttempts: 2,
	}}, 0))
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	var sent attempts
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range f.hosts {
		for range callersPerHost {
			group.Go(func() {
				var conn *clientConn
				for {
					select {
					case <-stop:
						return
					case <-time.After(80 * time.Millisecond):
					}
					one := attempt{id: newRequestID(), method: http.MethodPost, path: "/lepu270/2f", host: h}
					conn = f.sendOnce(conn, &one, deadline, strings.Repeat("o", 400))
					sent.add(one)
				}
			})
		}
	}
	time.Sleep(calmTime)
	var restarted []*upstream
	for _, h := range f.hosts[:rounds] {
		old := h.upstream
		late := old.entry("ready")
		sentAt := time.Now()
		f.record.add("upstream %s sends a heartbeat: %s", old.id, late)
		if !opts.Trouble {
			f.store.put("servers/"+old.id, late)
		}
		time.Sleep(leaveAfter)
		old.stopBeats()
		old.register("draining")
		f.record.add("the store acknowledged that upstream %s leaves", old.id)
		time.Sleep(drainTime + servesOn)
		f.store.put("servers/"+old.id, nil)
		old.close()
		f.record.add("upstream %s ended", old.id)
		time.Sleep(restartTime)
		next := old.config
		next.coldTime = coldTime
		next.crashAt = crashAt
		next.id = old.id
		var err error
		if h.upstream, err = startUpstream(f, next); err != nil {
			return verdict{}, err
		}
		restarted = append(restarted, h.upstream)
		f.record.add("upstream %s started again, cold for %v", old.id, coldTime)
		if opts.Trouble {
			time.Sleep(time.Until(sentAt.Add(lateness)))
			f.store.put("servers/"+old.id, late)
			f.record.add("the store does the write of the heartbeat of upstream %s, %.1f s late", old.id, time.Since(sentAt).Seconds())
		}
		time.Sleep(calmTime)
	}
	close(stop)
	group.Wait()
	return judgeCold(f, &sent, restarted), nil
}

// judgeCold checks FAILBACK for upstreams.
func judgeCold(f *fleet, sent *attempts, upstreams []*upstream) verdict {
	const bound = warmupPerSecond*warmupOverage + warmupSlack
	var v verdict
	counts := map[int]int{}
	lost := 0
	for _, one := range sent.list {
		counts[one.status]++
		if len(f.runs.of(one.id)) > 0 && one.status != http.StatusOK {
			lost++
		}
	}
	var all []int
	for _, u := range upstreams {
		most, began := u.mostColdArrivals()
		all = append(all, most)
		f.record.add("cold upstream %s got at most %d requests in a second, from %.3f s after its start", u.id, most, began.Seconds())
		if float64(most) > bound {
			v.broken = append(v.broken, fmt.Sprintf("FAILBACK: %d requests reached cold upstream %s in the second from %.3f s after its start; the bound is %v",
				most, u.id, began.Seconds(), bound))
		}
	}
	v.summary = fmt.Sprintf("%d requests, answers by status %v; most requests in a second at the cold upstreams: %v; %d orders ran whose clients got no success", len(sent.list), counts, all, lost)
	return v
}
