package limit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// Idle is the time before the first byte of a request.
	Idle Phase = iota
	// Heading is the time from the first byte of a head to its end.
	Heading
	// Uploading is the time until the body of a request is complete.
	Uploading
	// Serving is the time until the answer is complete.
	Serving
)

// Listener accepts connections that draw on a budget.
type Listener struct {
	net.Listener
	Budget *Budget
	// MaxHeadBytes returns the largest size of a head. Optional; the server has a bound of its own.
	MaxHeadBytes func() int
}

// Accept implements net.Listener. Connections that the budget refuses are closed and skipped.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.Budget.admit(conn); c != nil {
			c.maxHeadBytes = l.MaxHeadBytes
			return c, nil
		}
		_ = conn.Close()
	}
}

// Conn is a connection of a Listener. It finds the heads of requests in what is read, with the help of
// Begin and End, unless its owner does that and calls Set.
type Conn struct {
	net.Conn
	budget       *Budget
	raw          syscall.RawConn
	maxHeadBytes func() int

	mu    sync.Mutex
	phase Phase
	// since is when the phase began; the phase Uploading begins again with each byte.
	since time.Time
	// served counts the answers.
	served int
	// isOwned is set once the owner keeps the account by Set.
	isOwned bool
	// headBytes and headLines are the size of the head so far, and isEmpty that it is line ends only.
	headBytes int
	headLines int
	isEmpty   bool
	// held is the memory that the connection has drawn, extra the part of it that Hold has added.
	held  int64
	extra int64
	// unread is the number of bytes that waited in the kernel at the last scan.
	unread int64
	// writingSince is when the write in progress began, zero if there is none.
	writingSince time.Time
	// readingSince is when the read in progress began, zero if there is none.
	readingSince time.Time
	isRemoved    bool
	// closing is what the connection held when it was closed for lack of something. The mutex of the
	// budget guards it.
	closing int64
}

func newConn(b *Budget, conn net.Conn, now time.Time) *Conn {
	c := &Conn{
		Conn:   conn,
		budget: b,
		since:  now,
	}
	c.raw = rawConn(conn)
	return c
}

// rawConn returns the descriptor of a connection, nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil // it is closed, so that it has no queue
	}
	return raw
}

// HeadBytes returns the memory that a head of a size and number of lines takes while its request is
// served.
func HeadBytes(size, lines int) int64 {
	return int64(headCopies*size + lineBytes*lines)
}

// Read implements net.Conn. It fails with io.EOF once a head is too large.
func (c *Conn) Read(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	c.readingSince = now
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.readingSince = time.Time{}
	c.mu.Unlock()
	if n > 0 && !c.recordRead(p[:n]) {
		c.budget.Counters.Heads.Add(1)
		return 0, io.EOF
	}
	return n, err
}

// recordRead records bytes of a head and reports whether the head may go on.
func (c *Conn) recordRead(p []byte) bool {
	c.mu.Lock()
	if c.isOwned || c.phase == Serving || c.phase == Uploading {
		c.mu.Unlock()
		return true
	}
	if c.phase != Heading {
		c.phase, c.since = Heading, time.Now()
		c.headBytes, c.headLines, c.isEmpty = 0, 0, true
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, lineEnd)
	c.isEmpty = c.isEmpty && IsEmpty(p)
	isTooLarge := c.maxHeadBytes != nil && c.headBytes > c.maxHeadBytes() || c.isEmpty && c.headBytes > maxEmptyBytes
	change := c.setHeld(HeadBytes(c.headBytes, c.headLines))
	c.mu.Unlock()
	c.budget.draw(change)
	return !isTooLarge
}

var lineEnd = []byte("\n")

// IsEmpty reports whether bytes are line ends only.
func IsEmpty(p []byte) bool {
	return len(bytes.Trim(p, "\r\n")) == 0
}

// IsTooEmpty reports whether a head begins with more line ends than are accepted.
func IsTooEmpty(head []byte) bool {
	return len(head) > maxEmptyBytes && IsEmpty(head[:maxEmptyBytes+1])
}

// setHeld sets what the connection holds beside Hold, and returns the change. The caller
// holds mu.
func (c *Conn) setHeld(held int64) int64 {
	change := c.extra + held - c.held
	if c.isRemoved {
		return 0
	}
	c.held += change
	return change
}

// Own lets the owner keep the account by Set, or gives it back to the connection.
func (c *Conn) Own(isOwned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isOwned = isOwned
}

// Set sets the phase and the memory that the owner holds for the connection.
func (c *Conn) Set(phase Phase, held int64) {
	c.mu.Lock()
	if phase != c.phase || phase == Uploading {
		c.phase, c.since = phase, time.Now()
	}
	change := c.setHeld(held)
	c.mu.Unlock()
	if change != 0 {
		c.budget.draw(change)
	}
}

// Hold adds to the memory that the connection holds, or returns some of it.
func (c *Conn) Hold(bytes int64) {
	c.mu.Lock()
	if c.isRemoved {
		c.mu.Unlock()
		return
	}
	c.extra += bytes
	c.held += bytes
	c.mu.Unlock()
	c.budget.draw(bytes)
}

// CanAfford is Budget.CanAfford.
func (c *Conn) CanAfford(bytes int64) bool {
	return c.budget.CanAfford(bytes)
}

// Begin records that the head of a request is complete. The head stays counted until End.
func (c *Conn) Begin() {
	c.setPhase(Serving)
}

// setPhase sets the phase unless the owner does.
func (c *Conn) setPhase(phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOwned {
		c.phase, c.since = phase, time.Now()
	}
}

// TrackBody returns the body of the request in service. Until its end the request is incomplete.
func (c *Conn) TrackBody(body io.ReadCloser) io.ReadCloser {
	c.setPhase(Uploading)
	return &trackedBody{
		ReadCloser: body,
		conn:       c,
	}
}

type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	phase := Uploading
	if err != nil {
		phase = Serving
	}
	b.conn.setPhase(phase)
	return n, err
}

// End records that an answer is complete.
func (c *Conn) End() {
	c.mu.Lock()
	c.served++
	var change int64
	if !c.isOwned {
		c.phase, c.since = Idle, time.Now()
		change = c.setHeld(0)
	}
	c.mu.Unlock()
	if change != 0 {
		c.budget.draw(change)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	c.writingSince = now
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
	return n, err
}

// CloseWrite lets the server send the end before it closes.
func (c *Conn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.budget.mu.Lock()
	c.budget.remove(c)
	c.budget.closing.Add(-c.closing)
	c.closing = 0
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// queued returns the number of bytes that the kernel has received on a connection and that were not read,
// 0 if it is not worth counting.
func queued(raw syscall.RawConn) int64 {
	if raw == nil {
		return 0
	}
	count := 0
	_ = raw.Control(func(descriptor uintptr) {
		count, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCINQ) // 0 on errors
	})
	if count < minScannedBytes {
		return 0
	}
	return int64(count)
}

const (
	// The weights by which the memory of a connection counts when it runs short. A request in service
	// yields an answer.
	servingWeight    = 1
	stalledWeight    = 2
	incompleteWeight = 4
)

// cost returns how much the memory of the connection weighs.
func (c *Conn) cost(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := c.held + c.unread
	switch {
	case c.phase != Serving:
		return incompleteWeight * bytes
	case c.isStalled(now):
		return stalledWeight * bytes
	}
	return servingWeight * bytes
}

// isStalled reports whether an answer is not read. The caller holds mu.
func (c *Conn) isStalled(now time.Time) bool {
	return !c.writingSince.IsZero() && now.Sub(c.writingSince) > stalledTime
}

// isStarved reports whether we wait for bytes that do not come. A body that we do not read, since the
// upstream is slow, does not count. The caller holds mu.
func (c *Conn) isStarved(now time.Time) bool {
	timeout := c.budget.config.Load().HeadTimeout
	return timeout > 0 && !c.readingSince.IsZero() && now.Sub(c.readingSince) > timeout
}

// yield is what a connection may yield. Among those of one rank, the one that has waited longest may
// yield least.
type yield struct {
	rank  yieldRank
	since time.Time
}

// yieldRank orders connections by what they may yield.
type yieldRank int

// The ranks, the connections that yield least first.
const (
	// neverServed has not completed a request yet.
	neverServed yieldRank = iota
	// starvedUpload is an upload of which nothing comes.
	starvedUpload
	// unreadAnswer is one whose answer is not read.
	unreadAnswer
	// idleServed and headingServed have had an answer; the latter sends another request.
	idleServed
	headingServed
	// runningUpload is an upload that goes on.
	runningUpload
)

func (y yield) isBelow(other yield) bool {
	return y.rank < other.rank || y.rank == other.rank && y.since.Before(other.since)
}

// yield returns what the connection may yield; ok is false if a request is in service.
func (c *Conn) yield(now time.Time) (y yield, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	y.since = c.since
	switch {
	case c.phase <= Heading && c.served == 0:
		y.rank = neverServed
	case c.phase == Uploading && c.isStarved(now):
		y.rank = starvedUpload
	case c.isStalled(now):
		y.rank = unreadAnswer
	case c.phase == Idle:
		y.rank = idleServed
	case c.phase == Heading:
		y.rank = headingServed
	case c.phase == Uploading:
		y.rank = runningUpload
	default:
		return yield{}, false
	}
	return y, true
}

type connKey struct{}

// WithConn returns a context of requests that come from a connection.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection from which the request of a context came, nil if it is not known.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn) // nil without one
	return c
}

// Attach lets the connections of a server draw on the budget of its Listener.
func Attach(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil {
			c.Begin()
			held := BodyBytes(r.ContentLength)
			c.Hold(held)
			defer c.Hold(-held)
			if r.ContentLength != 0 {
				r.Body = c.TrackBody(r.Body)
			}
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return WithConn(ctx, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.End()
		}
	}
}

// HasPeerClosed reports whether the peer of the connection from which the request of a context came has
// closed it. Unlike the end of the context, which the server sets a while later, it holds as soon as the
// close has arrived: on a busy host, request and close may both have waited for their turn.
func HasPeerClosed(ctx context.Context) bool {
	c := ConnOf(ctx)
	return c != nil && c.raw != nil && isClosedByPeer(c.raw)
}

const (
	// largeBodyBytes is the length from which bodies pass through large buffers.
	largeBodyBytes = 64 << 10
	// smallBufferBytes and largeBufferBytes are the sizes of the buffers through which bodies of unknown
	// length and large bodies pass.
	smallBufferBytes = 32 << 10
	largeBufferBytes = 256 << 10
)

// BodyBytes returns the memory that a body takes on its way. The length is -1 if it is unknown.
func BodyBytes(length int64) int64 {
	switch {
	case length == 0:
		return 0
	case length > largeBodyBytes:
		return largeBufferBytes
	case length < 0:
		return smallBufferBytes
	}
	return length
}
