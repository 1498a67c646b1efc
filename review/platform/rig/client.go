package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client and what it got.
type attempt struct {
	id     string
	method string
	path   string
	host   *host
	sentAt time.Time
	// status is 0 if the connection ended without a complete answer.
	status    int
	signature string
	body      string
	err       error
	endedAt   time.Time
	// retryAfter is what the answer asks the client to wait.
	retryAfter time.Duration
}

// attempts holds what all clients sent and got.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

func (a *attempts) add(one attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

var requestCount atomic.Int64

func newRequestID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1))
}

// clientConn is a kept connection of a client.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(f *fleet, h *host) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", f.on(h, "outbound"), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// requestText returns a request as it is sent.
func requestText(one attempt, deadline time.Duration, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", one.method, one.path, httpHost, one.id, deadline.Milliseconds())
	if one.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	return text.String()
}

// read reads the answer to a request. isKept tells whether the connection can be used again.
func (c *clientConn) read(one *attempt, deadline time.Duration) (isKept bool) {
	_ = c.conn.SetReadDeadline(one.sentAt.Add(deadline + time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: one.method})
	if err != nil {
		one.err = err
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		one.err = err
		return false
	}
	one.status = response.StatusCode
	one.signature = response.Header.Get("Response-Signature")
	one.body = string(body)
	if wait, waitErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); waitErr == nil {
		one.retryAfter = min(time.Duration(wait*float64(time.Second)), deadline/3)
	}
	return !response.Close
}

// sendOnce sends a request on a connection, opens one if there is none, and returns the connection if it
// can be used again.
func (f *fleet) sendOnce(conn *clientConn, one *attempt, deadline time.Duration, body string) *clientConn {
	defer func() {
		one.endedAt = time.Now()
		f.record.add("client at %s got for %s: status %d, signature %q, error %v", one.host.name, one.id, one.status, one.signature, one.err)
	}()
	if conn == nil {
		var err error
		if conn, err = dialClient(f, one.host); err != nil {
			one.err = err
			return nil
		}
	}
	f.record.add("client at %s sends %s: %s %s", one.host.name, one.id, one.method, one.path)
	one.sentAt = time.Now()
	if _, err := io.WriteString(conn.conn, requestText(*one, deadline, body)); err != nil {
		one.err = err
		_ = conn.conn.Close()
		return nil
	}
	if !conn.read(one, deadline) {
		_ = conn.conn.Close()
		return nil
	}
	return conn
}
