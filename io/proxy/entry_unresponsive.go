package proxy

import (
	"context"
	"sync"
	"time"
)

// unresponsivePollInterval is the interval between checks of the host of an attempt.
const unresponsivePollInterval = 100 * time.Millisecond

// unresponsiveWatch cancels an attempt on an unresponsive host.
type unresponsiveWatch struct {
	call    *call
	started time.Time
	cancel  context.CancelFunc

	mu         sync.Mutex
	timer      *time.Timer
	isCanceled bool
	isStopped  bool
}

// watchUnresponsive returns the context of an attempt. If the host becomes unresponsive, requests
// that may run again are retried elsewhere; others wait until their deadline, since they may be
// running. Without a Dialect, there is no watch.
func (c *call) watchUnresponsive() (context.Context, *unresponsiveWatch) {
	if c.entry.config.Dialect == nil {
		return c.ctx, nil
	}
	w := &unresponsiveWatch{
		call:    c,
		started: c.entry.config.Clock.Now(),
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(c.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(unresponsivePollInterval, w.check)
	return ctx, w
}

// check schedules the next check. If the host is unresponsive, it instead puts the host into backoff
// and cancels the attempt if the request may be retried.
func (w *unresponsiveWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	c := w.call
	now := c.entry.config.Clock.Now()
	if !c.entry.balancer.IsUnresponsive(now, w.started, c.choice) {
		w.timer.Reset(unresponsivePollInterval)
		return
	}
	c.entry.balancer.RecordUnresponsive(now, c.choice)
	canRetry := c.idempotent && c.stream == nil && c.receivedAttempts+1 < c.route.Spec.MaxAttempts
	// During a planned stop, waiting for the answer is better than another attempt.
	if canRetry && !c.entry.isLeaving() {
		w.isCanceled = true
		w.cancel()
	}
}

func (w *unresponsiveWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
	w.cancel()
}

func (w *unresponsiveWatch) hasCanceled() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCanceled
}
