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
	"sync/atomic"
	"time"

	"verbenaway/io/limit"
)

const (
	// maxReadAheadBytes bounds the bytes buffered beyond what the server has read.
	maxReadAheadBytes = 64 << 10
	// maxEarlyCalls bounds the early calls of a connection.
	maxEarlyCalls = 8
)

var (
	headerEnd = []byte("\r\n\r\n")
	lineEnd   = []byte("\n")
)

// PipelineListener serves pipelined requests of a connection concurrently if they are idempotent
// and have no body. The HTTP server still reads them one by one and answers in order, but the
// handlers of later ones are already running by then. Otherwise a slow answer delays all requests
// behind it, and their deadlines count only from its end.
type PipelineListener struct {
	net.Listener
	// Entry serves the requests.
	Entry *Entry
}

// Accept implements net.Listener.
func (l *PipelineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{
		Conn:  conn,
		entry: l.Entry,
	}
	c.changed.L = &c.mu
	ctx := context.Background()
	if limited, ok := conn.(*limit.Conn); ok {
		limited.Own(true)
		c.limited = limited
		ctx = limit.WithConn(ctx, limited)
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c, nil
}

type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext for connections of a PipelineListener.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	if c.limited != nil {
		ctx = limit.WithConn(ctx, c.limited)
	}
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConn is the connection of a caller. It gives the HTTP server one request at a time and
// can start the following ones early.
type callerConn struct {
	net.Conn
	entry *Entry
	// limited is Conn if it draws on a budget, otherwise nil.
	limited *limit.Conn
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond
	// readAhead holds bytes received from the network that the server has not read yet.
	readAhead []byte
	// currentBytes is the number of leading bytes of readAhead that belong to the request that
	// the server is reading.
	currentBytes int
	// bodyLeft is the number of bytes of its body that are not in readAhead yet.
	bodyLeft int64
	// searchedBytes is the number of leading bytes of readAhead without the end of a head.
	searchedBytes int
	// headCosts is the memory that each head of the requests in service takes, in the order of the
	// requests and with those of early calls; headBytes is their sum.
	headCosts []int64
	headBytes int64
	// isPassThrough is set once the boundaries of requests are unknown; all bytes are then
	// passed through.
	isPassThrough bool
	// hasLastRequest is set once a request was found after whose answer the server closes the
	// connection.
	hasLastRequest bool
	// earlyBytes is the number of bytes of readAhead, after currentBytes, that belong to
	// earlyCalls.
	earlyBytes int
	earlyCalls []*earlyCall
	isHandling bool
	// framedRequests counts the requests whose boundaries are known, startedHandlers those that
	// have got a handler.
	framedRequests  int
	startedHandlers int
	// isReadingAhead means that readAheadLoop is running.
	isReadingAhead bool
	// isReadWaiting means that Read waits for readAheadLoop.
	isReadWaiting bool
	// hasHandler is true from the start of a handler until its answer is complete.
	hasHandler atomic.Bool
	// readDeadline is the read deadline that the server has set, zero for none.
	readDeadline time.Time
	// err ended the reading from the network.
	err error
	// isClosed is set by Close, after which no early call is started.
	isClosed bool
}

// SetReadDeadline implements net.Conn. The server ends a read by a deadline in the past and removes
// the deadline afterwards. An error of the former must not end a later read.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if errors.Is(c.err, os.ErrDeadlineExceeded) && !c.isDeadlinePast() {
		c.err = nil
	}
	if c.isReadWaiting && !c.isReadingAhead {
		c.changed.Broadcast()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// isDeadlinePast reports whether reads fail because of the read deadline. The caller holds mu.
func (c *callerConn) isDeadlinePast() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// Read returns bytes of the server's current request only. While a handler runs, or just before, the
// server reads a single byte to detect a disconnected caller; this read starts readAheadLoop.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isBackground := len(p) == 1
	if isBackground && c.isServing() && !c.isReadingAhead && c.err == nil {
		c.isReadingAhead = true
		go c.readAheadLoop()
	}
	for {
		n := 0
		// Before the handler has started, the next request must stay whole, so that it can be
		// started early.
		if !isBackground || !c.isHandlerDue() {
			n = c.copyNext(p)
		}
		if n > 0 {
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
		case c.isAnswering() && len(c.readAhead) > c.entry.MaxHeadBytes():
			// A head that is too large is refused after the answer before it.
			if c.isDeadlinePast() {
				return 0, os.ErrDeadlineExceeded
			}
			c.waitForChange()
		default:
			c.readMore()
		}
	}
}

// isHandlerDue reports whether the server has got a request whose handler has not started yet.
func (c *callerConn) isHandlerDue() bool {
	return c.startedHandlers < c.framedRequests
}

// isServing reports whether a handler runs or is about to.
func (c *callerConn) isServing() bool {
	return c.isHandling || c.isHandlerDue()
}

// isAnswering reports whether the answer to an earlier request is not complete.
func (c *callerConn) isAnswering() bool {
	return c.isServing() || c.hasHandler.Load()
}

// waitForChange waits for a change of the state. The caller holds mu.
func (c *callerConn) waitForChange() {
	c.isReadWaiting = true
	c.changed.Wait()
	c.isReadWaiting = false
}

// readThrough reads a part of a body without buffering. The caller holds mu, which is released
// during the read.
func (c *callerConn) readThrough(p []byte) (int, error) {
	if !c.isPassThrough {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.bodyLeft = max(c.bodyLeft-int64(n), 0)
	c.account()
	return n, err
}

// readMore reads once from the network. The caller holds mu, which is released during the read.
func (c *callerConn) readMore() {
	buffer := smallBuffers.get()
	defer smallBuffers.put(buffer)
	c.mu.Unlock()
	n, err := c.Conn.Read(*buffer)
	c.mu.Lock()
	c.readAhead = append(c.readAhead, (*buffer)[:n]...)
	c.account()
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.isDeadlinePast() {
		err = nil
	}
	if c.err == nil {
		c.err = err
	}
}

// copyNext copies buffered bytes of the current request to p.
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
		// The header is incomplete, and passing on a part of it would gain nothing.
		return 0
	}
	if c.isPassThrough {
		limit = len(c.readAhead)
	}
	n := copy(p, c.readAhead[:limit])
	c.consume(n)
	return n
}

// consume removes the bytes that the server has read.
func (c *callerConn) consume(n int) {
	c.readAhead = c.readAhead[n:]
	c.searchedBytes = 0
	c.currentBytes = max(c.currentBytes-n, 0)
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	c.changed.Broadcast()
}

// frameNext sets currentBytes and bodyLeft, for the next request once its header is complete, or
// for the rest of the current body.
func (c *callerConn) frameNext() {
	if c.bodyLeft > 0 {
		c.currentBytes = int(min(c.bodyLeft, int64(len(c.readAhead))))
		c.bodyLeft -= int64(c.currentBytes)
		return
	}
	end := c.findHeadEnd()
	if end < 0 {
		return
	}
	head := c.readAhead[:end]
	// The head of an early call was drawn when the call started.
	if c.earlyBytes == 0 && !c.drawHead(head) {
		c.refuseHead(http.StatusServiceUnavailable)
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ContentLength < 0 || request.Header.Get("Upgrade") != "" {
		c.passThrough()
		return
	}
	c.framedRequests++
	c.hasLastRequest = c.hasLastRequest || request.Close
	c.currentBytes = int(min(int64(end)+request.ContentLength, int64(len(c.readAhead))))
	c.bodyLeft = int64(end) + request.ContentLength - int64(c.currentBytes)
	c.earlyBytes = max(c.earlyBytes-c.currentBytes, 0)
	c.account()
}

// readAheadLoop reads from the network while a handler runs.
func (c *callerConn) readAheadLoop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.isServing() && c.err == nil {
		for c.isServing() && len(c.readAhead) >= maxReadAheadBytes {
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
		// The caller has disconnected. The server itself would notice only after answering the
		// requests that it has not read yet.
		c.cancel()
	}
	c.changed.Broadcast()
}

// Close closes the connection and cancels its early calls.
func (c *callerConn) Close() error {
	c.cancel()
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = nil
	c.isClosed = true
	c.dropEarlyCalls()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	return err
}

// hasEarlyCalls reports whether requests behind the current one have been passed on. Once the entry is
// leaving, no further ones are.
func (c *callerConn) hasEarlyCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.earlyCalls) > 0
}

// dropEarlyCalls cancels the early calls that the server will not ask for. The caller holds mu.
func (c *callerConn) dropEarlyCalls() {
	for _, call := range c.earlyCalls {
		call.cancel()
		call.release()
	}
	c.earlyCalls = nil
}

// startEarlyCalls starts the complete requests after the current one that will be answered. The caller
// holds mu.
func (c *callerConn) startEarlyCalls() {
	if !c.isHandling || c.isClosed || c.isPassThrough || c.bodyLeft > 0 || c.entry.isLeaving() {
		return
	}
	if c.isHandlerDue() && len(c.earlyCalls) == 0 {
		// The server already has the next request, which was not started early. An early call would
		// be taken for it.
		return
	}
	for !c.hasLastRequest && len(c.earlyCalls) < maxEarlyCalls {
		rest := c.readAhead[min(c.currentBytes+c.earlyBytes, len(c.readAhead)):]
		end := bytes.Index(rest, headerEnd)
		if end < 0 {
			return
		}
		end += len(headerEnd)
		if !c.drawHead(rest[:end]) {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(rest[:end])))
		if err != nil || request.ContentLength != 0 || request.Method != http.MethodGet {
			c.returnHead(len(c.headCosts) - 1)
			return
		}
		c.hasLastRequest = request.Close
		request.RemoteAddr = c.RemoteAddr().String()
		c.earlyBytes += end
		c.earlyCalls = append(c.earlyCalls, c.entry.startEarly(c, request))
	}
}

// startHandler marks a handler as running and returns the early call for its request, nil if
// there is none.
func (c *callerConn) startHandler(request *http.Request) *earlyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandling = true
	c.hasHandler.Store(true)
	c.startedHandlers++
	if c.limited != nil {
		c.limited.Begin()
	}
	defer c.changed.Broadcast()
	defer c.startEarlyCalls()
	if len(c.earlyCalls) == 0 {
		return nil
	}
	call := c.earlyCalls[0]
	c.earlyCalls = c.earlyCalls[1:]
	if call.matches(request) {
		return call
	}
	// The server rejected an earlier request itself, so that the early calls no longer match
	// its requests.
	call.cancel()
	call.release()
	c.dropEarlyCalls()
	return nil
}

func (c *callerConn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHandling = false
	if len(c.earlyCalls) == 0 && !c.isHandlerDue() {
		c.headCosts, c.headBytes = nil, 0
	}
	c.returnHead(0)
	c.account()
	c.changed.Broadcast()
}
