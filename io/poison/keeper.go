package poison

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/poison"
)

const (
	// batchTime is how long news waits for more, since all requests on an upstream are lost at the same
	// moment.
	batchTime = 20 * time.Millisecond
	// shareTimeout bounds an exchange with another daemon. It is several times as long as a connection to
	// another region takes.
	shareTimeout = 400 * time.Millisecond
	// downTime is how long a daemon that did not answer is passed over.
	downTime = 500 * time.Millisecond
	// tickTime is the period in which daemons that could not be reached are tried again, and what no
	// longer counts is forgotten.
	tickTime = 500 * time.Millisecond
	// refreshTime is the period in which daemons exchange what they know although it seems to be the
	// same: one may have started again.
	refreshTime = 10 * time.Second
	// differTime is the time until the next exchange with a daemon that still knew something else after
	// one. It doubles with each such exchange, maxDifferences times at most.
	differTime     = 100 * time.Millisecond
	maxDifferences = 6
)

// Config configures a Keeper.
type Config struct {
	Self core.Host
	// Hosts returns the known daemons, empty until they are known.
	Hosts   func() []core.Host
	Peers   core.ShareClient
	Clock   core.Clock
	Journal core.Journal
}

// Keeper knows which requests were lost with upstreams, here or at other daemons. It implements
// core.Quarantine, core.ShareServer and core.Service.
type Keeper struct {
	Counters Counters

	config Config
	// shapes are those of the table, nil if there are none.
	shapes atomic.Pointer[map[core.RequestShape]bool]

	mu    sync.Mutex
	table *poison.Table
	peers map[core.HostName]*peer
	// isInformed is set once another daemon has said what it knows since the start.
	isInformed bool

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
	// exchanges are those in progress.
	exchanges sync.WaitGroup
}

// Counters count what a Keeper did since its start.
type Counters struct {
	// Losses are the requests that this daemon reported, Shares its exchanges with other daemons, and
	// ShareFailures those without an answer.
	Losses        atomic.Int64
	Shares        atomic.Int64
	ShareFailures atomic.Int64
}

// peer is what is known of another daemon.
type peer struct {
	// sequence is that of the table which the daemon is known to have, 0 if it is not known.
	sequence uint64
	// differences counts the latest exchanges in a row after which the daemon still knew something else.
	differences int
	// sharedAt is the time of the latest exchange that succeeded, and downUntil the end of the time in
	// which the daemon is passed over.
	sharedAt  time.Time
	downUntil time.Time
	isAsked   bool
}

// New returns a keeper that knows nothing.
func New(config Config) *Keeper {
	return &Keeper{
		config: config,
		table:  poison.NewTable(),
		peers:  map[core.HostName]*peer{},
		wake:   make(chan struct{}, 1),
	}
}

// Name implements core.Service.
func (k *Keeper) Name() string {
	return "poison"
}

// Start implements core.Service.
func (k *Keeper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel, k.done = cancel, make(chan struct{})
	go k.run(ctx)
	return nil
}

// Stop implements core.Service.
func (k *Keeper) Stop(context.Context) error {
	k.cancel()
	<-k.done
	k.exchanges.Wait()
	return nil
}

// HasShape implements core.Quarantine.
func (k *Keeper) HasShape(shape core.RequestShape) bool {
	shapes := k.shapes.Load()
	return shapes != nil && (*shapes)[shape]
}

// IsActive implements core.Quarantine.
func (k *Keeper) IsActive() bool {
	return k.shapes.Load() != nil
}

// Verdict implements core.Quarantine.
func (k *Keeper) Verdict(fingerprint core.Fingerprint) core.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Verdict(fingerprint)
}

// RecordLoss implements core.Quarantine.
func (k *Keeper) RecordLoss(fingerprint core.Fingerprint, shape core.RequestShape, instance string) {
	k.Counters.Losses.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.merge([]core.LostRequest{{
		Fingerprint: fingerprint,
		Shape:       shape,
		Instance:    instance,
	}})
}

// RecordAnswer implements core.Quarantine.
func (k *Keeper) RecordAnswer(fingerprint core.Fingerprint) {
	k.Clear(fingerprint)
}

// Clear lets a request be passed on again, on all daemons. It returns false if nothing spoke against it.
func (k *Keeper) Clear(fingerprint core.Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.table.Clear(fingerprint) {
		return false
	}
	k.config.Journal.Record(core.Event{
		Kind:    core.EventRequestCleared,
		Subject: fingerprint.String(),
	})
	k.changed()
	return true
}

// Request is what is known of one request.
type Request struct {
	Fingerprint core.Fingerprint
	Verdict     core.Verdict
	// Losses are the processes that ended while they ran it, the latest first.
	Losses []core.LostRequest
}

// Requests returns all known requests, the quarantined ones first, then the suspected ones.
func (k *Keeper) Requests() []Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	byFingerprint := map[core.Fingerprint]*Request{}
	var all []Request
	for _, lost := range k.table.Since(k.config.Clock.Now(), 0) {
		known := byFingerprint[lost.Fingerprint]
		if known == nil {
			known = &Request{
				Fingerprint: lost.Fingerprint,
				Verdict:     k.table.Verdict(lost.Fingerprint),
			}
			byFingerprint[lost.Fingerprint] = known
		}
		known.Losses = append(known.Losses, lost)
	}
	for _, known := range byFingerprint {
		slices.SortFunc(known.Losses, func(a, b core.LostRequest) int { return cmp.Compare(a.Age, b.Age) })
		all = append(all, *known)
	}
	slices.SortFunc(all, func(a, b Request) int {
		return cmp.Or(-cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Losses[0].Age, b.Losses[0].Age), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return all
}

// Share implements core.ShareServer.
func (k *Keeper) Share(_ context.Context, request core.ShareRequest) (core.ShareAnswer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.config.Clock.Now()
	k.merge(request.Lost)
	answer := core.ShareAnswer{
		Digest: k.table.Digest(),
	}
	if answer.Digest == request.Digest {
		k.recordSame(now, request.Sender)
	} else {
		answer.Lost = k.table.Since(now, 0)
	}
	return answer, nil
}

// Counts returns the numbers of requests that are suspected and quarantined.
func (k *Keeper) Counts() (suspects, quarantined int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Suspects(), len(k.table.Quarantined())
}

// merge adds lost requests. The caller holds mu.
func (k *Keeper) merge(lost []core.LostRequest) {
	before := k.table.Quarantined()
	if !k.table.Merge(k.config.Clock.Now(), lost) {
		return
	}
	for fingerprint := range k.table.Quarantined() {
		if !before[fingerprint] {
			k.config.Journal.Record(core.Event{
				Kind:    core.EventRequestQuarantined,
				Subject: fingerprint.String(),
			})
		}
	}
	k.changed()
}

// changed publishes the shapes and wakes the exchange. The caller holds mu.
func (k *Keeper) changed() {
	shapes := k.table.Shapes()
	if len(shapes) == 0 {
		k.shapes.Store(nil)
	} else {
		k.shapes.Store(&shapes)
	}
	k.signal()
}

func (k *Keeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// recordSame records that another daemon knows the same. The caller holds mu.
func (k *Keeper) recordSame(now time.Time, name core.HostName) {
	if name == "" {
		return
	}
	p := k.peer(name)
	p.sequence, p.differences, p.sharedAt, p.downUntil = k.table.Sequence(), 0, now, time.Time{}
}

// peer returns what is known of another daemon. The caller holds mu.
func (k *Keeper) peer(name core.HostName) *peer {
	p := k.peers[name]
	if p == nil {
		p = &peer{}
		k.peers[name] = p
	}
	return p
}
