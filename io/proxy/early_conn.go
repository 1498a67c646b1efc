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
	// maxReadAheadBytes bounds what is read from a caller before its request is due.
	maxReadAheadBytes = 64 << 10
	// maxEarlyCalls bounds the requests of one connection that begin before they are due.
	maxEarlyCalls = 8
)

var headerEnd = []byte("\r\n\r\n")

// PipelineListener lets requests that a caller sends before the answer to the former one begin
// at once. The HTTP server still takes them one after the other and answers in order; each
// one then finds its answer ready. Without it a slow answer delays all requests behind it,
// and their time to the deadline seems to begin only when it ends.
type PipelineListener struct {
	net.Listener
	// Entry carries the requests.
	Entry *Entry
}

// Accept implements net.Listener.
func (l *PipelineListener) Accept() (net.Conn, error) {
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

// withCallerConn is http.Server.ConnContext for connections of an PipelineListener.
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
	// readAhead holds bytes that were read from the network and not yet by the server.
	readAhead []byte
	// currentBytes is the number of leading bytes of ahead that belong to the request that the server
	// reads now.
	currentBytes int
	// bodyLeft is the number of bytes of its body that are not in ahead yet.
	bodyLeft int64
	// isPassThrough is set once the boundaries of requests are no longer known; everything passes
	// through then.
	isPassThrough bool
	// scanned is the number of bytes of ahead, beyond due, that early requests were made of.
	scanned int
	early   []*earlyCall
	// isHandling says that a handler runs.
	isHandling bool
	// isReadingAhead says that a goroutine reads from the network.
	isReadingAhead bool
	// isReadWaiting says that Read waits for that goroutine.
	isReadWaiting bool
	err           error
}

// Read gives the server what belongs to its current request. A read of a single byte is how
// the server watches for a caller who goes away while a handler runs; a goroutine reads ahead
// from then on.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHandling && len(p) == 1 && !c.isReadingAhead && c.err == nil {
		c.isReadingAhead = true
		go c.readAheadLoop()
	}
	for {
		if n := c.copyNext(p); n > 0 {
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
		case c.isReadingAhead:
			c.waitForChange()
		case len(c.readAhead) == 0 && (c.isPassThrough || c.bodyLeft > 0):
			return c.readThrough(p)
		default:
			c.readMore()
		}
	}
}

// waitForChange waits until the state changes. The caller holds the mutex.
func (c *callerConn) waitForChange() {
	c.isReadWaiting = true
	c.changed.Wait()
	c.isReadWaiting = false
}

// readThrough reads a part of a body without a copy. The caller holds the mutex.
func (c *callerConn) readThrough(p []byte) (int, error) {
	if !c.isPassThrough {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.bodyLeft = max(c.bodyLeft-int64(n), 0)
	return n, err
}

// readMore reads once from the network. The caller holds the mutex, which is free meanwhile.
func (c *callerConn) readMore() {
	buffer := smallBuffers.get()
	defer smallBuffers.put(buffer)
	c.mu.Unlock()
	n, err := c.Conn.Read(*buffer)
	c.mu.Lock()
	c.readAhead = append(c.readAhead, (*buffer)[:n]...)
	if c.err == nil {
		c.err = err
	}
}

// copyNext copies the next bytes for the server.
func (c *callerConn) copyNext(p []byte) int {
	if c.isPassThrough {
		n := copy(p, c.readAhead)
		c.consume(n)
		return n
	}
	if c.currentBytes == 0 {
		c.frameNext()
	}
	limit := c.currentBytes
	if limit == 0 && !c.isPassThrough {
		// The headers are not complete yet; handing out a part is as good as waiting.
		return 0
	}
	if c.isPassThrough {
		limit = len(c.readAhead)
	}
	n := copy(p, c.readAhead[:limit])
	c.consume(n)
	return n
}

// consume forgets bytes that the server has taken.
func (c *callerConn) consume(n int) {
	c.readAhead = c.readAhead[n:]
	c.currentBytes = max(c.currentBytes-n, 0)
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	c.changed.Broadcast()
}

// frameNext finds the end of the next request if its headers are there.
func (c *callerConn) frameNext() {
	if c.bodyLeft > 0 {
		c.currentBytes = int(min(c.bodyLeft, int64(len(c.readAhead))))
		c.bodyLeft -= int64(c.currentBytes)
		return
	}
	end := bytes.Index(c.readAhead, headerEnd)
	if end < 0 {
		c.isPassThrough = len(c.readAhead) >= maxReadAheadBytes
		return
	}
	end += len(headerEnd)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.readAhead[:end])))
	if err != nil || request.ContentLength < 0 || request.Header.Get("Upgrade") != "" {
		c.isPassThrough = true
		return
	}
	c.currentBytes = int(min(int64(end)+request.ContentLength, int64(len(c.readAhead))))
	c.bodyLeft = int64(end) + request.ContentLength - int64(c.currentBytes)
	c.scanned = max(c.scanned-c.currentBytes, 0)
}

// readAheadLoop reads ahead while a handler runs.
func (c *callerConn) readAheadLoop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.isHandling && c.err == nil {
		for c.isHandling && len(c.readAhead) >= maxReadAheadBytes {
			c.changed.Wait()
		}
		c.readMore()
		c.startEarlyCalls()
		c.changed.Broadcast()
	}
	c.isReadingAhead = false
	if errors.Is(c.err, os.ErrDeadlineExceeded) {
		if !c.isReadWaiting {
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
	c.readAhead = nil
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	return err
}

// startEarlyCalls begins the complete requests behind the current one. The caller holds the mutex.
func (c *callerConn) startEarlyCalls() {
	if !c.isHandling || c.isPassThrough || c.bodyLeft > 0 || c.entry.isLeaving() {
		return
	}
	for len(c.early) < maxEarlyCalls {
		rest := c.readAhead[min(c.currentBytes+c.scanned, len(c.readAhead)):]
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
		c.scanned += end
		c.early = append(c.early, c.entry.startEarly(c.ctx, request))
	}
}

// startHandler tells that a handler runs, and returns the call that began early for its request,
// nil if there is none.
func (c *callerConn) startHandler(request *http.Request) *earlyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandling = true
	defer c.startEarlyCalls()
	if len(c.early) == 0 {
		return nil
	}
	first := c.early[0]
	c.early = c.early[1:]
	if first.matches(request) {
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

// endHandler tells that the handler has ended.
func (c *callerConn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandling = false
	c.changed.Broadcast()
}
