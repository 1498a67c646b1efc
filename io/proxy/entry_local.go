package proxy

import (
	"net/http"
	"strings"
)

// sendLocal calls the gatekeeper of the own host in the process.
func (c *call) sendLocal() (r result) {
	c.entry.Counters.LocalAttempts.Add(1)
	w := &localWriter{
		call:   c,
		header: make(http.Header, 8),
	}
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		// Once the answer has begun the caller has to see that it broke off.
		if w.begun && !w.refused {
			c.entry.Counters.Aborted.Add(1)
			c.decideCut()
			panic(fault)
		}
		if fault != http.ErrAbortHandler { //nolint:errorlint // The server compares this panic value the same way.
			panic(fault)
		}
		if c.ctx.Err() != nil {
			r = c.stopped(true)
		} else {
			r = c.broken("no answer from the own upstream")
		}
	}()
	c.entry.config.LocalGate.ServeHTTP(w, c.incoming())
	w.begin(http.StatusOK)
	if w.refused {
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
	c.entry.Counters.Answers.Add(1)
	c.decideEnd("", c.reply.status, "")
	return result{
		answered: true,
	}
}

// incoming builds the request as the gate's own server would.
func (c *call) incoming() *http.Request {
	in := c.request.WithContext(c.tryCtx)
	in.Header = c.header
	in.Body = http.NoBody
	if c.stream != nil || len(c.body) > 0 {
		in.Body = c.bodyReader()
	}
	return in
}

// localWriter takes the answer of the gatekeeper in the process. A refusal stays in it, an
// answer goes on to the caller.
type localWriter struct {
	call    *call
	header  http.Header
	begun   bool
	refused bool
	text    []byte
}

// Header returns the headers of the answer.
func (w *localWriter) Header() http.Header {
	return w.header
}

// WriteHeader decides whether the answer goes to the caller.
func (w *localWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.begin(status)
	}
}

func (w *localWriter) begin(status int) {
	if w.begun {
		return
	}
	w.begun = true
	w.call.learn(w.header)
	w.refused = first(w.header, keyError) != ""
	if !w.refused {
		w.call.entry.balancer.RecordAnswer(w.call.choice)
		w.call.begin(status, w.header)
	}
}

// Write passes a piece of an answer on and keeps the beginning of a refusal.
func (w *localWriter) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	if w.refused {
		w.text = append(w.text, p[:min(len(p), detailBytes-len(w.text))]...)
		return len(p), nil
	}
	if err := w.call.write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// FlushError sends what was written so far. Before the header it does nothing, because the
// gatekeeper may still refuse.
func (w *localWriter) FlushError() error {
	if !w.begun || w.refused {
		return nil
	}
	return w.call.reply.control.Flush()
}

// Flush implements http.Flusher.
func (w *localWriter) Flush() {
	_ = w.FlushError()
}

// Unwrap lets http.ResponseController set deadlines on the caller's connection.
func (w *localWriter) Unwrap() http.ResponseWriter {
	return w.call.reply.w
}
