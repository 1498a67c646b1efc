package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// result is what a caller saw of one request.
type result struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	header http.Header
	body   string
	err    error
}

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("%s: no complete answer after %.3f s: %v", r.id, r.endedAt.Sub(r.sentAt).Seconds(), r.err)
	}
	return fmt.Sprintf("%s: status %d after %.3f s", r.id, r.status, r.endedAt.Sub(r.sentAt).Seconds())
}

// caller sends requests one after the other on a connection that it keeps.
type caller struct {
	host   *host
	client *http.Client
}

func newCaller(h *host) *caller {
	return &caller{
		host: h,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				DisableCompression:  true,
			},
		},
	}
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

var lastID atomic.Int64

// send sends a request and waits for the whole answer, at most for the deadline and a little longer.
func (c *caller) send(ctx context.Context, method, path string, body io.Reader, length int64, deadline time.Duration) result {
	r := result{
		id:     fmt.Sprintf("q%06d", lastID.Add(1)),
		sentAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.address(portCaller)+path, body)
	if err != nil {
		r.err = err
		return r
	}
	request.ContentLength = length
	request.Host = meshHost
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			r.status, r.header, r.body = response.StatusCode, response.Header, string(text)
		}
	}
	r.err = err
	r.endedAt = time.Now()
	return r
}
