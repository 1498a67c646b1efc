package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"verbenaway/core"
)

// observeConnState is the http.Server.ConnState for connections of a PipelineListener. A connection is
// idle once an answer was sent completely.
func observeConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.endAnswer()
	}
}

// endAnswer records that the answer of a handler was sent completely.
func (c *callerConn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasHandler.Store(false)
	if c.limited != nil {
		c.limited.End()
	}
	c.account()
	c.changed.Broadcast()
}

// Write implements net.Conn. What the server sends without a handler is its own answer to bytes that
// it does not accept as a request.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.hasHandler.Load() {
		c.recordServerAnswer(p)
	}
	return c.Conn.Write(p)
}

// recordServerAnswer counts and logs an answer of the HTTP server itself. The number of requests
// before it tells a new connection from one on which a request or an answer had a wrong length.
func (c *callerConn) recordServerAnswer(p []byte) {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(p)), nil)
	if err != nil || response.StatusCode < http.StatusMultipleChoices {
		return
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	if len(text) == 0 {
		text = []byte(response.Status)
	}
	c.mu.Lock()
	requests := c.startedHandlers
	c.mu.Unlock()
	detail := fmt.Sprintf("%s, after %d requests of %s", text, requests, c.RemoteAddr())
	c.entry.refusals.add(core.ProtocolError, detail)
	if decisions := c.entry.config.Decisions; decisions != nil {
		decisions.RecordDecision(core.Decision{
			Kind:   core.DecisionRefused,
			Error:  core.ProtocolError,
			Status: response.StatusCode,
			Detail: detail,
		})
	}
}
