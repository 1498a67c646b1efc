package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["config-storm"] = playConfigStorm
}

// playConfigStorm publishes large configurations. Only the last one moves a route to another service. With
// the disruption, others come in quick succession before it.
func playConfigStorm(f *fleet, opts options) (verdict, error) {
	const (
		oldService   = "dele69a"
		newService   = "gowu98c"
		deadline     = 1200 * time.Millisecond
		configBytes  = 1 << 20
		stormTime    = 5 * time.Second
		stormGap     = 160 * time.Millisecond
		calmTime     = 4 * time.Second
		observedTime = 15 * time.Second
		requestGap   = 50 * time.Millisecond
	)
	for i, zone := range []string{"chc-a", "chc-b", "gmn-a", "gmn-b"} {
		for _, service := range []string{oldService, newService} {
			_, err := f.addHost(zone, service, upstreamConfig{
				slots: 18,
				work:  func(string) time.Duration { return 20 * time.Millisecond },
				seed:  opts.Seed*100 + uint64(i),
			})
			if err != nil {
				return verdict{}, err
			}
		}
	}
	route := routeSpec{
		prefix: "/lepu270/", service: oldService, kind: "idempotent", timeout: deadline, target: 500 * time.Millisecond, maxAttempts: 2,
	}
	other := route
	other.prefix, other.service = "/tofa311/", newService
	f.publish(f.configuration([]routeSpec{route, other}, configBytes))
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	var sent attempts
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Go(func() {
			var conn *clientConn
			for {
				select {
				case <-stop:
					return
				case <-time.After(requestGap):
				}
				one := attempt{id: newRequestID(), method: http.MethodGet, path: "/lepu270/2f", host: h}
				conn = f.sendOnce(conn, &one, deadline, "")
				sent.add(one)
			}
		})
	}
	var storm [][]byte
	if opts.Trouble {
		for range stormTime / stormGap {
			storm = append(storm, f.configuration([]routeSpec{route, other}, configBytes))
		}
	}
	route.service = newService
	last := f.configuration([]routeSpec{route, other}, configBytes)
	time.Sleep(calmTime)
	ticker := time.NewTicker(stormGap)
	defer ticker.Stop()
	for _, text := range storm {
		f.publish(text)
		<-ticker.C
	}
	ackedAt := f.publish(last)
	time.Sleep(observedTime)
	close(stop)
	group.Wait()
	return judgeMove(f, &sent, ackedAt, oldService), nil
}

// judgeMove checks CONFIG for a route that the configuration acknowledged at a time moved away from a
// service.
func judgeMove(f *fleet, sent *attempts, ackedAt time.Time, oldService string) verdict {
	var v verdict
	counts := map[int]int{}
	late, total := 0, 0
	var last time.Duration
	for _, one := range sent.list {
		counts[one.status]++
		since := one.sentAt.Sub(ackedAt)
		if since <= configApplyTime {
			continue
		}
		total++
		for _, ran := range f.runs.of(one.id) {
			if ran.service == oldService {
				late++
				last = max(last, since)
				v.broken = append(v.broken, fmt.Sprintf("CONFIG: %s, sent at %s %.2f s after the acknowledgement, ran at %s of the old service",
					one.id, one.host.name, since.Seconds(), ran.by))
			}
		}
	}
	v.summary = fmt.Sprintf("%d requests, answers by status %v; of %d sent over %v after the last acknowledgement, %d ran at the old service, the last one %.2f s after it",
		len(sent.list), counts, total, configApplyTime, late, last.Seconds())
	return v
}
