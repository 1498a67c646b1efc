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
	pool, held := c.gate.holdAnswer(c.request.Method, response)
	defer c.gate.heldBytes.Add(-held)
	buffered, kind, detail := c.bufferAnswer(pool, response)
	if kind != "" {
		return kind, detail
	}
	if buffered != nil {
		// The upstream is done, however long the answer takes on the link.
		c.finish(true)
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
	c.checkForCrash()
	return c.lostAnswerKind(true), "the answer broke off: " + readErr.Error()
}

// maxHeldBytes bounds the memory for answers of more than maxBufferedBytes that are read completely
// before any of them is sent. Further ones are streamed.
const maxHeldBytes = 8 << 20

// holdAnswer returns the pool for an answer that is read completely, so that its upstream can run the next
// request while a slow link takes it; nil if it is streamed. held is to be subtracted from heldBytes at
// the end.
func (g *Gate) holdAnswer(method string, response *http.Response) (pool *bufferPool, held int64) {
	if g.config.Dialect == nil {
		return nil, 0
	}
	if pool = wholeAnswerPool(method, response); pool != nil {
		return pool, 0
	}
	if method == http.MethodHead || response.ContentLength <= maxBufferedBytes || response.ContentLength > bulkBytes {
		return nil, 0
	}
	if g.heldBytes.Add(bulkBytes) > maxHeldBytes {
		g.heldBytes.Add(-bulkBytes)
		return nil, 0
	}
	return bulkBuffers, bulkBytes
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
		c.checkForCrash()
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
			return checkFieldNames(response.Trailer), writeErr
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
