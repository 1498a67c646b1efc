package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"verbenaway/core"
)

// canDelegate reports whether another upstream may run a claimed request that the local one did
// not take. The body must be unread, and the refusal must have a cause that may not apply to
// another upstream: the local zone is out, the local daemon or upstream is leaving, or the
// upstream is cold, full or unreachable.
func (c *gateCall) canDelegate(kind core.ErrorKind) bool {
	info := kind.Info()
	return kind != "" && c.gate.delegate != nil && c.outcome == gateNotRun && c.body == nil &&
		info.NotRun && info.Retry && !isCanceled(kind) && kind != core.SuspectView && kind != core.Starting
}

// delegate lets another upstream run the request. The key stays claimed here meanwhile, so that
// duplicates still wait for this request.
func (c *gateCall) delegate() (core.ErrorKind, string) {
	left := c.admitRequest.Deadline.Sub(c.gate.config.Clock.Now())
	if left <= 0 {
		return core.DeadlineBeforeRun, "the deadline passed before the request was delegated"
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), left)
	defer cancel()
	request := c.request.Clone(ctx)
	request.Header[keyTimeout] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	w := &claimedWriter{
		call:   c,
		header: make(http.Header, 8),
	}
	// The request may be running until the answer says otherwise; a panic completes the key with
	// this outcome.
	c.outcome = gateUnknown
	c.gate.counters.Delegated.Add(1)
	c.gate.delegate(w, request)
	w.start(http.StatusOK)
	if w.isRefusal {
		return w.refusal()
	}
	c.recorder.complete = true
	return "", ""
}

// claimedWriter receives the answer to a delegated request. It sends an answer to the caller and
// records it for duplicates, but holds back a refusal.
type claimedWriter struct {
	call      *gateCall
	header    http.Header
	isStarted bool
	isRefusal bool
	text      []byte
}

// Header implements http.ResponseWriter.
func (w *claimedWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter. It ignores informational responses.
func (w *claimedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.start(status)
	}
}

func (w *claimedWriter) start(status int) {
	if w.isStarted {
		return
	}
	w.isStarted = true
	w.isRefusal = firstValue(w.header, keyError) != ""
	if w.isRefusal {
		return
	}
	c := w.call
	c.outcome = gateDone
	c.recorder.start(status, gateCopyHeader(http.Header{}, w.header, gateNotForCaller))
	header := c.writer.Header()
	gateCopyHeader(header, w.header, gateNotForCaller)
	c.setOwnHeaders(header)
	c.wroteHeader = true
	c.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter. As with the local upstream, recording continues if the
// caller disconnects.
func (w *claimedWriter) Write(p []byte) (int, error) {
	w.start(http.StatusOK)
	if w.isRefusal {
		w.text = append(w.text, p[:min(len(p), maxDetailBytes-len(w.text))]...)
		return len(p), nil
	}
	w.call.recorder.add(p)
	if _, err := w.call.writer.Write(p); err != nil && w.call.recorder.overflow {
		return 0, err
	}
	return len(p), nil
}

// Unwrap lets http.ResponseController set deadlines on the connection to the entry.
func (w *claimedWriter) Unwrap() http.ResponseWriter {
	return w.call.writer
}

// refusal returns the kind and detail of a refusal. If the refusal says that the request has not
// run, so does the outcome of the call.
func (w *claimedWriter) refusal() (core.ErrorKind, string) {
	if firstValue(w.header, keyOutcome) == OutcomeNotRun {
		w.call.outcome = gateNotRun
	}
	return core.ErrorKind(firstValue(w.header, keyError)), strings.TrimSpace(string(w.text))
}
