package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playGone has some callers leave while their uploads wait for a slot.
func playGone(rec *record, isTroubled bool) (bool, error) {
	const (
		uploads     = 90
		uploadBytes = 150000
		interval    = 60 * time.Millisecond
		// One in leaveShare callers leaves, after leaveAfter.
		leaveShare = 4
		leaveAfter = 300 * time.Millisecond
		deadline   = 4 * time.Second
		slots      = 4
		work       = 600 * time.Millisecond
		// lateAfter is the time after which no request of a caller that has left reaches an upstream, and
		// fewLate how many may all the same.
		lateAfter = 500 * time.Millisecond
		fewLate   = 3
	)
	m, err := newMesh(meshConfig{
		places:  []place{{zone: "centro-a", service: "acervo"}},
		regions: map[string]string{"centro-a": "centro"},
		graceS:  6,
	}, rec)
	if err != nil {
		return false, err
	}
	defer m.close()
	m.publish(7, []rule{{prefix: "/fotos/", kind: "upload", service: "acervo", aimS: 2, timeS: 4, tries: 1, rank: 1}},
		[]map[string]any{cluster("acervo", 3, 31)})
	stop := make(chan struct{})
	defer close(stop)
	u, err := newUpstream(m.hosts[0], upstreamConfig{
		slots: slots,
		work:  func(*http.Request) time.Duration { return work },
	})
	if err != nil {
		return false, err
	}
	u.beat()
	go u.beatEvery(1500*time.Millisecond, stop)
	if err = m.startDaemons(); err != nil {
		return false, err
	}
	body := bytes.Repeat([]byte("x"), uploadBytes)
	c := newCaller(m.hosts[0])
	rec.add("warm-up %v", c.send(context.Background(), http.MethodPost, "/fotos/w", bytes.NewReader(body), uploadBytes, deadline))
	c.close()
	var wait sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	for i := range uploads {
		wait.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			leaves := isTroubled && i%leaveShare == leaveShare-1
			if leaves {
				time.AfterFunc(leaveAfter, cancel)
			}
			own := newCaller(m.hosts[0])
			defer own.close()
			r := own.send(ctx, http.MethodPost, fmt.Sprintf("/fotos/%d", i), bytes.NewReader(body), uploadBytes, deadline)
			rec.at(r.endedAt, "%v", r)
			if leaves && r.status == 0 {
				mu.Lock()
				left[r.id] = r.endedAt
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	time.Sleep(time.Second)
	late, lateRuns := 0, 0
	for _, a := range u.taken() {
		note := ""
		if at, ok := left[a.id]; ok && a.at.Sub(at) > lateAfter {
			late++
			if a.isRun {
				lateRuns++
			}
			note = fmt.Sprintf("; GONE: %.3f s after its caller had left", a.at.Sub(at).Seconds())
		}
		rec.at(a.at, "upstream got %s, run %v%s", a.id, a.isRun, note)
	}
	rec.add("%d callers left; %d of their requests reached the upstream over half a second later, %d of them were run", len(left), late, lateRuns)
	fmt.Printf("%d left, %d late, %d of these run\n", len(left), late, lateRuns)
	return late > fewLate, nil
}
