package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"verbenaway/core"
)

// canDelegate tells whether another upstream may run a claimed request that the own one did
// not take. The body has to be untouched, and there has to be a reason to expect better
// elsewhere: a zone that is out, a planned stop, a cold or a full upstream.
func (c *gateCall) canDelegate(kind core.Kind) bool {
	info := kind.Info()
	return kind != "" && c.gate.delegate != nil && c.outcome == gateNotRun && c.body == nil &&
		info.NotRun && info.Retry && kind != core.SuspectView && kind != core.Starting
}

// delegate lets another upstream run the request. The key stays claimed here meanwhile, so
// duplicates are still joined.
func (c *gateCall) delegate() (core.Kind, string) {
	left := c.admitted.Deadline.Sub(c.gate.config.Clock.Now())
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
	// Until the answer says otherwise the request may be running. A panic settles the key so.
	c.outcome = gateUnknown
	c.gate.counters.Delegated.Add(1)
	c.gate.delegate(w, request)
	w.begin(http.StatusOK)
	if w.isRefused {
		return w.refusal()
	}
	c.recorder.complete = true
	return "", ""
}

// claimedWriter takes the answer to a delegated request: it records it for duplicates and
// passes it on, but keeps a refusal.
type claimedWriter struct {
	call      *gateCall
	header    http.Header
	hasBegun  bool
	isRefused bool
	detail    []byte
}

// Header returns the headers of the answer.
func (w *claimedWriter) Header() http.Header {
	return w.header
}

// WriteHeader decides whether the answer goes on.
func (w *claimedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin(status)
	}
}

func (w *claimedWriter) begin(status int) {
	if w.hasBegun {
		return
	}
	w.hasBegun = true
	w.isRefused = first(w.header, keyError) != ""
	if w.isRefused {
		return
	}
	c := w.call
	c.outcome = gateDone
	c.recorder.begin(status, gateCopyHeader(http.Header{}, w.header, gateNotForCaller))
	header := c.writer.Header()
	gateCopyHeader(header, w.header, gateNotForCaller)
	c.setOwnHeaders(header)
	c.wroteHeader = true
	c.writer.WriteHeader(status)
}

// Write passes a piece on. The record goes on without the caller, as for an own upstream.
func (w *claimedWriter) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	if w.isRefused {
		w.detail = append(w.detail, p[:min(len(p), detailBytes-len(w.detail))]...)
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

// refusal returns the kind of a refusal and what is certain about it.
func (w *claimedWriter) refusal() (core.Kind, string) {
	if first(w.header, keyOutcome) == OutcomeNotRun {
		w.call.outcome = gateNotRun
	}
	return core.Kind(first(w.header, keyError)), strings.TrimSpace(string(w.detail))
}
