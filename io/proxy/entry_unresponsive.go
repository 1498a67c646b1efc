package proxy

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
)

const (
	// unresponsivePollInterval is the interval between checks of the host of an attempt.
	unresponsivePollInterval = 100 * time.Millisecond
	// probeTimeout bounds the probe of a host. It allows for a connection to another region and a
	// busy daemon.
	probeTimeout = 250 * time.Millisecond
	// probeTries is the number of probes in a row without an answer after which a host is
	// unresponsive. A lost packet delays one of them for longer than probeTimeout.
	probeTries = 2
)

// probeResult is what a probe has shown of a host.
type probeResult int

const (
	// probeNoAnswer means that the gatekeeper did not answer.
	probeNoAnswer probeResult = iota
	// probeSilent means that its upstream has stopped answering.
	probeSilent
	// probeResponsive means that its upstream answers.
	probeResponsive
)

// unresponsiveWatch cancels an attempt on an unresponsive host. It is the only one to end an attempt
// before its deadline, and it cannot once the answer has begun: either the answer or the
// cancellation comes first.
type unresponsiveWatch struct {
	call   *call
	choice route.Choice
	cancel context.CancelFunc
	// canRetry means that the request may be sent to another host after the cancellation.
	canRetry bool

	mu         sync.Mutex
	timer      *time.Timer
	isCanceled bool
	// isEnded is set when the answer begins or the attempt ends.
	isEnded bool
}

// watchUnresponsive returns the context of an attempt. If the host becomes unresponsive, requests
// that may run again are retried elsewhere; others wait until their deadline, since they may be
// running. Without a Dialect, there is no watch.
func (c *call) watchUnresponsive() (context.Context, *unresponsiveWatch) {
	if c.entry.config.Dialect == nil {
		return c.ctx, nil
	}
	w := &unresponsiveWatch{
		call:     c,
		choice:   c.choice,
		canRetry: c.idempotent && c.stream == nil && c.receivedAttempts+1 < c.route.Spec.MaxAttempts,
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
	entry := w.call.entry
	isUnresponsive := w.isUnresponsive()
	if !isUnresponsive {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isEnded {
			w.timer.Reset(unresponsivePollInterval)
		}
		return
	}
	entry.balancer.RecordUnresponsive(entry.config.Clock.Now(), w.choice)
	// During a planned stop, waiting for the answer is better than another attempt.
	if w.canRetry && !entry.isLeaving() {
		w.cancelAttempt()
	}
}

// isUnresponsive probes the host if its answer is overdue.
func (w *unresponsiveWatch) isUnresponsive() bool {
	entry := w.call.entry
	if !entry.balancer.IsSuspect(entry.config.Clock.Now(), w.choice) {
		return false
	}
	result := probeNoAnswer
	for try := 0; try < probeTries && result == probeNoAnswer; try++ {
		result = entry.probe(w.choice.Host)
	}
	if result != probeResponsive {
		return true
	}
	entry.balancer.RecordActivity(entry.config.Clock.Now(), w.choice)
	return false
}

// cancelAttempt cancels the attempt unless its answer has begun.
func (w *unresponsiveWatch) cancelAttempt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isEnded {
		return
	}
	w.isCanceled = true
	w.cancel()
}

// beginAnswer reports whether the attempt may still be answered, which is then no longer canceled.
func (w *unresponsiveWatch) beginAnswer() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isCanceled {
		return false
	}
	w.isEnded = true
	w.timer.Stop()
	return true
}

// stop ends the attempt.
func (w *unresponsiveWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isEnded = true
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

// probe asks the gatekeeper on a host whether its upstream is responsive. Attempts on the same host
// share a probe.
func (e *Entry) probe(host core.Host) probeResult {
	result, _, _ := e.probes.Do(string(host.Name), func() (any, error) {
		e.Counters.Probes.Add(1)
		return e.sendProbe(context.Background(), host.GateAddress, http.Header{
			keyProbe: probeValue,
		}), nil
	})
	return result.(probeResult)
}

// sendProbe sends a probe with headers to a gatekeeper.
func (e *Entry) sendProbe(ctx context.Context, address string, header http.Header) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http",
			Host:   address,
			Path:   "/",
		},
		Header: header,
	}).WithContext(ctx)
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return probeNoAnswer
	}
	defer func() {
		_ = response.Body.Close()
	}()
	switch response.StatusCode {
	case http.StatusNoContent:
		return probeResponsive
	case http.StatusServiceUnavailable:
		return probeSilent
	}
	return probeNoAnswer
}

var probeValue = []string{"true"}
