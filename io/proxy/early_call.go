package proxy

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxEarlyAnswerBytes bounds the buffered answer of an early call. The handler of a larger
// answer blocks until the server reads the request.
const maxEarlyAnswerBytes = 256 << 10

// earlyCall is a pipelined request whose handler starts before the server reads the request. It
// is the ResponseWriter of this handler: it buffers the answer until join and writes to the
// server's ResponseWriter afterwards.
type earlyCall struct {
	conn    *callerConn
	request *http.Request
	cancel  context.CancelFunc
	// release ends the call as a request in flight. It may be called more than once.
	release func()
	done    chan struct{}

	// header belongs to the goroutine of the handler until done is closed; net/http lets a handler set
	// trailers in it while the answer is sent.
	header http.Header

	mu      sync.Mutex
	changed sync.Cond
	// head is the copy of header at WriteHeader.
	head http.Header
	// status is 0 before WriteHeader and once it was written to serverWriter.
	status   int
	buffered []byte
	// isFlushed means that the handler has flushed what is buffered.
	isFlushed bool
	// held is the memory that buffered has drawn.
	held atomic.Int64
	// serverWriter is the ResponseWriter of the server; nil until join.
	serverWriter http.ResponseWriter
	// isDeferred means that the request must wait until the server reads it.
	isDeferred bool
	panicValue any
}

// startEarly starts a request that the server has not read yet. It runs only if it is
// idempotent: if the connection ends before the server reads it, the caller sends it again. It is in
// flight until its answer was sent.
func (e *Entry) startEarly(conn *callerConn, request *http.Request) *earlyCall {
	e.inFlight.Add(1)
	ctx, cancel := context.WithCancel(conn.ctx)
	call := &earlyCall{
		conn:    conn,
		request: request.WithContext(ctx),
		cancel:  cancel,
		done:    make(chan struct{}),
		header:  http.Header{},
	}
	call.changed.L = &call.mu
	call.release = sync.OnceFunc(func() {
		call.returnHeld()
		e.endRequest()
	})
	context.AfterFunc(ctx, call.broadcast)
	go call.run(e)
	return call
}

func (c *earlyCall) run(e *Entry) {
	defer close(c.done)
	defer func() {
		if c.request.Context().Err() != nil {
			// It may have been released before its last write.
			c.returnHeld()
		}
	}()
	defer func() {
		if recovered := recover(); recovered != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.panicValue = recovered
		}
	}()
	c.isDeferred = !e.serve(c, c.request, c.conn, true)
}

// matches reports whether the server has read this request.
func (c *earlyCall) matches(request *http.Request) bool {
	return c.request.RequestURI == request.RequestURI && c.request.Host == request.Host &&
		maps.EqualFunc(c.request.Header, request.Header, slices.Equal[[]string])
}

// join sends the answer to the server's ResponseWriter. It returns false if the request was
// deferred.
func (c *earlyCall) join(w http.ResponseWriter, request *http.Request) bool {
	defer context.AfterFunc(request.Context(), c.cancel)()
	defer c.cancel()
	c.mu.Lock()
	c.serverWriter = w
	c.flushBuffered()
	c.changed.Broadcast()
	c.mu.Unlock()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.panicValue != nil {
		panic(c.panicValue)
	}
	for name, values := range c.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			w.Header()[name] = values
		}
	}
	return !c.isDeferred
}

// flushBuffered writes the buffered answer. The caller holds mu.
func (c *earlyCall) flushBuffered() {
	if c.serverWriter == nil || c.status == 0 {
		return
	}
	maps.Copy(c.serverWriter.Header(), c.head)
	if c.conn.entry.closesAfterAnswer(c.conn) {
		c.serverWriter.Header().Set("Connection", "close")
	}
	c.serverWriter.WriteHeader(c.status)
	c.status = 0
	// An error is reported again by the next write or at the end of the handler.
	_, _ = c.serverWriter.Write(c.buffered)
	if c.isFlushed {
		// Without it, the server could give a short answer a length, and there would be no trailers.
		_ = http.NewResponseController(c.serverWriter).Flush()
	}
	c.buffered = nil
	c.returnHeld()
}

// hold draws memory for the buffered answer.
func (c *earlyCall) hold(bytes int) {
	if limited := c.conn.limited; limited != nil {
		c.held.Add(int64(bytes))
		limited.Hold(int64(bytes))
	}
}

// returnHeld returns what hold has drawn.
func (c *earlyCall) returnHeld() {
	if bytes := c.held.Swap(0); bytes > 0 {
		c.conn.limited.Hold(-bytes)
	}
}

func (c *earlyCall) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// Header implements http.ResponseWriter.
func (c *earlyCall) Header() http.Header {
	return c.header
}

// WriteHeader implements http.ResponseWriter.
func (c *earlyCall) WriteHeader(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = maps.Clone(c.header)
	c.status = status
	c.flushBuffered()
}

// Write implements http.ResponseWriter.
func (c *earlyCall) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.serverWriter == nil && len(c.buffered)+len(p) > maxEarlyAnswerBytes {
		if err := c.request.Context().Err(); err != nil {
			return 0, err
		}
		c.changed.Wait()
	}
	if c.serverWriter != nil {
		return c.serverWriter.Write(p)
	}
	c.hold(len(p))
	c.buffered = append(c.buffered, p...)
	return len(p), nil
}

// FlushError implements the interface that http.ResponseController looks for.
func (c *earlyCall) FlushError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverWriter == nil {
		c.isFlushed = true
		return nil
	}
	return http.NewResponseController(c.serverWriter).Flush()
}
