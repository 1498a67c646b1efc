package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"verbenaway/core"
	"verbenaway/core/admit"
	"verbenaway/core/dedup"
	"verbenaway/core/route"
)

// GateConfig holds the parameters of a Gate. Config, Members, Journal, Clock and Self are
// required.
type GateConfig struct {
	Config  core.ConfigView
	Members core.MemberView
	Journal core.Journal
	Clock   core.Clock
	// Self is the host of the gatekeeper; without a service it refuses every request.
	Self core.Host
	// UpstreamAddress is the host and port of the upstream on this host.
	UpstreamAddress string
	// QueueLength bounds the queue for requests without a latency target; 0 means as many as the
	// service has slots.
	QueueLength int
	// MaxQueueWait bounds their time in the queue; 0 means admit.DefaultMaxWait.
	MaxQueueWait time.Duration
	// WatchLatency turns on the detection of an unannounced cold start by its latency. It is off
	// by default: a stall of the daemon's own host looks the same, and after the drop of the
	// limit to coldSlots nearly all of 11,000 requests/s stayed refused.
	WatchLatency bool
	// DialTimeout bounds the time to open a connection to the upstream if Dial is nil; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection to the upstream is closed; 0 means
	// 4 s. It should be shorter than that of the upstream, since a request sent on a connection
	// that the upstream closes at the same time has an unknown outcome.
	IdleTimeout time.Duration
	// Dialect is the dialect of a platform whose upstreams register themselves. With it the
	// gatekeeper sends requests to the registered instance and ignores idempotency keys.
	// Optional; requires Upstream.
	Dialect core.Dialect
	// Upstream returns the registration of the upstream at UpstreamAddress, or false if there is
	// none.
	Upstream func() (core.Member, bool)
	// Dial opens connections to the upstream. Optional.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Decisions records the decisions on requests. Optional.
	Decisions core.DecisionLog
	// StartedAt is the time at which this process started, if an earlier one may have run just before.
	// Optional.
	StartedAt time.Time
	// ContactAge returns the time since the last contact with the store. While that is long, the
	// gatekeeper asks its upstream whether it is cold, since the registration may be out of date. Optional.
	ContactAge func() time.Duration
	// Quarantine knows the requests that crash upstreams; a suspect may become one of them while it
	// waits for a slot. Optional.
	Quarantine core.Quarantine
	// LinkRate is the speed of the host's link in bytes per second, 0 if unknown.
	LinkRate int64
}

// Gate is the gatekeeper: the last daemon on the path to an upstream. It admits requests to the
// upstream on its own host and forwards them. It is the http.Handler of the gate address; the
// entry in the same process also calls ServeHTTP directly.
//
// ServeHTTP panics with http.ErrAbortHandler if an answer breaks off after its header was
// written; an entry in the same process must propagate the panic or abort the connection to the
// caller. Requests and their headers are not modified, and no body is read after ServeHTTP has
// returned. A ResponseWriter that wraps another must have an Unwrap method for
// http.ResponseController, since a stalled upload is ended by a read deadline.
type Gate struct {
	config   GateConfig
	counters GateCounters
	refusals gateRefusals

	mu        sync.Mutex
	admission *admit.Controller
	// grantTimer fires when the rate limit of a cold start lets a queued request start.
	grantTimer *time.Timer
	// grantAt is the time for which grantTimer is set.
	grantAt time.Time
	// connectBackoffUntil is the end of the backoff after a failed connection attempt. Until then
	// requests are refused at once, since another attempt could wait until the dial timeout.
	connectBackoffUntil time.Time

	rateLimitEvents *rate.Limiter
	// crashChecks combines simultaneous checks whether the upstream has ended, and crashed is the latest
	// process that has, of which the event was recorded.
	crashChecks singleflight.Group
	crashed     atomic.Pointer[string]

	keys      gateKeys
	transport gateTransport
	// link estimates how much of the answers is still on its way through the link of the host.
	link route.LinkQueue
	// table finds routes in the last snapshot that was used.
	table atomic.Pointer[route.Table]

	// heldBytes is the memory of the answers that are held by holdAnswer.
	heldBytes atomic.Int64
	active    atomic.Int64
	draining  atomic.Bool
	// delegate sends claimed requests to another upstream; nil if there is none.
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
			StartedAt:    config.StartedAt,

			LinkRate: config.LinkRate,
		}),
		link: route.NewLinkQueue(config.LinkRate),
		idle: make(chan struct{}, 1),

		rateLimitEvents: rate.NewLimiter(rate.Every(time.Second), 1),
	}
	g.refusals.record = g.record
	g.transport.config = &g.config
	g.transport.suspectRestart = g.suspectRestart
	g.keys.table = dedup.NewTable(dedup.Config{}, config.Clock.Now())
	return g
}

// ServeHTTP serves a request from an entry.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.requestDone()
	if _, isProbe := r.Header[keyProbe]; isProbe {
		g.serveProbe(w, r)
		return
	}
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
	call.linger()
}

// requestDone signals a waiting Drain when the last request has ended.
func (g *Gate) requestDone() {
	if g.active.Add(-1) == 0 && g.draining.Load() {
		g.signalIdle()
	}
}

// signalIdle wakes one waiting Drain, which in turn wakes the next one.
func (g *Gate) signalIdle() {
	select {
	case g.idle <- struct{}{}:
	default:
	}
}

// SetDelegate sets the handler that sends a request with a claimed key to another upstream when
// the local one cannot take it: ServeClaimed of the entry in the same process. It must be called
// before the gatekeeper serves requests.
func (g *Gate) SetDelegate(delegate http.HandlerFunc) {
	g.delegate = delegate
}

// InFlight returns the number of requests in the gatekeeper, including queued ones.
func (g *Gate) InFlight() int {
	return int(g.active.Load())
}

// Load returns the number of slots of the upstream in use and the current limit. With
// GateConfig.Upstream, queued requests are counted too.
func (g *Gate) Load() (inFlight, limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.config.Clock.Now())
}

// load returns the load that is reported to other daemons. The caller holds mu.
func (g *Gate) load(now time.Time) (inFlight, limit int) {
	if g.config.Upstream != nil {
		return g.admission.Load(now)
	}
	return g.admission.InFlight(), g.admission.Limit()
}

// Counters returns the live counters.
func (g *Gate) Counters() *GateCounters {
	return &g.counters
}

// Drain refuses new requests and waits until none is in flight or ctx ends. It may be called
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

// suspectRestart tells admission control that the upstream may have restarted unnoticed.
func (g *Gate) suspectRestart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SuspectRestart()
}

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
