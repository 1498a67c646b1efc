package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["late-copy"] = playLateCopy
}

// playLateCopy sends orders to upstreams that limit their own rate. With the disruption, some of them
// send some of their answers a second time, late.
func playLateCopy(f *fleet, opts options) (verdict, error) {
	const (
		callersPerHost = 8
		deadline       = 2 * time.Second
		copiesPermille = 30
		troubleTime    = 5 * time.Second
		pauseTime      = 4 * time.Second
		rounds         = 4
	)
	for i, zone := range []string{"chc-a", "chc-b", "gmn-a", "gmn-b"} {
		_, err := f.addHost(zone, "xano55b", upstreamConfig{
			slots:          18,
			work:           func(string) time.Duration { return 20 * time.Millisecond },
			admitsPerTenth: 25,
			seed:           opts.Seed*100 + uint64(i),
		})
		if err != nil {
			return verdict{}, err
		}
	}
	f.publish(f.configuration([]routeSpec{{
		prefix: "/xapu221/", service: "xano55b", kind: "non_idempotent", timeout: deadline, target: time.Second, maxAttempts: 2,
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
					case <-time.After(10 * time.Millisecond):
					}
					one := attempt{id: newRequestID(), method: http.MethodPost, path: "/xapu221/2f", host: h}
					conn = f.sendOnce(conn, &one, deadline, strings.Repeat("o", 400))
					sent.add(one)
					time.Sleep(one.retryAfter)
				}
			})
		}
	}
	time.Sleep(pauseTime)
	for range rounds {
		// The share of the upstreams is 0.5; the largest dose of the site file is 0.6.
		for _, h := range f.hosts[:2] {
			if opts.Trouble {
				f.record.add("upstream %s sends late copies from now on", h.upstream.id)
				h.upstream.lateCopies.Store(copiesPermille)
			}
		}
		time.Sleep(troubleTime)
		for _, h := range f.hosts {
			h.upstream.lateCopies.Store(0)
		}
		time.Sleep(pauseTime)
	}
	close(stop)
	group.Wait()
	return judgeOrders(f, &sent), nil
}

// isPromise tells whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeOrders checks TWICE, REFUSED and MIXED for requests that are not idempotent.
func judgeOrders(f *fleet, sent *attempts) verdict {
	var v verdict
	counts := map[int]int{}
	copies := int64(0)
	for _, h := range f.hosts {
		copies += h.upstream.copies.Load()
	}
	for _, one := range sent.list {
		counts[one.status]++
		ran := f.runs.of(one.id)
		if len(ran) > 1 {
			v.broken = append(v.broken, fmt.Sprintf("TWICE: %s ran %d times, at %s and %s; its client got %d", one.id, len(ran), ran[0].by, ran[1].by, one.status))
		}
		if isPromise(one.status) && len(ran) > 0 {
			v.broken = append(v.broken, fmt.Sprintf("REFUSED: the client of %s got %d, and it ran at %s", one.id, one.status, ran[0].by))
		}
		if one.status == http.StatusOK && (one.body != answerBody(one.id) || !strings.HasSuffix(one.signature, one.id)) {
			v.broken = append(v.broken, fmt.Sprintf("MIXED: the client of %s got %q with signature %q", one.id, one.body, one.signature))
		}
	}
	v.summary = fmt.Sprintf("%d requests, answers by status %v, %d late copies sent by upstreams", len(sent.list), counts, copies)
	return v
}
