package proxy

import (
	"net/http"
	"strings"
	"time"
)

// sendLocal calls the gatekeeper on the local host within the process.
func (c *call) sendLocal() (r result) {
	c.entry.Counters.LocalAttempts.Add(1)
	w := &localWriter{
		call:   c,
		header: make(http.Header, 8),
	}
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		// Once the answer has started, the abort shows the caller that it is incomplete.
		if w.isStarted && !w.isRefusal {
			c.entry.Counters.Aborted.Add(1)
			c.logCut(answerBrokeOff)
			panic(recovered)
		}
		if recovered != http.ErrAbortHandler { //nolint:errorlint // The server compares this panic value the same way.
			panic(recovered)
		}
		if c.ctx.Err() != nil {
			r = c.interrupted(true)
		} else {
			r = c.lostAnswer("no answer from the own upstream")
		}
	}()
	c.entry.config.LocalGate.ServeHTTP(w, c.localRequest())
	w.start(http.StatusOK)
	if w.isRefusal {
		r, _ = c.refusal(w.header, func() string {
			return refusalDetail(w.text)
		})
		return r
	}
	for name, values := range w.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			c.reply.w.Header()[name] = values
		}
	}
	c.countAnswer()
	return result{
		answered: true,
	}
}

// localRequest returns the request as the HTTP server of the gatekeeper would pass it on.
func (c *call) localRequest() *http.Request {
	in := c.request.WithContext(c.attemptCtx)
	in.Header = c.header
	in.Body = http.NoBody
	if c.stream != nil || len(c.body) > 0 {
		in.Body = c.bodyReader()
	}
	return in
}

// localWriter is the ResponseWriter for the local gatekeeper. It keeps a refusal and passes an
// answer of the upstream on to the caller.
type localWriter struct {
	call      *call
	header    http.Header
	isStarted bool
	isRefusal bool
	text      []byte
}

// Header implements http.ResponseWriter.
func (w *localWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter. It drops informational (1xx) responses other than 101.
func (w *localWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.start(status)
	}
}

// start sends the status and headers to the caller unless the answer is a refusal.
func (w *localWriter) start(status int) {
	if w.isStarted {
		return
	}
	w.isStarted = true
	w.call.recordAnswerHeaders(w.header)
	w.isRefusal = firstValue(w.header, keyError) != ""
	if !w.isRefusal && !w.call.watch.beginAnswer() {
		// Nothing was sent to the caller, so that the request can be retried.
		w.isStarted = false
		panic(http.ErrAbortHandler)
	}
	if !w.isRefusal {
		w.call.entry.balancer.RecordAnswer(w.call.choice)
		w.call.writeHeader(status, w.header)
	}
}

// Write passes on a part of an answer, or keeps the beginning of a refusal.
func (w *localWriter) Write(p []byte) (int, error) {
	w.start(http.StatusOK)
	if w.isRefusal {
		w.text = append(w.text, p[:min(len(p), maxDetailBytes-len(w.text))]...)
		return len(p), nil
	}
	if err := w.call.write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// FlushError sends what was written so far. It does nothing before the headers, because the
// gatekeeper may still refuse.
func (w *localWriter) FlushError() error {
	if !w.isStarted || w.isRefusal {
		return nil
	}
	return w.call.reply.control.Flush()
}

// Flush implements http.Flusher.
func (w *localWriter) Flush() {
	_ = w.FlushError()
}

// SetReadDeadline ends a read of a streamed body; the gatekeeper sets only deadlines in the past. A
// buffered body needs none: on the caller's connection it would look like a disconnected caller.
func (w *localWriter) SetReadDeadline(time.Time) error {
	if stream := w.call.stream; stream != nil {
		stream.interrupt(w.call.reply.control)
	}
	return nil
}

// Unwrap lets http.ResponseController set deadlines on the connection of the caller.
func (w *localWriter) Unwrap() http.ResponseWriter {
	return w.call.reply.w
}
