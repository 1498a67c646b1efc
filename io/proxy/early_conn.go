package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
)

const (
	// aheadBytes bounds what is read from a caller before its request is due.
	aheadBytes = 64 << 10
	// mostEarly bounds the requests of one connection that begin before they are due.
	mostEarly = 8
)

var headerEnd = []byte("\r\n\r\n")

// EarlyListener lets requests that a caller sends before the answer to the former one begin
// at once. The HTTP server still takes them one after the other and answers in order; each
// one then finds its answer ready. Without it a slow answer delays all requests behind it,
// and their time to the deadline seems to begin only when it ends.
type EarlyListener struct {
	net.Listener
	// Entry carries the requests.
	Entry *Entry
}

// Accept implements net.Listener.
func (l *EarlyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &callerConn{
		Conn:   conn,
		entry:  l.Entry,
		ctx:    ctx,
		cancel: cancel,
	}
	c.changed.L = &c.mu
	return c, nil
}

type callerConnKey struct{}

// withCallerConn is http.Server.ConnContext for connections of an EarlyListener.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// callerConn is the connection of a caller. It hands the HTTP server one request at a time,
// so that what follows stays visible here.
type callerConn struct {
	net.Conn
	entry *Entry
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond
	// ahead holds bytes that were read from the network and not yet by the server.
	ahead []byte
	// due is the number of leading bytes of ahead that belong to the request that the server
	// reads now.
	due int
	// bodyLeft is the number of bytes of its body that are not in ahead yet.
	bodyLeft int64
	// isOpaque is set once the boundaries of requests are no longer known; everything passes
	// through then.
	isOpaque bool
	// looked is the number of bytes of ahead, beyond due, that early requests were made of.
	looked int
	early  []*earlyCall
	// isBusy says that a handler runs.
	isBusy bool
	// isPumping says that a goroutine reads from the network.
	isPumping bool
	// isWaiting says that Read waits for that goroutine.
	isWaiting bool
	err       error
}

// Read gives the server what belongs to its current request. A read of a single byte is how
// the server watches for a caller who goes away while a handler runs; a goroutine reads ahead
// from then on.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy && len(p) == 1 && !c.isPumping && c.err == nil {
		c.isPumping = true
		go c.pump()
	}
	for {
		if n := c.take(p); n > 0 {
			return n, nil
		}
		if c.err != nil {
			err := c.err
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.err = nil
			}
			return 0, err
		}
		switch {
		case c.isPumping:
			c.await()
		case len(c.ahead) == 0 && (c.isOpaque || c.bodyLeft > 0):
			return c.readThrough(p)
		default:
			c.fill()
		}
	}
}

// await waits until the state changes. The caller holds the mutex.
func (c *callerConn) await() {
	c.isWaiting = true
	c.changed.Wait()
	c.isWaiting = false
}

// readThrough reads a part of a body without a copy. The caller holds the mutex.
func (c *callerConn) readThrough(p []byte) (int, error) {
	if !c.isOpaque {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.bodyLeft = max(c.bodyLeft-int64(n), 0)
	return n, err
}

// fill reads once from the network. The caller holds the mutex, which is free meanwhile.
func (c *callerConn) fill() {
	buffer := smallBuffers.get()
	defer smallBuffers.put(buffer)
	c.mu.Unlock()
	n, err := c.Conn.Read(*buffer)
	c.mu.Lock()
	c.ahead = append(c.ahead, (*buffer)[:n]...)
	if c.err == nil {
		c.err = err
	}
}

// take copies the next bytes for the server.
func (c *callerConn) take(p []byte) int {
	if c.isOpaque {
		n := copy(p, c.ahead)
		c.drop(n)
		return n
	}
	if c.due == 0 {
		c.frame()
	}
	limit := c.due
	if limit == 0 && !c.isOpaque {
		// The headers are not complete yet; handing out a part is as good as waiting.
		return 0
	}
	if c.isOpaque {
		limit = len(c.ahead)
	}
	n := copy(p, c.ahead[:limit])
	c.drop(n)
	return n
}

// drop forgets bytes that the server has taken.
func (c *callerConn) drop(n int) {
	c.ahead = c.ahead[n:]
	c.due = max(c.due-n, 0)
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	c.changed.Broadcast()
}

// frame finds the end of the next request if its headers are there.
func (c *callerConn) frame() {
	if c.bodyLeft > 0 {
		c.due = int(min(c.bodyLeft, int64(len(c.ahead))))
		c.bodyLeft -= int64(c.due)
		return
	}
	end := bytes.Index(c.ahead, headerEnd)
	if end < 0 {
		c.isOpaque = len(c.ahead) >= aheadBytes
		return
	}
	end += len(headerEnd)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.ahead[:end])))
	if err != nil || request.ContentLength < 0 || request.Header.Get("Upgrade") != "" {
		c.isOpaque = true
		return
	}
	c.due = int(min(int64(end)+request.ContentLength, int64(len(c.ahead))))
	c.bodyLeft = int64(end) + request.ContentLength - int64(c.due)
	c.looked = max(c.looked-c.due, 0)
}

// pump reads ahead while a handler runs.
func (c *callerConn) pump() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.isBusy && c.err == nil {
		for c.isBusy && len(c.ahead) >= aheadBytes {
			c.changed.Wait()
		}
		c.fill()
		c.lookAhead()
		c.changed.Broadcast()
	}
	c.isPumping = false
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		if !c.isWaiting {
			c.err = nil
		}
	} else if c.err != nil {
		// The caller is gone. The server itself would notice only after the answers to the
		// requests that it has not read yet.
		c.cancel()
	}
	c.changed.Broadcast()
}

// Close ends the connection and the requests that began early.
func (c *callerConn) Close() error {
	c.cancel()
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = nil
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	return err
}

// lookAhead begins the complete requests behind the current one. The caller holds the mutex.
func (c *callerConn) lookAhead() {
	if !c.isBusy || c.isOpaque || c.bodyLeft > 0 || c.entry.isLeaving() {
		return
	}
	for len(c.early) < mostEarly {
		rest := c.ahead[min(c.due+c.looked, len(c.ahead)):]
		end := bytes.Index(rest, headerEnd)
		if end < 0 {
			return
		}
		end += len(headerEnd)
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(rest[:end])))
		if err != nil || request.ContentLength != 0 || request.Method != http.MethodGet {
			return
		}
		request.RemoteAddr = c.RemoteAddr().String()
		c.looked += end
		c.early = append(c.early, c.entry.beginEarly(c.ctx, request))
	}
}

// begin tells that a handler runs, and returns the call that began early for its request,
// nil if there is none.
func (c *callerConn) begin(request *http.Request) *earlyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBusy = true
	defer c.lookAhead()
	if len(c.early) == 0 {
		return nil
	}
	first := c.early[0]
	c.early = c.early[1:]
	if first.isFor(request) {
		return first
	}
	// The server refused a request on its own, so that the order is lost.
	first.cancel()
	for _, other := range c.early {
		other.cancel()
	}
	c.early = nil
	return nil
}

// end tells that the handler has ended.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBusy = false
	c.changed.Broadcast()
}
