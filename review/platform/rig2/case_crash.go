package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// batch is what a caller sent on its connection at once.
type batch struct {
	sentAt  time.Time
	endedAt time.Time
	ids     []string
	// answered is how many of the requests got a whole answer.
	answered int
	err      error
}

// sendBatch sends lookups on a connection without waiting for the answers between them, and reads the
// answers.
func sendBatch(conn net.Conn, reader *bufio.Reader, size int) *batch {
	b := &batch{
		sentAt: time.Now(),
	}
	var text strings.Builder
	for range size {
		id := fmt.Sprintf("q%06d", lastID.Add(1))
		b.ids = append(b.ids, id)
		fmt.Fprintf(&text, "GET /lookup/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n", id, meshHost, id)
	}
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, b.err = io.WriteString(conn, text.String())
	for b.err == nil && b.answered < size {
		var response *http.Response
		if response, b.err = http.ReadResponse(reader, nil); b.err != nil {
			break
		}
		if _, b.err = io.Copy(io.Discard, response.Body); b.err == nil {
			b.answered++
		}
	}
	b.endedAt = time.Now()
	return b
}

// playCrash sends lookups to an upstream whose answers have trailers. With trouble, callers send further
// lookups before the first one has been answered. The platform starts the daemon again when it ends.
func playCrash(rec *record, isTroubled bool) (bool, error) {
	const (
		callers   = 16
		pipelined = 8
		length    = 60 * time.Second
		// enoughEnds is the number of times after which the case is over if the daemon ends by itself.
		enoughEnds = 3
		// fewLost is how many kept connections may be closed without an answer to a request that was passed
		// on to a sound upstream.
		fewLost = 3
	)
	m, err := newMesh(meshConfig{
		places:  []place{{zone: "chc-a", service: "netbook"}},
		regions: map[string]string{"chc-a": "canterbury"},
		graceS:  6,
		cores:   2,
	}, rec)
	if err != nil {
		return false, err
	}
	defer m.close()
	m.publish(7, []rule{{prefix: "/lookup/", kind: "idempotent", service: "netbook", aimS: 0.5, timeS: 1.2, tries: 2, rank: 1}},
		[]map[string]any{cluster("netbook", 3, 31)})
	stop := make(chan struct{})
	defer close(stop)
	u, err := newUpstream(m.hosts[0], upstreamConfig{
		slots:    18,
		work:     func(*http.Request) time.Duration { return 2 * time.Millisecond },
		trailers: []string{"Content-Digest", "Repr-Digest", "Server-Timing", "Row-Count", "Result-Status", "Cache-Age"},
	})
	if err != nil {
		return false, err
	}
	u.beat()
	go u.beatEvery(heartbeat, stop)
	if err = m.startDaemons(); err != nil {
		return false, err
	}
	size := 1
	if isTroubled {
		size = pipelined
	}
	end := time.Now().Add(length)
	var isOver atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	var unanswered []*batch
	answered := 0
	for range callers {
		group.Go(func() {
			for !isOver.Load() {
				for _, b := range keepSending(m.hosts[0], size, &isOver) {
					mu.Lock()
					answered += b.answered
					if b.answered < len(b.ids) {
						unanswered = append(unanswered, b)
					}
					mu.Unlock()
				}
				time.Sleep(restartDelay)
			}
		})
	}
	ends := 0
	for ends < enoughEnds && time.Now().Before(end) {
		if !m.hosts[0].awaitExit(100 * time.Millisecond) {
			continue
		}
		ends++
		rec.add("the daemon has ended by itself: %s", m.hosts[0].lastWords())
		time.Sleep(restartDelay)
		if err = m.hosts[0].start(); err != nil {
			return false, err
		}
		m.hosts[0].awaitReady(5 * time.Second)
	}
	isOver.Store(true)
	group.Wait()
	taken := map[string]time.Time{}
	for _, a := range u.taken() {
		taken[a.id] = a.at
	}
	rec.add("%d lookups were sent and answered whole, %d reached the upstream", answered, len(taken))
	lost := 0
	for _, b := range unanswered {
		isLost := false
		for _, id := range b.ids[b.answered:] {
			at, isTaken := taken[id]
			isLost = isLost || isTaken
			rec.add("%s sent at %.3f: connection ended at %.3f without its answer (%v); passed on to the upstream: %v, at %.3f",
				id, b.sentAt.Sub(rec.start).Seconds(), b.endedAt.Sub(rec.start).Seconds(), b.err, isTaken, max(at.Sub(rec.start).Seconds(), 0))
		}
		if isLost {
			lost++
		}
	}
	rec.add("the daemon ended by itself %d times; LOST: %d kept connections were closed without an answer to a request that had been passed on", ends, lost)
	fmt.Printf("%d lookups answered, %d connections lost, daemon ended by itself %d times\n", answered, lost, ends)
	return lost > fewLost, nil
}

// keepSending sends batches on one connection until that ends or the case is over.
func keepSending(h *host, size int, isOver *atomic.Bool) []*batch {
	conn, err := net.Dial("tcp", h.address(portCaller))
	if err != nil {
		return nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var batches []*batch
	for !isOver.Load() {
		b := sendBatch(conn, reader, size)
		batches = append(batches, b)
		if b.err != nil {
			break
		}
	}
	return batches
}
