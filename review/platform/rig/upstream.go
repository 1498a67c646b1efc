package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// upstreamConfig configures an upstream.
type upstreamConfig struct {
	service string
	zone    string
	address string
	slots   int
	// work is how long a request runs.
	work func(path string) time.Duration
	// admitsPerTenth is the upstream's own limit of requests in a tenth of a second; it answers 429
	// with Not-Executed to others. 0 means no limit.
	admitsPerTenth int
	// coldTime is how long the upstream is cold after its start.
	coldTime time.Duration
	// crashAt is the number of requests in a second at which a cold upstream crashes, 0 for none.
	crashAt int
	// id is the id of an upstream that starts again, empty for a new one.
	id   string
	seed uint64
}

// upstream is a stand-in for an application upstream. It serves one request at a time on a connection.
type upstream struct {
	config upstreamConfig
	fleet  *fleet
	id     string
	born   int64
	// startedAt is the start on the steady clock.
	startedAt time.Time
	listener  net.Listener
	slots     chan struct{}
	// done is closed when the upstream stops its heartbeats.
	done chan struct{}
	// lateCopies is the share of answers, in thousandths, of which the upstream sends a second copy
	// late, where the next answer on the connection is expected.
	lateCopies atomic.Int64
	copies     atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	sequence int
	tenth    int64
	admitted int
	conns    map[net.Conn]bool
	// coldArrivals are the times at which requests arrived during the cold start.
	coldArrivals []time.Time
	closed       sync.Once
	ended        sync.Once
}

var upstreamCount atomic.Int64

func startUpstream(f *fleet, config upstreamConfig) (*upstream, error) {
	listener, err := listen(config.address)
	if err != nil {
		return nil, err
	}
	number := upstreamCount.Add(1)
	u := &upstream{
		config:   config,
		fleet:    f,
		id:       fmt.Sprintf("i-%08x", 0x7f3a0000+number),
		born:     time.Now().UnixMilli(),
		listener: listener,
		slots:    make(chan struct{}, config.slots),
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(config.seed, uint64(number))),
		conns:    map[net.Conn]bool{},

		startedAt: time.Now(),
	}
	if config.id != "" {
		u.id = config.id
	}
	u.register("ready")
	go u.beat()
	go u.accept()
	return u, nil
}

// entry returns the next entry of the upstream.
func (u *upstream) entry(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	coldLeft := max(u.config.coldTime-time.Since(u.startedAt), 0)
	text, _ := json.Marshal(map[string]any{ // plain values
		"service": u.config.service, "address": u.config.address, "zone": u.config.zone, "version": "v1", "slots": u.config.slots,
		"state": state, "warmup_left_s": coldLeft.Seconds(), "sequence": u.sequence, "born": u.born,
	})
	return text
}

func (u *upstream) register(state string) {
	u.fleet.store.put("servers/"+u.id, u.entry(state))
}

// beat registers the upstream again and again until it ends or leaves.
func (u *upstream) beat() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			u.register("ready")
		case <-u.done:
			return
		}
	}
}

func (u *upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go func() {
			u.serve(conn)
			_ = conn.Close()
			u.mu.Lock()
			delete(u.conns, conn)
			u.mu.Unlock()
		}()
	}
}

// stopBeats ends the heartbeats of an upstream that leaves or ends.
func (u *upstream) stopBeats() {
	u.closed.Do(func() { close(u.done) })
}

func (u *upstream) close() {
	u.stopBeats()
	u.ended.Do(func() {
		_ = u.listener.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		for conn := range u.conns {
			_ = conn.Close()
		}
	})
}

// serve answers the requests of a connection one after the other.
func (u *upstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	// late is a second copy of the last answer, not sent yet.
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get("Expect") != "" {
			if _, err = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			u.copies.Add(1)
			u.fleet.record.add("upstream %s sends the second copy of its last answer where that to %s is due", u.id, request.Header.Get("Request-Id"))
			if _, err = conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := u.answer(request, body)
		if _, err = conn.Write(answer); err != nil {
			return
		}
		if u.draw() < u.lateCopies.Load() {
			late = bytes.Clone(answer)
		}
	}
}

// draw returns a number below 1000.
func (u *upstream) draw() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Int64N(1000)
}

// admit tells whether the limit of the upstream's own allows another request.
func (u *upstream) admit() bool {
	if u.config.admitsPerTenth == 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if tenth := time.Now().UnixMilli() / 100; tenth != u.tenth {
		u.tenth, u.admitted = tenth, 0
	}
	u.admitted++
	return u.admitted <= u.config.admitsPerTenth
}

func (u *upstream) recordArrival() {
	now := time.Now()
	if now.Sub(u.startedAt) >= u.config.coldTime {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldArrivals = append(u.coldArrivals, now)
	recent := 0
	for _, at := range u.coldArrivals {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if u.config.crashAt > 0 && recent == u.config.crashAt {
		u.fleet.record.add("upstream %s crashes", u.id)
		go u.close()
	}
}

// mostColdArrivals returns the highest number of requests that arrived within a second of the cold start,
// and when that second began, from the start of the upstream.
func (u *upstream) mostColdArrivals() (most int, began time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, first := range u.coldArrivals {
		count := 0
		for _, at := range u.coldArrivals[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		if count > most {
			most, began = count, first.Sub(u.startedAt)
		}
	}
	return most, began
}

func (u *upstream) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("Request-Id")
	header := http.Header{
		"Request-Id": {id},
	}
	if request.URL.Path == "/health" {
		header.Set("Instance-Id", u.id)
		return answerText(http.StatusOK, header, "")
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		header.Set("Instance-Id", u.id)
		return answerText(http.StatusMisdirectedRequest, header, "")
	}
	header.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(u.slots), u.config.slots))
	if !u.admit() {
		u.fleet.record.add("upstream %s does not run %s: 429 Not-Executed", u.id, id)
		header.Set("Not-Executed", "1")
		return answerText(http.StatusTooManyRequests, header, "")
	}
	u.recordArrival()
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	u.fleet.runs.begin(execution{
		id:      id,
		at:      time.Now(),
		service: u.config.service,
		by:      u.id,
		method:  request.Method,
		path:    request.URL.Path,
		bytes:   len(body),
	})
	time.Sleep(u.config.work(request.URL.Path))
	u.fleet.record.add("upstream %s has run %s", u.id, id)
	header.Set("Response-Signature", "sig."+u.id+"."+id)
	return answerText(http.StatusOK, header, answerBody(id))
}

func answerBody(id string) string {
	return "answer to " + id
}

// answerText returns an answer as it is sent.
func answerText(status int, header http.Header, body string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&text) // a buffer takes all
	text.WriteString("\r\n" + body)
	return text.Bytes()
}

// execution is one execution of a request.
type execution struct {
	id      string
	at      time.Time
	service string
	by      string
	method  string
	path    string
	bytes   int
}

// runs holds what the upstreams have run.
type runs struct {
	record *record
	mu     sync.Mutex
	byID   map[string][]execution
}

func newRuns(record *record) *runs {
	return &runs{
		record: record,
		byID:   map[string][]execution{},
	}
}

func (r *runs) begin(one execution) {
	r.record.add("upstream %s of %s runs %s: %s %s", one.by, one.service, one.id, one.method, one.path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[one.id] = append(r.byID[one.id], one)
}

func (r *runs) of(id string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
