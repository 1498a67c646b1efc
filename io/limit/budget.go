package limit

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// BaseBytes is what the buffers and goroutines of an open connection take at most. The number of
	// connections bounds them; they do not count as memory in use.
	BaseBytes = 24 << 10
	// headCopies is how many copies of a head exist while its request is served, and lineBytes what
	// the parsed forms of a header line take beside its text.
	headCopies = 2
	lineBytes  = 1 << 10
	// cheapHeadBytes is above what the head of an ordinary request takes.
	cheapHeadBytes = 128 << 10
	// relievedShare is the share of the memory that may still be in use after connections were closed
	// for lack of it.
	relievedShare = 0.9
	// maxEmptyBytes bounds the line ends that are accepted before a request. Some clients send one pair
	// after a body.
	maxEmptyBytes = 16
	// scanInterval is the time between two looks at the queues and ages of all connections while memory
	// may run short, calmScanInterval that while it cannot.
	scanInterval     = 100 * time.Millisecond
	calmScanInterval = time.Second
	// expectedUnreadBytes is what the kernel may hold of a connection before it is looked at.
	expectedUnreadBytes = 256 << 10
	// minScannedBytes is the queue below which bytes that wait in the kernel do not count. Every
	// connection in use has some at times.
	minScannedBytes = 64 << 10
	// stalledTime is the time without progress after which an answer counts as one that is not read.
	stalledTime = time.Second
)

// Config configures a Budget.
type Config struct {
	// Bytes bounds what all connections hold beyond BaseBytes, what the kernel has received for them
	// included; 0 means no bound.
	Bytes int64
	// Conns bounds the number of connections, outgoing ones included; 0 means no bound.
	Conns int
	// HeadTimeout bounds the time from the first byte of a head to its end; 0 means no bound. A body of
	// which nothing came for as long is among the first to go when connections run short.
	HeadTimeout time.Duration
}

// Counters count connections that were closed since the start of a Budget.
type Counters struct {
	// ForMemory and ForConns count those that were closed because memory or connections ran short,
	// Refused new ones that were closed at once because all others were in use.
	ForMemory atomic.Int64
	ForConns  atomic.Int64
	Refused   atomic.Int64
	// Heads counts those whose head was too large, too slow, or empty lines only.
	Heads atomic.Int64
}

// Budget is the memory and the number of connections that all listeners and dialers of a process share.
// When it runs short, the connections that cost most and yield least are closed: first those without a
// complete request, then idle ones, and those with a request in service last.
type Budget struct {
	Counters Counters

	config atomic.Pointer[Config]
	bytes  atomic.Int64
	// closing is what closed connections held that the server has not finished with.
	closing atomic.Int64
	// crowded gets a value when memory may run short.
	crowded chan struct{}
	// outgoing counts the connections of dialers.
	outgoing atomic.Int64

	mu sync.Mutex
	// conns holds the connections of listeners, dialed those of dialers.
	conns  map[*Conn]struct{}
	dialed map[*outgoingConn]struct{}
	// busy is the number of connections that were not idle at the last scan or are newer.
	busy int
	// evicted are connections that unlock closes.
	evicted []*Conn
}

// NewBudget returns a budget; Watch must run for what depends on time.
func NewBudget(config Config) *Budget {
	b := &Budget{
		conns:   map[*Conn]struct{}{},
		dialed:  map[*outgoingConn]struct{}{},
		crowded: make(chan struct{}, 1),
	}
	b.Configure(config)
	return b
}

// Configure replaces the limits.
func (b *Budget) Configure(config Config) {
	b.config.Store(&config)
}

// Bytes returns the memory in use.
func (b *Budget) Bytes() int64 {
	return b.bytes.Load()
}

// Conns returns the number of connections of listeners and dialers.
func (b *Budget) Conns() (incoming, outgoing int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), int(b.outgoing.Load())
}

// Watch looks at all connections until ctx ends.
func (b *Budget) Watch(ctx context.Context) {
	timer := time.NewTimer(calmScanInterval)
	defer timer.Stop()
	for isCalm := true; ; {
		crowded := b.crowded
		if !isCalm {
			crowded = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-crowded:
		case <-timer.C:
		}
		isCalm = b.scan(time.Now())
		interval := scanInterval
		if isCalm {
			interval = calmScanInterval
		}
		timer.Reset(interval)
	}
}

// isCrowded reports whether memory may run short before the next look at a calm process. The caller
// holds mu.
func (b *Budget) isCrowded() bool {
	limit := b.maxBytes()
	return int64(b.busy)*expectedUnreadBytes > limit || b.bytes.Load() > limit/2
}

// scan counts the bytes that wait in the kernel and closes connections whose head takes too long. It
// reports whether memory cannot run short soon.
func (b *Budget) scan(now time.Time) (isCalm bool) {
	config := b.config.Load()
	b.mu.Lock()
	defer b.unlock()
	b.busy = 0
	answers := b.unreadAnswers()
	for c := range b.conns {
		c.mu.Lock()
		isIdle := c.phase == Idle && c.unread == 0
		isLate := c.phase == Heading && config.HeadTimeout > 0 && now.Sub(c.since) > config.HeadTimeout
		c.mu.Unlock()
		if isLate {
			b.Counters.Heads.Add(1)
			b.evict(c)
			continue
		}
		if isIdle {
			continue
		}
		b.busy++
		unread := queued(c.raw) + answers[c]
		c.mu.Lock()
		b.bytes.Add(unread - c.unread)
		c.unread = unread
		c.mu.Unlock()
	}
	b.relieve(now)
	return !b.isCrowded()
}

// draw changes the memory in use and closes connections if it runs short.
func (b *Budget) draw(bytes int64) {
	if b.bytes.Add(bytes) > b.maxBytes() && bytes > 0 {
		b.mu.Lock()
		defer b.unlock()
		b.relieve(time.Now())
	}
}

func (b *Budget) maxBytes() int64 {
	if limit := b.config.Load().Bytes; limit > 0 {
		return limit
	}
	return 1 << 62
}

// relieve closes connections until enough memory is free. The caller holds mu.
func (b *Budget) relieve(now time.Time) {
	limit := b.maxBytes()
	if b.bytes.Load() <= limit {
		return
	}
	type weighed struct {
		conn *Conn
		cost int64
	}
	var conns []weighed
	for c := range b.conns {
		if cost := c.cost(now); cost > 0 {
			conns = append(conns, weighed{
				conn: c,
				cost: cost,
			})
		}
	}
	slices.SortFunc(conns, func(x, y weighed) int {
		return cmp.Compare(y.cost, x.cost)
	})
	for _, victim := range conns {
		if float64(b.bytes.Load()) <= relievedShare*float64(limit) {
			return
		}
		b.Counters.ForMemory.Add(1)
		b.evict(victim.conn)
	}
}

// admit adds a connection of a listener. If there are too many, it closes the one that yields least;
// it returns nil if all others are in use.
func (b *Budget) admit(conn net.Conn) *Conn {
	now := time.Now()
	c := newConn(b, conn, now)
	b.mu.Lock()
	defer b.unlock()
	limit := b.config.Load().Conns
	for limit > 0 && len(b.conns)+int(b.outgoing.Load()) >= limit {
		victim := b.leastYield(now)
		if victim == nil {
			b.Counters.Refused.Add(1)
			return nil
		}
		b.Counters.ForConns.Add(1)
		b.evict(victim)
	}
	b.conns[c] = struct{}{}
	b.busy++
	if b.isCrowded() {
		select {
		case b.crowded <- struct{}{}:
		default:
		}
	}
	return c
}

// leastYield returns the connection that yields least and has waited longest. It returns nil if
// requests are in service on all. The caller holds mu.
func (b *Budget) leastYield(now time.Time) *Conn {
	var least *Conn
	var leastYield yield
	for c := range b.conns {
		if y, ok := c.yield(now); ok && (least == nil || y.isBelow(leastYield)) {
			least, leastYield = c, y
		}
	}
	return least
}

// CanAfford reports whether a head may be parsed that takes a number of bytes. Only one that takes much
// has to wait for memory of closed connections.
func (b *Budget) CanAfford(bytes int64) bool {
	return bytes <= cheapHeadBytes || b.bytes.Load()+b.closing.Load()+bytes <= b.maxBytes()
}

// evict returns what a connection held; unlock closes it. The caller holds mu.
func (b *Budget) evict(c *Conn) {
	b.remove(c)
	c.closing = c.held
	b.closing.Add(c.closing)
	b.evicted = append(b.evicted, c)
}

// unlock releases mu and closes the evicted connections. It may take long to close many.
func (b *Budget) unlock() {
	evicted := b.evicted
	b.evicted = nil
	b.mu.Unlock()
	for _, c := range evicted {
		// The server notices the end by its next read or write.
		_ = c.Conn.Close()
	}
}

// remove returns what a connection held. The caller holds mu.
func (b *Budget) remove(c *Conn) {
	if _, isOpen := b.conns[c]; !isOpen {
		return
	}
	delete(b.conns, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRemoved = true
	b.bytes.Add(-c.held - c.unread)
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer whose connections count. They are never closed for lack of connections, since
// requests of callers depend on them; a connection of a listener is closed instead.
func (b *Budget) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		b.makeRoom()
		return b.newOutgoingConn(conn), nil
	}
}

// makeRoom closes the connection that yields least if there are too many.
func (b *Budget) makeRoom() {
	now := time.Now()
	b.mu.Lock()
	defer b.unlock()
	limit := b.config.Load().Conns
	if limit <= 0 || len(b.conns)+int(b.outgoing.Load()) < limit {
		return
	}
	if victim := b.leastYield(now); victim != nil {
		b.Counters.ForConns.Add(1)
		b.evict(victim)
	}
}
