package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstreamConfig describes an upstream.
type upstreamConfig struct {
	slots int
	// work is how long a request holds a slot.
	work func(r *http.Request) time.Duration
	// loses makes the upstream lose the answer to a request that it has run. Optional.
	loses func(r *http.Request) bool
	// trailers are the names of fields that follow the body of each answer. Optional.
	trailers []string
	// crashPerS is the number of requests in a second above which a cold upstream crashes; 0 means never.
	crashPerS int
}

// arrival is a request as an upstream got it.
type arrival struct {
	at     time.Time
	id     string
	path   string
	isCold bool
	// isRun is set once the upstream has begun to work on it.
	isRun bool
}

// upstream is the server beside a daemon. It registers itself in the store.
type upstream struct {
	config upstreamConfig
	host   *host
	id     string
	born   int64
	server *http.Server
	slots  chan struct{}

	mu        sync.Mutex
	sequence  int64
	waiting   int
	running   int
	coldUntil time.Time
	arrivals  []*arrival
	// crashedAt is zero unless the upstream has crashed.
	crashedAt time.Time
}

// queueFactor is how many requests an upstream queues for each slot.
const queueFactor = 4

func newUpstream(h *host, config upstreamConfig) (*upstream, error) {
	listener, err := net.Listen("tcp", h.address(portApp))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		config: config,
		host:   h,
		id:     fmt.Sprintf("i-%d%x", h.index, time.Now().UnixNano()&0xffff),
		born:   time.Now().UnixMilli(),
		slots:  make(chan struct{}, config.slots),
	}
	u.server = &http.Server{
		Handler:     u,
		IdleTimeout: 10 * time.Second,
	}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// beat writes the upstream's entry, as it does every heartbeat. In an outage of the store, that fails.
func (u *upstream) beat() {
	if !u.host.mesh.store.isUp() {
		return
	}
	u.mu.Lock()
	u.sequence++
	entry := map[string]any{
		"service":       u.host.place.service,
		"address":       u.host.address(portApp),
		"zone":          u.host.place.zone,
		"version":       "v1",
		"slots":         u.config.slots,
		"state":         "ready",
		"warmup_left_s": max(time.Until(u.coldUntil).Seconds(), 0),
		"sequence":      u.sequence,
		"born":          u.born,
	}
	u.mu.Unlock()
	u.host.mesh.store.put("servers/"+u.id, entry)
}

// beatEvery writes the entry at each heartbeat until stop is closed.
func (u *upstream) beatEvery(interval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			u.beat()
		}
	}
}

// setCold makes the upstream cold for a time.
func (u *upstream) setCold(length time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldUntil = time.Now().Add(length)
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.config.slots)
}

// taken returns the requests that the upstream got, in the order of their arrival.
func (u *upstream) taken() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := make([]arrival, len(u.arrivals))
	for i, a := range u.arrivals {
		taken[i] = *a
	}
	return taken
}

// recordArrival records a request, and whether it makes a cold upstream crash.
func (u *upstream) recordArrival(r *http.Request) (a *arrival, isCrash bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	a = &arrival{
		at:     now,
		id:     r.Header.Get("Request-Id"),
		path:   r.RequestURI,
		isCold: now.Before(u.coldUntil),
	}
	u.arrivals = append(u.arrivals, a)
	recent := 0
	for i := len(u.arrivals) - 1; i >= 0 && now.Sub(u.arrivals[i].at) < time.Second; i-- {
		if u.arrivals[i].isCold {
			recent++
		}
	}
	isCrash = a.isCold && u.config.crashPerS > 0 && recent > u.config.crashPerS && u.crashedAt.IsZero()
	if isCrash {
		u.crashedAt = now
	}
	return a, isCrash
}

// refuse answers that the request was not run.
func (u *upstream) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", u.id)
	w.Header().Set("Server-Load", u.load())
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.mu.Lock()
		left := max(time.Until(u.coldUntil).Milliseconds(), 0)
		u.mu.Unlock()
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Server-Load", u.load())
		w.Header().Set("Warmup-Ms", strconv.FormatInt(left, 10))
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		u.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	a, isCrash := u.recordArrival(r)
	if isCrash {
		u.host.mesh.record.add("the cold upstream of host %d crashes", u.host.index)
		go func() { _ = u.server.Close() }()
	}
	u.mu.Lock()
	isFull := u.waiting >= queueFactor*u.config.slots
	if !isFull {
		u.waiting++
	}
	u.mu.Unlock()
	if isFull {
		u.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.leaveQueue()
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.leaveQueue()
		return
	}
	u.leaveQueue()
	u.mu.Lock()
	a.isRun = true
	u.mu.Unlock()
	u.addRunning(1)
	defer func() {
		u.addRunning(-1)
		<-u.slots
	}()
	select {
	case <-time.After(u.config.work(r)):
	case <-r.Context().Done():
		return
	}
	if u.config.loses != nil && u.config.loses(r) {
		panic(http.ErrAbortHandler)
	}
	u.sign(w, r)
	for _, name := range u.config.trailers {
		w.Header().Add("Trailer", name)
	}
	if len(u.config.trailers) > 0 {
		// The body goes out in chunks.
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "%s %s got %d bytes for %s\n", u.host.place.service, u.id, len(body), r.RequestURI)
	for _, name := range u.config.trailers {
		w.Header().Set(name, u.id)
	}
}

func (u *upstream) sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "3e1b."+u.id+"."+r.Header.Get("Request-Id"))
	w.Header().Set("Server-Load", u.load())
}

func (u *upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

func (u *upstream) addRunning(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += n
}
