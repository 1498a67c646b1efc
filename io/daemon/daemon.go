package daemon

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"verbenaway/core"
	"verbenaway/core/dedup"
	"verbenaway/core/events"
	"verbenaway/core/member"
	"verbenaway/core/spread"
	"verbenaway/io/agent"
	"verbenaway/io/conf"
	"verbenaway/io/kernel"
	"verbenaway/io/peer"
	"verbenaway/io/proxy"
	"verbenaway/io/store"
)

// Config configures a Daemon.
type Config struct {
	Settings conf.Settings
	// Log receives one line per event; nil disables logging.
	Log log.Interface
	// Seed makes random choices reproducible; 0 selects a random seed.
	Seed uint64
	// Peers replaces the client for control messages in tests and benchmarks; nil uses the
	// network.
	Peers core.PeerClient
	// Store replaces the client of the store; nil uses the settings.
	Store core.Store
}

// leaveNoticeMargin extends the notice period, so that requests whose idempotency key was
// created just before the period ended still arrive.
const leaveNoticeMargin = 500 * time.Millisecond

// Daemon is the daemon of one host: the entry for callers and the gatekeeper of its upstream.
type Daemon struct {
	config    Config
	self      core.Host
	started   time.Time
	kernel    *kernel.Kernel
	journal   *events.Journal
	agent     *agent.Agent
	gate      *proxy.Gate
	entry     *proxy.Entry
	traffic   *peer.Traffic
	listeners listeners
	closers   []func()
}

// New builds a daemon and binds its four addresses; a port of 0 is chosen by the operating
// system. It does not serve before Start.
func New(config Config) (*Daemon, error) {
	bound, err := bind(config.Settings.Listen)
	if err != nil {
		return nil, err
	}
	settings := config.Settings
	settings.Listen = bound.addresses()
	d := &Daemon{
		config:    config,
		self:      settings.Self(),
		started:   time.Now(),
		kernel:    kernel.New(),
		traffic:   &peer.Traffic{},
		listeners: bound,
	}
	d.config.Settings = settings
	d.build()
	if err = d.register(); err != nil {
		bound.close()
		return nil, err
	}
	return d, nil
}

// build creates the components in the order of their dependencies.
func (d *Daemon) build() {
	clock := kernel.SystemClock{}
	timestamps := events.NewHybridClock(clock)
	d.journal = events.NewJournal(events.JournalConfig{
		Self:  d.self,
		Clock: timestamps,
		Sink:  d.logEvent,
	})
	d.agent = agent.New(agent.Config{
		Self:             d.self,
		Seeds:            d.config.Settings.Spread.Seeds,
		Store:            d.storeClient(),
		Peers:            d.peerClient(),
		Journal:          d.journal,
		Clock:            clock,
		Random:           d.random(),
		Way:              spread.Way(d.config.Settings.Spread.Way),
		Timestamp:        timestamps.Now,
		ObserveTimestamp: timestamps.Observe,
	})
	d.gate = proxy.NewGate(proxy.GateConfig{
		Config:          d.agent,
		Members:         d.agent,
		Journal:         d.journal,
		Clock:           clock,
		Self:            d.self,
		UpstreamAddress: d.config.Settings.Upstream.Address,
	})
	d.entry = proxy.NewEntry(proxy.EntryConfig{
		Config:    d.agent,
		Members:   d.agent,
		Journal:   d.journal,
		Clock:     clock,
		Self:      d.self,
		LocalGate: d.gate,
		Owner:     dedup.Owner,
	})
	d.gate.SetDelegate(d.entry.ServeClaimed)
}

func (d *Daemon) random() *rand.Rand {
	if d.config.Seed == 0 {
		return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return rand.New(rand.NewPCG(d.config.Seed, 1))
}

func (d *Daemon) storeClient() core.Store {
	if d.config.Store != nil {
		return d.config.Store
	}
	client := store.New(store.Config{
		Address: d.config.Settings.Store.Address,
		Timeout: time.Duration(d.config.Settings.Store.Timeout),
	})
	d.closers = append(d.closers, client.Close)
	return client
}

func (d *Daemon) peerClient() core.PeerClient {
	if d.config.Peers != nil {
		return d.config.Peers
	}
	client := peer.NewClient(peer.ClientConfig{
		Traffic: d.traffic,
	})
	d.closers = append(d.closers, client.Close)
	return client
}

// register adds the services to the kernel in the order in which they start.
func (d *Daemon) register() error {
	services := []core.Service{
		d.peerService(),
		d.agent,
		d.gateService(),
		d.entryService(),
		d.adminService(),
	}
	for _, service := range services {
		if err := d.kernel.Add(service); err != nil {
			return err
		}
	}
	return nil
}

// Self returns the host of this daemon with the addresses that were bound.
func (d *Daemon) Self() core.Host {
	return d.self
}

// CallerAddress returns the address for callers.
func (d *Daemon) CallerAddress() string {
	return d.config.Settings.Listen.Caller
}

// Traffic returns the counters of control message traffic.
func (d *Daemon) Traffic() *peer.Traffic {
	return d.traffic
}

// Agent returns the control plane of the daemon.
func (d *Daemon) Agent() *agent.Agent {
	return d.agent
}

// Start serves on all addresses. Requests are refused with Starting until the version in force
// is known.
func (d *Daemon) Start(ctx context.Context) error {
	d.journal.Record(core.Event{
		Kind: core.EventStarted,
	})
	return d.kernel.Start(ctx)
}

// Stop is a planned stop: it announces leaving, refuses new work, waits for requests in flight
// and stops the services. It takes at least the notice period, during which the daemon still
// owns idempotency keys and has other upstreams run the requests with these keys. Requests still
// in flight when ctx ends are aborted and reported as an error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.agent.SetLeaving()
	notice := time.NewTimer(member.LeaveNoticePeriod + leaveNoticeMargin)
	defer notice.Stop()
	group, drainCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return errors.Wrap(d.entry.Drain(drainCtx), "drain entry")
	})
	group.Go(func() error {
		return errors.Wrap(d.gate.Drain(drainCtx), "drain gatekeeper")
	})
	err := group.Wait()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err = errors.CombineErrors(err, d.kernel.Stop(ctx))
	for _, closeClient := range d.closers {
		closeClient()
	}
	return err
}

// Kill stops the daemon without any announcement, as a crash would, in tests and benchmarks.
func (d *Daemon) Kill() {
	d.listeners.close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.kernel.Stop(ctx)
	for _, closeClient := range d.closers {
		closeClient()
	}
}

// metrics collects the counters of all components.
func (d *Daemon) metrics() *expvar.Map {
	metrics := new(expvar.Map).Init()
	entry := &d.entry.Counters
	gate := d.gate.Counters()
	for _, row := range metricTable(entry, gate, d.traffic) {
		metrics.Set(row.Name, row.Value)
	}
	return metrics
}

// logEvent logs an event as one line.
func (d *Daemon) logEvent(event core.Event) {
	if d.config.Log == nil {
		return
	}
	d.config.Log.WithFields(log.Fields{
		"host":    string(event.Host),
		"version": uint64(event.Version),
		"subject": event.Subject,
		"detail":  event.Detail,
	}).Info(string(event.Kind))
}

// Journal returns the event journal of the daemon.
func (d *Daemon) Journal() *events.Journal {
	return d.journal
}
