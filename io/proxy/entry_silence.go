package proxy

import (
	"context"
	"sync"
	"time"
)

// silencePoll is how often the host of an attempt is looked at.
const silencePoll = 100 * time.Millisecond

// silenceWatch ends an attempt at a host that gives no sign of life.
type silenceWatch struct {
	call   *call
	began  time.Time
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	isEnded bool
	isDone  bool
}

// watchSilence returns the context of an attempt. Requests that may run again are tried
// elsewhere when the host is silent; others wait for their deadline, since they may be running.
func (c *call) watchSilence() (context.Context, *silenceWatch) {
	if c.entry.config.Dialect == nil {
		return c.ctx, nil
	}
	w := &silenceWatch{
		call:  c,
		began: c.entry.config.Clock.Now(),
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(c.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silencePoll, w.look)
	return ctx, w
}

// look ends the attempt or looks again later.
func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDone {
		return
	}
	c := w.call
	now := c.entry.config.Clock.Now()
	if !c.entry.balancer.IsUnresponsive(now, w.began, c.choice) {
		w.timer.Reset(silencePoll)
		return
	}
	c.entry.balancer.RecordUnresponsive(now, c.choice)
	mayRepeat := c.idempotent && c.stream == nil && c.arrivals+1 < c.route.Spec.MaxAttempts
	// In a planned stop the answer that may still come is worth more than another attempt.
	if mayRepeat && !c.entry.isLeaving() {
		w.isEnded = true
		w.cancel()
	}
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDone = true
	w.timer.Stop()
	w.cancel()
}

// hasEnded tells whether the watch has ended the attempt.
func (w *silenceWatch) hasEnded() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isEnded
}
