package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The routes of the case: orders, and a read below them.
const (
	orderPrefix  = "/closures/"
	statusPrefix = "/closures/status/"
)

// playEscape sends orders to upstreams that lose answers. In the paths of most orders, a slash is escaped,
// so that only the prefix of the orders begins them.
func playEscape(rec *record, isTroubled bool) (bool, error) {
	const (
		length   = 4 * time.Second
		interval = 20 * time.Millisecond
		// lostShare is one of how many answers the upstream of host 0 loses, which is one of two.
		lostShare = 3
		// plainShare is one of how many orders has a path without an escape.
		plainShare = 8
	)
	m, err := newMesh(meshConfig{
		places:  []place{{zone: "chc-a", service: "roadguard"}, {zone: "chc-a", service: "roadguard"}},
		regions: map[string]string{"chc-a": "canterbury"},
		graceS:  6,
	}, rec)
	if err != nil {
		return false, err
	}
	defer m.close()
	m.publish(7, []rule{
		{prefix: orderPrefix, kind: "non_idempotent", service: "roadguard", aimS: 0.6, timeS: 1.5, tries: 2, rank: 1},
		{prefix: statusPrefix, kind: "idempotent", service: "roadguard", aimS: 0.6, timeS: 1.5, tries: 2, rank: 1},
	}, []map[string]any{cluster("roadguard", 3, 31)})
	stop := make(chan struct{})
	defer close(stop)
	var run atomic.Int64
	var upstreams []*upstream
	for _, h := range m.hosts {
		u, upErr := newUpstream(h, upstreamConfig{
			slots: 18,
			work:  func(*http.Request) time.Duration { return 30 * time.Millisecond },
			loses: func(*http.Request) bool { return isTroubled && h.index == 0 && run.Add(1)%lostShare == 0 },
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
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]string{}
	begin := time.Now()
	for _, h := range m.hosts {
		callers.Go(func() {
			c := newCaller(h)
			defer c.close()
			for i := 1; time.Since(begin) < length; i++ {
				path := fmt.Sprintf("%sstatus%%2F%d-%d", orderPrefix, h.index, i)
				if i%plainShare == 0 {
					path = fmt.Sprintf("%s%d-%d", orderPrefix, h.index, i)
				}
				r := c.send(context.Background(), http.MethodPost, path, strings.NewReader("close the road"), 14, 1500*time.Millisecond)
				rec.at(r.endedAt, "order %s %v", path, r)
				mu.Lock()
				sent[r.id] = path
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	callers.Wait()
	runs := map[string]int{}
	for _, u := range upstreams {
		for _, a := range u.taken() {
			rec.at(a.at, "upstream of host %d got %s %s, run %v", u.host.index, a.id, a.path, a.isRun)
			if a.isRun {
				runs[a.id]++
			}
		}
	}
	twice := 0
	for id, count := range runs {
		if path := sent[id]; count > 1 && !strings.HasPrefix(path, statusPrefix) {
			twice++
			rec.add("TWICE: %s %s ran %d times; the longest prefix that begins its path is that of the orders", id, path, count)
		}
	}
	rec.add("%d of %d orders ran more than once", twice, len(sent))
	fmt.Println(twice, "of", len(sent), "orders ran more than once")
	return twice > 0, nil
}
