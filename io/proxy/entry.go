package proxy

import (
	"context"
	"expvar"
	"iter"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"verbenaway/core"
	"verbenaway/core/dedup"
	"verbenaway/core/retry"
	"verbenaway/core/room"
	"verbenaway/core/route"
	"verbenaway/io/limit"
)

const (
	// maxHeaderBytes limits the total size of the header names and values of a request, unless the
	// configuration allows more.
	maxHeaderBytes = 64 << 10
	// maxRequestLineBytes is allowed for the request line beside the headers.
	maxRequestLineBytes = 16 << 10
	// maxServerHeaderBytes is the limit of the HTTP server, which cannot change with the
	// configuration. It is higher than configured limits, so that the entry itself refuses.
	maxServerHeaderBytes = 1 << 20
	// headerTimeout limits the time in which a caller sends the headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections of callers on which no further request arrives.
	idleTimeout = 2 * time.Minute
)

// EntryConfig configures an Entry. Fields are required unless marked optional.
type EntryConfig struct {
	Config  core.ConfigView
	Members core.MemberView
	Journal core.Journal
	Clock   core.Clock
	Self    core.Host
	// LocalGate is the gatekeeper on the local host, nil if there is none.
	LocalGate http.Handler
	// Owner returns the owner of an idempotency key among the members of a service. Optional;
	// the default is dedup.Owner.
	Owner func(key string, members []core.Member) (core.Host, bool)
	// Random returns uniformly distributed numbers and is safe for concurrent use. Optional.
	Random func() uint64
	// Dial connects to the address of a gatekeeper. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Sleep waits for the backoff before another attempt. Optional.
	Sleep func(ctx context.Context, wait time.Duration) error
	// Dialect reads and writes the headers of a platform whose upstreams register themselves.
	// Optional. With it, the entry forwards requests from any region to the home regions, ignores
	// idempotency keys, and takes nothing from the retry budget after refusals by gatekeepers.
	Dialect core.Dialect
	// NewBudget returns the retry budget of a service. It is required with a Dialect.
	NewBudget func(service core.ServiceName, now time.Time) core.RetryBudget
	// Decisions logs the decisions on requests. Optional.
	Decisions core.DecisionLog
	// IsConfirmed reports whether the configuration was confirmed so recently that it is the one in
	// force. While it is not, requests that no route matches or whose API key is not known are refused
	// with core.SuspectView, since a newer configuration may have their route or key. Optional.
	IsConfirmed func() bool
	// Quotas bounds the requests of each tenant over all daemons. Optional.
	Quotas core.Quotas
	// Quarantine knows the requests that crash upstreams. Optional.
	Quarantine core.Quarantine
	// LinkRate is the speed of the host's link in bytes per second, 0 if unknown.
	LinkRate int64
}

// Entry receives requests from callers and forwards them to the gatekeeper of an upstream. It
// is the http.Handler of the caller address.
type Entry struct {
	Counters EntryCounters

	config    EntryConfig
	balancer  *route.Balancer
	transport *entryTransport
	refusals  *refusalLog
	returns   returns
	full      full
	sender    []string
	view      atomic.Pointer[entryView]
	// mu is held while a new view is built.
	mu       sync.Mutex
	inFlight atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	closing  closing
	// idle receives a value when the last request in flight ends during Drain.
	idle chan struct{}
	// probes combines simultaneous probes of the same host.
	probes singleflight.Group
}

// entryView holds what the entry derives from one snapshot.
type entryView struct {
	table *route.Table
	// keys is nil if requests need no API keys.
	keys         *route.KeyIndex
	routeBudgets map[core.RouteName]core.RetryBudget
	// serviceBudgets are used instead of routeBudgets if EntryConfig.NewBudget is set.
	serviceBudgets map[core.ServiceName]core.RetryBudget
}

// returns is a room.Returns for concurrent use.
type returns struct {
	mu      sync.Mutex
	returns room.Returns
}

func (r *returns) add(key room.ReturnKey, first room.FirstAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returns.Add(key, first)
}

func (r *returns) take(key room.ReturnKey, deadline time.Time) (room.FirstAttempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.returns.Take(key, deadline)
}

// full is a room.Full for concurrent use.
type full struct {
	mu   sync.Mutex
	full room.Full
}

func (f *full) record(now time.Time, key room.FullKey, host core.HostName, roomAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full.Record(now, key, host, roomAfter)
}

func (f *full) forget(key room.FullKey, host core.HostName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full.Forget(key, host)
}

func (f *full) withoutRoom(now time.Time, key room.FullKey, left time.Duration, asks bool, hosts []core.HostName) ([]core.HostName, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full.WithoutRoom(now, key, left, asks, hosts)
}

// NewEntry returns an entry that is ready to serve requests.
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
			Self:     config.Self,
			Random:   config.Random,
			LinkRate: config.LinkRate,
		}),
		transport: newTransport(config.Dial),
		sender:    []string{string(config.Self.Name)},
		idle:      make(chan struct{}, 1),
	}
	e.Counters.Refusals = new(expvar.Map).Init()
	e.Counters.OtherZoneTraffic = new(expvar.Map).Init()
	e.Counters.OtherRegionTraffic = new(expvar.Map).Init()
	e.refusals = newRefusalLog(&e.config, &e.Counters)
	return e
}

// Server returns an HTTP server for the caller address with the timeouts and limits that the entry
// relies on.
func (e *Entry) Server() *http.Server {
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeaderBytes,
		ConnContext:       withCallerConn,
		ConnState:         observeConnState,
		// A callerConn counts on a handler for each request.
		DisableGeneralOptionsHandler: true,
	}
}

// MaxHeadBytes returns the largest size of the head of a request. It is above that of any head whose
// names and values are within the limit of the configuration: a line has four bytes beside them, and at
// least two of theirs.
func (e *Entry) MaxHeadBytes() int {
	configured := 0
	if snapshot, _ := e.config.Config.Snapshot(); snapshot != nil {
		configured = snapshot.MaxHeaderBytes
	}
	return max(maxHeaderBytes, 3*configured) + maxRequestLineBytes
}

// ServeHTTP serves one request, or passes on the answer of its early call if it was pipelined.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		e.serve(w, r, nil, false)
		return
	}
	early := conn.startHandler(r)
	defer conn.endHandler()
	if conn.limited != nil && r.ContentLength != 0 {
		held := limit.BodyBytes(r.ContentLength)
		conn.limited.Hold(held)
		defer conn.limited.Hold(-held)
		r.Body = conn.limited.TrackBody(r.Body)
	}
	if early != nil {
		defer early.release()
		if early.join(w, r) {
			return
		}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(conn.ctx, cancel)()
	e.serve(w, r.WithContext(ctx), conn, false)
}

// serve serves one request of a connection, which is nil if it does not come from a PipelineListener.
// It returns false for an early request that it did not start because the route is not idempotent.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, conn *callerConn, isEarly bool) bool {
	c := &call{
		entry:   e,
		request: r,
		conn:    conn,
		isEarly: isEarly,
		started: e.config.Clock.Now(),
	}
	c.reply.init(w)
	if !isEarly {
		e.inFlight.Add(1)
		defer e.endRequest()
	}
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

// isLeaving reports whether callers are asked to use other daemons.
func (e *Entry) isLeaving() bool {
	return e.leaving.Load() || e.draining.Load()
}

// closesAfterAnswer reports whether the answer that is about to be sent to a caller closes its
// connection because the entry is leaving. Pipelined requests that were passed on get their answers
// first.
func (e *Entry) closesAfterAnswer(conn *callerConn) bool {
	return e.isLeaving() && (conn == nil || !conn.hasEarlyCalls())
}

// ServeClaimed forwards to another upstream a request whose idempotency key the gatekeeper on the
// local host has claimed but which the local upstream cannot take. It also works during Drain,
// since the owner of a key remains responsible for it until the process ends.
func (e *Entry) ServeClaimed(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.endRequest()
	c := &call{
		entry:     e,
		request:   r,
		isClaimed: true,
		started:   e.config.Clock.Now(),
	}
	c.reply.init(w)
	defer c.end()
	if kind, detail := c.prepare(); kind != "" {
		c.refuse(kind, detail)
		return
	}
	c.run()
}

// ExpectedAnswerBytes yields the mean size of the answers of each route that has had one.
func (e *Entry) ExpectedAnswerBytes() iter.Seq2[core.RouteName, int64] {
	return e.balancer.ExpectedAnswers()
}

func (e *Entry) endRequest() {
	if e.inFlight.Add(-1) == 0 && e.draining.Load() {
		select {
		case e.idle <- struct{}{}:
		default:
		}
	}
}

// Leave makes the entry close the connection of a caller after an answer, so that the caller connects
// to another daemon. Pipelined requests that were passed on get their answers first, and requests that
// still arrive are served if that is likely to succeed before closesAt, when the connections of callers
// are closed.
func (e *Entry) Leave(closesAt time.Time) {
	e.closing.set(closesAt)
	e.leaving.Store(true)
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int {
	return int(e.inFlight.Load())
}

// Drain refuses new requests from callers and returns when the last request in flight has ended,
// or the error of ctx if that ends first. Meanwhile gatekeepers refuse requests that wait in their queues
// and would not be answered before the end: that of Leave, or else of ctx.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		e.closing.setDefault(deadline.Add(-closingMargin))
	}
	announceCtx, stopAnnouncing := context.WithCancel(ctx)
	defer stopAnnouncing()
	go e.announceClosing(announceCtx)
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

// viewFor returns the view of a snapshot, or the current view if that is newer. Snapshots are
// only replaced by newer ones, so a request never gets an older view than before.
func (e *Entry) viewFor(snapshot *core.Snapshot) *entryView {
	if view := e.view.Load(); view != nil && view.table.Snapshot() == snapshot {
		return view
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.view.Load()
	// A request that read its snapshot just before a change may have waited for the mutex while
	// another one built the newer view.
	if previous != nil && (previous.table.Snapshot() == snapshot || snapshot.IsBefore(previous.table.Snapshot())) {
		return previous
	}
	view := e.newView(snapshot, previous, e.config.Clock.Now())
	e.view.Store(view)
	return view
}

// newView keeps the retry budgets of routes and services that the previous view has.
func (e *Entry) newView(snapshot *core.Snapshot, previous *entryView, now time.Time) *entryView {
	view := &entryView{
		table:          route.NewTable(snapshot),
		routeBudgets:   make(map[core.RouteName]core.RetryBudget, len(snapshot.Routes)),
		serviceBudgets: make(map[core.ServiceName]core.RetryBudget, len(snapshot.Services)),
	}
	if e.config.Dialect != nil {
		view.keys = route.NewKeyIndex(snapshot)
	}
	if previous == nil {
		previous = &entryView{}
	} else {
		view.table.InheritSplits(previous.table)
		e.balancer.ForgetRoutes(snapshot)
	}
	if e.config.NewBudget != nil {
		for name := range snapshot.Services {
			if view.serviceBudgets[name] = previous.serviceBudgets[name]; view.serviceBudgets[name] == nil {
				view.serviceBudgets[name] = e.config.NewBudget(name, now)
			}
		}
		return view
	}
	for name := range snapshot.Routes {
		if view.routeBudgets[name] = previous.routeBudgets[name]; view.routeBudgets[name] == nil {
			view.routeBudgets[name] = retry.NewBudget(now)
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
