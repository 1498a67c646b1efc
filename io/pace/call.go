package pace

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Limits bound a call.
type Limits struct {
	// Begin is the time until the answer begins, Idle the time without a further byte of it.
	Begin time.Duration
	Idle  time.Duration
	// Total is the time from the beginning of the answer to its end.
	Total time.Duration
}

// Call is a call in progress. It is safe for concurrent use.
type Call struct {
	parent *Call
	limits Limits
	// timer ends the call; it is nil if the call has no limits.
	timer *time.Timer

	mu sync.Mutex
	// begunAt is zero before the answer begins.
	begunAt time.Time
}

type callKey struct{}

// Track returns a context whose call has no limits of its own.
func Track(ctx context.Context) (context.Context, *Call) {
	parent, _ := ctx.Value(callKey{}).(*Call)
	call := &Call{
		parent: parent,
	}
	return context.WithValue(ctx, callKey{}, call), call
}

// WithLimits returns a context that ends once a call made with it exceeds its limits. The call has to
// use a transport that Transport returns; otherwise its answer never begins.
func WithLimits(ctx context.Context, limits Limits) (context.Context, *Call, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, call := Track(ctx)
	call.limits = limits
	call.timer = time.AfterFunc(limits.Begin, func() { cancel(context.DeadlineExceeded) })
	return ctx, call, func() {
		call.timer.Stop()
		cancel(context.Canceled)
	}
}

// IsBegun reports whether a part of the answer has arrived.
func (c *Call) IsBegun() bool {
	return !c.BegunAt().IsZero()
}

// BegunAt returns the time at which the answer began to arrive, zero before.
func (c *Call) BegunAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begunAt
}

// observe records that a part of the answer has arrived.
func (c *Call) observe() {
	for ; c != nil; c = c.parent {
		c.extend(time.Now())
	}
}

func (c *Call) extend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begunAt.IsZero() {
		c.begunAt = now
	}
	// A timer that cannot be stopped has ended the call.
	if c.timer != nil && c.timer.Stop() {
		c.timer.Reset(min(c.limits.Idle, c.begunAt.Add(c.limits.Total).Sub(now)))
	}
}

type transport struct {
	base http.RoundTripper
}

// Transport returns a transport that reports the progress of answers to the calls in the contexts of
// the requests.
func Transport(base http.RoundTripper) http.RoundTripper {
	return &transport{
		base: base,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	call, _ := request.Context().Value(callKey{}).(*Call)
	response, err := t.base.RoundTrip(request)
	if err != nil || call == nil {
		return response, err
	}
	call.observe()
	response.Body = &body{
		ReadCloser: response.Body,
		call:       call,
	}
	return response, nil
}

// CloseIdleConnections closes those of the base transport.
func (t *transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type body struct {
	io.ReadCloser
	call *Call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.call.observe()
	}
	return n, err
}
