package proxy

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenaway/core"
	"verbenaway/io/limit"
)

// refusalTimeout bounds the sending of a refusal of a head.
const refusalTimeout = time.Second

// findHeadEnd returns the length of the head at the start of readAhead, -1 if it is not complete or was
// refused.
func (c *callerConn) findHeadEnd() int {
	from := max(c.searchedBytes-len(headerEnd)+1, 0)
	end := bytes.Index(c.readAhead[from:], headerEnd)
	size := len(c.readAhead)
	if end >= 0 {
		end += from + len(headerEnd)
		size = end
	}
	switch {
	case c.isAnswering() && end < 0:
	case size > c.entry.MaxHeadBytes():
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge)
		return -1
	case limit.IsTooEmpty(c.readAhead):
		c.refuseHead(http.StatusBadRequest)
		return -1
	}
	if end < 0 {
		c.searchedBytes = len(c.readAhead)
	}
	return end
}

// refuseHead answers a head that is not accepted and ends the reading. The caller holds mu, which is
// released during the answer.
func (c *callerConn) refuseHead(status int) {
	if c.isAnswering() {
		// The answers before it come first.
		return
	}
	c.readAhead = nil
	c.searchedBytes = 0
	c.err = io.EOF
	c.account()
	c.mu.Unlock()
	defer c.mu.Lock()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	header := http.Header{
		"Connection":   {"close"},
		"Content-Type": {"text/plain; charset=utf-8"},
	}
	if dialect := c.entry.config.Dialect; dialect != nil && status == http.StatusServiceUnavailable {
		// The memory that is awaited is that of connections which were closed already.
		dialect.SetRefusalHeaders(header, core.Refusal{
			Kind: core.Overloaded,
		})
	}
	var answer bytes.Buffer
	_, _ = answer.WriteString("HTTP/1.1 " + text + "\r\n")
	_ = header.Write(&answer)
	_, _ = answer.WriteString("\r\n" + text)
	if _, err := c.Write(answer.Bytes()); err == nil {
		c.lingerClosed()
	}
}

// lingerClosed sends the end and reads on until the caller closes too. If the connection were closed with
// unread bytes, it would be reset, and the caller could lose the answer.
func (c *callerConn) lingerClosed() {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := smallBuffers.get()
	defer smallBuffers.put(buffer)
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(*buffer)
		if err != nil {
			return
		}
		left -= n
	}
}

// drawHead draws the memory for the request of a head, and reports whether it may be parsed. The caller
// holds mu.
func (c *callerConn) drawHead(head []byte) bool {
	if c.limited == nil {
		return true
	}
	cost := limit.HeadBytes(len(head), bytes.Count(head, lineEnd))
	if !c.limited.CanAfford(cost) {
		return false
	}
	c.headCosts = append(c.headCosts, cost)
	c.headBytes += cost
	c.account()
	return true
}

// returnHead returns the memory of the head at a position in headCosts. The caller holds mu.
func (c *callerConn) returnHead(position int) {
	if position < 0 || position >= len(c.headCosts) {
		return
	}
	c.headBytes -= c.headCosts[position]
	c.headCosts = slices.Delete(c.headCosts, position, position+1)
	c.account()
}

// passThrough lets the server find the boundaries of the requests. The caller holds mu.
func (c *callerConn) passThrough() {
	c.account()
	c.isPassThrough = true
	if c.limited != nil {
		c.limited.Own(false)
	}
}

// account draws what the connection holds from the budget. The caller holds mu.
func (c *callerConn) account() {
	if c.limited == nil || c.isPassThrough {
		return
	}
	phase := limit.Idle
	switch {
	case c.isAnswering() && c.bodyLeft > 0:
		phase = limit.Uploading
	case c.isAnswering():
		phase = limit.Serving
	case len(c.readAhead) > 0:
		phase = limit.Heading
	}
	c.limited.Set(phase, int64(cap(c.readAhead))+c.headBytes)
}
