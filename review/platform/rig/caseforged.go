package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["unknown-service"] = playUnknownService
}

// playUnknownService adds a route to a service. With the disruption, another writer has registered the
// addresses of the upstreams of that service under ids of its own, with a service that no configuration names.
func playUnknownService(f *fleet, opts options) (verdict, error) {
	const (
		firstService = "dele69a"
		addedService = "gowu98c"
		deadline     = 1200 * time.Millisecond
		settleTime   = 6 * time.Second
		observedTime = 12 * time.Second
		requestGap   = 100 * time.Millisecond
	)
	behavior := upstreamConfig{
		slots: 18,
		work:  func(string) time.Duration { return 20 * time.Millisecond },
		seed:  opts.Seed,
	}
	for _, zone := range []string{"chc-a", "chc-b", "gmn-a", "gmn-b"} {
		for _, service := range []string{firstService, addedService} {
			if _, err := f.addHost(zone, service, behavior); err != nil {
				return verdict{}, err
			}
		}
	}
	first := routeSpec{
		prefix: "/lepu270/", service: firstService, kind: "idempotent", timeout: deadline, target: 500 * time.Millisecond, maxAttempts: 2,
	}
	f.publish(f.configuration([]routeSpec{first}, 0))
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	if opts.Trouble {
		f.registerUnknown(addedService, "gowu98d")
	}
	added := first
	added.prefix, added.service = "/tofa311/", addedService
	f.publish(f.configuration([]routeSpec{first, added}, 0))
	time.Sleep(settleTime)
	var sent attempts
	var group sync.WaitGroup
	began := time.Now()
	for _, h := range f.hosts {
		for _, path := range []string{"/lepu270/2f", "/tofa311/2f"} {
			group.Go(func() {
				var conn *clientConn
				for time.Since(began) < observedTime {
					one := attempt{id: newRequestID(), method: http.MethodGet, path: path, host: h}
					conn = f.sendOnce(conn, &one, deadline, "")
					sent.add(one)
					time.Sleep(max(requestGap, one.retryAfter))
				}
			})
		}
	}
	group.Wait()
	return judgeAdded(&sent, first.prefix, added.prefix), nil
}

// registerUnknown copies the entries of the upstreams of a service to ids of another writer, with another
// service and a later start.
func (f *fleet) registerUnknown(service, unknown string) {
	for i, h := range f.hosts {
		if h.service != service {
			continue
		}
		text, _ := json.Marshal(map[string]any{ // plain values
			"service": unknown, "address": h.upstream.config.address, "zone": h.zone, "version": "v1", "slots": h.upstream.config.slots,
			"state": "ready", "warmup_left_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		key := fmt.Sprintf("servers/i-%08x", 0x60000000+i)
		f.store.put(key, text)
		f.record.add("another writer puts %s: %s", key, text)
	}
}

// judgeAdded checks CONFIG: routes that were added later are served at least a quarter as often as the first.
func judgeAdded(sent *attempts, first, added string) verdict {
	var v verdict
	total, served := map[string]int{}, map[string]int{}
	counts := map[int]int{}
	for _, one := range sent.list {
		counts[one.status]++
		prefix := first
		if strings.HasPrefix(one.path, added) {
			prefix = added
		}
		total[prefix]++
		if one.status == http.StatusOK && one.signature != "" {
			served[prefix]++
		}
	}
	v.summary = fmt.Sprintf("answers by status %v; served %d of %d on the first route, %d of %d on the added one",
		counts, served[first], total[first], served[added], total[added])
	shareOfFirst := float64(served[first]) / float64(max(total[first], 1))
	shareOfAdded := float64(served[added]) / float64(max(total[added], 1))
	if total[added] >= 20 && shareOfAdded < shareOfFirst/4 {
		v.broken = append(v.broken, "CONFIG: "+v.summary)
	}
	return v
}
