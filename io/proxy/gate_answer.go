package proxy

import (
	"errors"
	"io"
	"net/http"

	"verbenaway/core"
	"verbenaway/core/admit"
)

// answer copies the answer of the upstream to the caller. A truncated answer must not look
// complete: the returned kind leads to refuse, which aborts the connection.
func (c *gateCall) answer(response *http.Response) (core.ErrorKind, string) {
	header := c.writer.Header()
	gateCopyHeader(header, response.Header, gateNotForCaller)
	c.setOwnHeaders(header)
	if c.recorder != nil {
		c.recorder.start(response.StatusCode, gateCopyHeader(http.Header{}, response.Header, gateNotForCaller))
	}
	var pool *bufferPool
	if c.gate.config.Dialect != nil {
		pool = wholeAnswerPool(c.request.Method, response)
	}
	buffered, kind, detail := c.bufferAnswer(pool, response)
	if kind != "" {
		return kind, detail
	}
	c.wroteHeader = true
	if _, isLocal := c.writer.(*localWriter); !isLocal {
		c.gate.link.Add(c.gate.config.Clock.Now(), response.ContentLength)
	}
	c.writer.WriteHeader(response.StatusCode)
	var readErr, writeErr error
	if buffered != nil {
		_, writeErr = c.writer.Write(*buffered)
		pool.put(buffered)
	} else {
		readErr, writeErr = c.copyAnswer(response)
	}
	switch {
	case readErr == nil && writeErr == nil:
		for name, values := range response.Trailer {
			if !gateNotForCaller[name] {
				header[http.TrailerPrefix+name] = values
			}
		}
		c.gate.counters.Answered.Add(1)
		return "", ""
	case writeErr != nil || c.isAbandoned():
		c.gate.counters.Aborted.Add(1)
		return core.Canceled, "the caller went away during the answer"
	}
	c.gate.counters.Aborted.Add(1)
	if !c.gate.config.Clock.Now().Before(c.admitRequest.Deadline) {
		return core.DeadlineInRun, "the deadline passed during the answer"
	}
	c.report(admit.SignalReset, "")
	return c.lostAnswerKind(true), "the answer broke off: " + readErr.Error()
}

// bufferAnswer reads an answer of moderate size completely before any of it is sent, so that a
// truncated one becomes a refusal, after which the entry can use another upstream. It returns nil
// for answers that are streamed.
func (c *gateCall) bufferAnswer(pool *bufferPool, response *http.Response) (*[]byte, core.ErrorKind, string) {
	if pool == nil {
		return nil, "", ""
	}
	buffer := pool.get()
	body := (*buffer)[:response.ContentLength]
	if _, err := io.ReadFull(response.Body, body); err != nil {
		pool.put(buffer)
		header := c.writer.Header()
		clear(header)
		if c.isAbandoned() {
			return nil, core.Canceled, "the caller went away during the answer"
		}
		if !c.gate.config.Clock.Now().Before(c.admitRequest.Deadline) {
			return nil, core.DeadlineInRun, "the deadline passed during the answer"
		}
		c.report(admit.SignalReset, "")
		return nil, c.lostAnswerKind(true), "the answer broke off: " + err.Error()
	}
	*buffer = body
	return buffer, "", ""
}

// copyAnswer streams the body. An answer of unknown length is flushed after each read, since it
// may be a stream of messages.
func (c *gateCall) copyAnswer(response *http.Response) (readErr, writeErr error) {
	pool := poolFor(response.ContentLength)
	pooled := pool.get()
	defer pool.put(pooled)
	buffer := *pooled
	flush := func() {}
	if response.ContentLength < 0 {
		controller := http.NewResponseController(c.writer)
		flush = func() {
			_ = controller.Flush()
		}
	}
	flush()
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && writeErr == nil {
			_, writeErr = c.writer.Write(buffer[:n])
			flush()
		}
		if !c.recordAnswer(buffer[:n], err) && writeErr != nil {
			return nil, writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
	}
}

// recordAnswer stores a part of the answer for duplicates. It returns false if only the caller
// needs the rest.
func (c *gateCall) recordAnswer(piece []byte, err error) bool {
	if c.recorder == nil {
		return false
	}
	c.recorder.add(piece)
	c.recorder.complete = errors.Is(err, io.EOF)
	return !c.recorder.overflow
}
