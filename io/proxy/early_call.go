package proxy

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
)

// earlyBytes bounds the answer that is kept for a request that is not due yet; a larger one
// waits until it is.
const earlyBytes = 256 << 10

// earlyCall is a request that began before the server came to it. It is the ResponseWriter of
// its handler: it keeps the answer until join, and passes it on from then on.
type earlyCall struct {
	request *http.Request
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	header  http.Header
	status  int
	kept    []byte
	// target is the answer that the server has come to, nil before.
	target http.ResponseWriter
	// isDeclined says that the request has to wait until it is due.
	isDeclined bool
	fault      any
}

// beginEarly begins a request if it is one that may run more than once: if the connection
// ends before it is due, the caller sends it again.
func (e *Entry) beginEarly(parent context.Context, request *http.Request) *earlyCall {
	ctx, cancel := context.WithCancel(parent)
	call := &earlyCall{
		request: request.WithContext(ctx),
		cancel:  cancel,
		done:    make(chan struct{}),
		header:  http.Header{},
	}
	call.changed.L = &call.mu
	context.AfterFunc(ctx, call.wake)
	go call.run(e)
	return call
}

// run carries the request.
func (c *earlyCall) run(e *Entry) {
	defer close(c.done)
	defer func() {
		if fault := recover(); fault != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.fault = fault
		}
	}()
	c.isDeclined = !e.serve(c, c.request, true)
}

// isFor tells whether the server has come to this request.
func (c *earlyCall) isFor(request *http.Request) bool {
	return c.request.RequestURI == request.RequestURI && c.request.Host == request.Host &&
		maps.EqualFunc(c.request.Header, request.Header, slices.Equal[[]string])
}

// join passes the answer on; it returns false if the request did not begin.
func (c *earlyCall) join(w http.ResponseWriter, request *http.Request) bool {
	defer context.AfterFunc(request.Context(), c.cancel)()
	defer c.cancel()
	c.mu.Lock()
	c.target = w
	c.passOn()
	c.changed.Broadcast()
	c.mu.Unlock()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil {
		panic(c.fault)
	}
	return !c.isDeclined
}

// passOn writes what is kept. The caller holds the mutex.
func (c *earlyCall) passOn() {
	if c.target == nil || c.status == 0 {
		return
	}
	maps.Copy(c.target.Header(), c.header)
	c.target.WriteHeader(c.status)
	c.status = 0
	// An error shows again at the next write or at the end of the handler.
	_, _ = c.target.Write(c.kept)
	c.kept = nil
}

func (c *earlyCall) wake() {
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
	c.status = status
	c.passOn()
}

// Write implements http.ResponseWriter.
func (c *earlyCall) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.target == nil && len(c.kept)+len(p) > earlyBytes {
		if err := c.request.Context().Err(); err != nil {
			return 0, err
		}
		c.changed.Wait()
	}
	if c.target != nil {
		return c.target.Write(p)
	}
	c.kept = append(c.kept, p...)
	return len(p), nil
}

// FlushError implements the interface that http.ResponseController looks for.
func (c *earlyCall) FlushError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == nil {
		return nil
	}
	return http.NewResponseController(c.target).Flush()
}
