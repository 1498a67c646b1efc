package proxy

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/dedup"
	"verbenaway/core/retry"
	"verbenaway/core/route"
)

const (
	// maxHeaderBytes bounds the headers of a request, names and values.
	maxHeaderBytes = 64 << 10
	// serverHeaderBytes is the bound of the HTTP server, which answers without an error
	// kind. It is larger so that the entry answers in nearly all cases.
	serverHeaderBytes = 4 * maxHeaderBytes
	// headerTime bounds how long a caller takes to send the headers.
	headerTime = 10 * time.Second
	// idleTime closes connections of callers that send nothing more.
	idleTime = 2 * time.Minute
)

// EntryConfig configures an Entry. All fields but those marked optional are needed.
type EntryConfig struct {
	Config  core.ConfigView
	Members core.MemberView
	Journal core.Journal
	Clock   core.Clock
	Self    core.Host
	// LocalGate is the gatekeeper of the own host, nil if there is none.
	LocalGate http.Handler
	// Owner returns the owner of an idempotency key among the members of a service.
	// Optional: dedup.Owner.
	Owner func(key string, members []core.Member) (core.Host, bool)
	// Random returns uniform numbers from many goroutines. Optional.
	Random func() uint64
	// Dial connects to a gate address. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Sleep waits before another attempt. Optional.
	Sleep func(ctx context.Context, wait time.Duration) error
	// Dialect is that of a platform whose upstreams register themselves. Optional. With one,
	// callers of any region are carried to the home regions, idempotency keys mean nothing,
	// and refusals by gatekeepers cost no retry budget.
	Dialect core.Dialect
	// NewBudget returns the retry budget of a service, which the dialect needs.
	NewBudget func(service core.ServiceName, now time.Time) core.RetryBudget
	// Decisions takes the decisions on requests. Optional.
	Decisions core.DecisionLog
}

// Entry takes requests from callers and carries them to the gatekeeper of an upstream. It
// is an http.Handler for the caller address.
type Entry struct {
	Counters EntryCounters

	config    EntryConfig
	balancer  *route.Balancer
	transport *http.Transport
	refusals  *refusalLog
	// sender is the value of HeaderSender.
	sender []string
	view   atomic.Pointer[entryView]
	// mu guards the building of a new view.
	mu       sync.Mutex
	inFlight atomic.Int64
	draining atomic.Bool
	// leaving makes callers open no further request on their connections.
	leaving atomic.Bool
	// idle gets a value when the last request in flight ends during Drain.
	idle chan struct{}
}

// entryView is what the entry derives from one snapshot.
type entryView struct {
	table   *route.Table
	budgets map[core.RouteName]core.RetryBudget
	// services holds the budgets by service, which are used with a dialect.
	services map[core.ServiceName]core.RetryBudget
}

// NewEntry returns an entry that takes requests at once.
func NewEntry(config EntryConfig) *Entry {
	if config.Random == nil {
		config.Random = rand.Uint64
	}
	if config.Owner == nil {
		config.Owner = dedup.Owner
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	e := &Entry{
		config: config,
		balancer: route.NewBalancer(route.BalancerConfig{
			Self:   config.Self,
			Random: config.Random,
		}),
		transport: newTransport(config.Dial),
		sender:    []string{string(config.Self.Name)},
		idle:      make(chan struct{}, 1),
	}
	e.Counters.Refusals = new(expvar.Map).Init()
	e.refusals = newRefusalLog(&e.config, &e.Counters)
	return e
}

// Server returns an HTTP server for the caller address with the limits that the entry
// relies on.
func (e *Entry) Server() *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    serverHeaderBytes,
		ConnContext:       withCallerConn,
	}
}

// ServeHTTP carries one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		e.serve(w, r, false)
		return
	}
	early := conn.startHandler(r)
	defer conn.endHandler()
	if early != nil {
		if e.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		if early.join(w, r) {
			return
		}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(conn.ctx, cancel)()
	e.serve(w, r.WithContext(ctx), false)
}

// serve carries one request. An early one that may run only once is not begun, which the
// result tells.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, isEarly bool) bool {
	c := &call{
		entry:   e,
		request: r,
		began:   e.config.Clock.Now(),
	}
	c.reply.init(w)
	e.inFlight.Add(1)
	defer e.leave()
	defer c.end()
	if e.draining.Load() {
		e.Counters.Requests.Add(1)
		c.refuse(core.Leaving, "the daemon is leaving")
		return true
	}
	kind, detail := c.prepare()
	if isEarly && kind == "" && !c.idempotent {
		return false
	}
	e.Counters.Requests.Add(1)
	if kind != "" {
		c.refuse(kind, detail)
		return true
	}
	c.run()
	return true
}

// isLeaving tells whether callers are asked to use other daemons.
func (e *Entry) isLeaving() bool {
	return e.leaving.Load() || e.draining.Load()
}

// ServeClaimed carries a request whose idempotency key the gatekeeper of the own host has
// claimed, and which its upstream cannot take, to another upstream. It works while the entry
// drains, since the owner of a key stays responsible for it until it is gone.
func (e *Entry) ServeClaimed(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.leave()
	c := &call{
		entry:     e,
		request:   r,
		isClaimed: true,
		began:     e.config.Clock.Now(),
	}
	c.reply.init(w)
	defer c.end()
	if kind, detail := c.prepare(); kind != "" {
		c.refuse(kind, detail)
		return
	}
	c.run()
}

func (e *Entry) leave() {
	if e.inFlight.Add(-1) == 0 && e.draining.Load() {
		select {
		case e.idle <- struct{}{}:
		default:
		}
	}
}

// Leave asks callers to send no further request on their connections, while everything that
// arrives is still served.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// InFlight returns the number of requests inside the entry.
func (e *Entry) InFlight() int {
	return int(e.inFlight.Load())
}

// Drain refuses new work and returns when the last request in flight has ended, or the
// error of ctx if that ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	defer e.refusals.flush()
	defer e.transport.CloseIdleConnections()
	for e.inFlight.Load() > 0 {
		select {
		case <-e.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// viewOf returns the view of a snapshot. A request never gets an older view than one that
// was built for it before, since snapshots only grow.
func (e *Entry) viewOf(snapshot *core.Snapshot) *entryView {
	if view := e.view.Load(); view != nil && view.table.Snapshot() == snapshot {
		return view
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.view.Load()
	// A request that got its snapshot just before a change waits here while another one
	// builds the newer view.
	if last != nil && (last.table.Snapshot() == snapshot || snapshot.IsBefore(last.table.Snapshot())) {
		return last
	}
	view := e.newView(snapshot, last, e.config.Clock.Now())
	e.view.Store(view)
	return view
}

// newView keeps the retry budgets of routes and services that stay.
func (e *Entry) newView(snapshot *core.Snapshot, last *entryView, now time.Time) *entryView {
	view := &entryView{
		table:    route.NewTable(snapshot),
		budgets:  make(map[core.RouteName]core.RetryBudget, len(snapshot.Routes)),
		services: make(map[core.ServiceName]core.RetryBudget, len(snapshot.Services)),
	}
	if last == nil {
		last = &entryView{}
	} else {
		view.table.InheritSplits(last.table)
	}
	if e.config.NewBudget != nil {
		for name := range snapshot.Services {
			if view.services[name] = last.services[name]; view.services[name] == nil {
				view.services[name] = e.config.NewBudget(name, now)
			}
		}
		return view
	}
	for name := range snapshot.Routes {
		if view.budgets[name] = last.budgets[name]; view.budgets[name] == nil {
			view.budgets[name] = retry.NewBudget(now)
		}
	}
	return view
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
