package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/core/dedup"
)

// GateConfig holds what a Gate needs. Config, Members, Journal, Clock and Self are required.
type GateConfig struct {
	Config  core.ConfigView
	Members core.MemberView
	Journal core.Journal
	Clock   core.Clock
	// Self is the own host; a host without a service refuses every request.
	Self core.Host
	// UpstreamAddress is the host and port of the upstream on the own host.
	UpstreamAddress string
	// QueueLength bounds the waiting lookups and orders; 0 means as many as slots.
	QueueLength int
	// MaxQueueWait bounds their wait; 0 means admit.DefaultMaxWait.
	MaxQueueWait time.Duration
	// WatchLatency turns on the detection of an unannounced cold start by its latency. It is
	// off by default: a stall of the daemon's own host looks the same, and the fall of the
	// limit to coldSlots then refused nearly all of 11,000 requests/s for good.
	WatchLatency bool
	// DialTimeout bounds the opening of a connection to the upstream; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes an unused connection to the upstream; 0 means 4 s. It should be
	// shorter than the upstream's own, since a request sent on a connection that the
	// upstream closes at that moment has an unknown outcome.
	IdleTimeout time.Duration
	// Dialect is that of a platform whose upstreams register themselves. Optional; Upstream
	// is needed with it. The gatekeeper then asks for the registered instance, and
	// idempotency keys mean nothing.
	Dialect core.Dialect
	// Upstream returns what the platform knows of the upstream at UpstreamAddress.
	Upstream func() (core.Member, bool)
	// Dial connects to the upstream. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Decisions takes the decisions on requests. Optional.
	Decisions core.DecisionLog
}

// Gate is the gatekeeper: the last daemon before an upstream. It admits requests to the
// upstream on its own host and carries them there. It is an http.Handler for the gate
// address, and the entry of the same process calls ServeHTTP too.
//
// ServeHTTP panics with http.ErrAbortHandler if an answer breaks off after its header was
// written; an entry that calls it in process has to let the panic through or to abort the
// caller's connection itself. Requests and their headers are not modified, and no body is
// read after ServeHTTP has returned. A ResponseWriter that wraps another needs Unwrap, as
// http.ResponseController asks for: a stalled upload is ended by its read deadline.
type Gate struct {
	config   GateConfig
	counters GateCounters
	refusals gateRefusals

	mu        sync.Mutex
	admission *admit.Controller
	// grantTimer fires when a waiting request may begin without another one ending.
	grantTimer *time.Timer
	// connectBackoffUntil spares a request the wait for a connection that has just timed out.
	connectBackoffUntil time.Time

	keys      gateKeys
	transport gateTransport

	active   atomic.Int64
	draining atomic.Bool
	// delegate carries claimed requests to another upstream, nil if there is none.
	delegate  http.HandlerFunc
	idle      chan struct{}
	drainOnce sync.Once
}

// NewGate returns a gatekeeper that assumes a cold upstream.
func NewGate(config GateConfig) *Gate {
	if config.DialTimeout <= 0 {
		config.DialTimeout = time.Second
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = 4 * time.Second
	}
	if config.Dial == nil {
		dialer := &net.Dialer{
			Timeout: config.DialTimeout,
		}
		config.Dial = dialer.DialContext
	}
	g := &Gate{
		config: config,
		admission: admit.New(admit.Config{
			Self:         config.Self,
			QueueLength:  config.QueueLength,
			MaxWait:      config.MaxQueueWait,
			WatchLatency: config.WatchLatency,
			IsRegistered: config.Upstream != nil,
		}),
		idle: make(chan struct{}, 1),
	}
	g.refusals.record = g.record
	g.transport.config = &g.config
	g.transport.suspectRestart = g.suspectRestart
	g.keys.table = dedup.NewTable(dedup.Config{}, config.Clock.Now())
	return g
}

// ServeHTTP takes one request from an entry.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.requestDone()
	call, kind, detail := g.newCall(w, r)
	if kind != "" {
		call.refuse(kind, detail)
		return
	}
	if g.config.Dialect == nil && call.isKeyed() {
		call.serveKeyed()
		return
	}
	if kind, detail = call.run(); kind != "" {
		call.refuse(kind, detail)
	}
}

// requestDone tells a waiting Drain that the last request has ended.
func (g *Gate) requestDone() {
	if g.active.Add(-1) == 0 && g.draining.Load() {
		g.signalIdle()
	}
}

// signalIdle wakes one Drain, which wakes the next.
func (g *Gate) signalIdle() {
	select {
	case g.idle <- struct{}{}:
	default:
	}
}

// SetDelegate sets what carries a request with a claimed key to another upstream when the own
// one cannot take it: ServeClaimed of the entry in the same process. It is called before the
// gatekeeper serves.
func (g *Gate) SetDelegate(delegate http.HandlerFunc) {
	g.delegate = delegate
}

// InFlight returns the number of requests inside the gatekeeper, waiting ones included.
func (g *Gate) InFlight() int {
	return int(g.active.Load())
}

// Load returns how many slots of the upstream are in use and how many the gatekeeper fills
// at present.
func (g *Gate) Load() (inFlight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.config.Clock.Now())
}

// load returns what other daemons are to know. The caller holds the mutex.
func (g *Gate) load(now time.Time) (inFlight, limit int) {
	if g.config.Upstream != nil {
		return g.admission.Load(now)
	}
	return g.admission.InFlight(), g.admission.Limit()
}

// Counters returns the counters, which go on changing.
func (g *Gate) Counters() *GateCounters {
	return &g.counters
}

// Drain refuses new work and waits until nothing is in flight or ctx ends. It may be called
// again after an error.
func (g *Gate) Drain(ctx context.Context) error {
	g.drainOnce.Do(func() {
		g.record(core.EventDrainBegun, "", "")
		g.mu.Lock()
		g.deliverWakes(g.admission.Drain())
		g.mu.Unlock()
		g.draining.Store(true)
	})
	for g.active.Load() > 0 {
		select {
		case <-g.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.signalIdle()
	g.transport.closeIdle()
	g.refusals.flush()
	g.record(core.EventDrainEnded, "", "")
	return nil
}

// suspectRestart passes on that the upstream may have restarted unseen.
func (g *Gate) suspectRestart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SuspectRestart()
}

// record puts an event on the time line.
func (g *Gate) record(kind core.EventKind, subject, detail string) {
	var version core.Version
	if snapshot, _ := g.config.Config.Snapshot(); snapshot != nil {
		version = snapshot.Version
	}
	g.config.Journal.Record(core.Event{
		Host:             g.config.Self.Name,
		AvailabilityZone: g.config.Self.AvailabilityZone,
		Kind:             kind,
		Version:          version,
		Subject:          subject,
		Detail:           detail,
	})
}
