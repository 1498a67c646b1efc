package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"verbenaway/core"
	"verbenaway/io/limit"
)

// gateTransport manages the connections to the upstream.
type gateTransport struct {
	config *GateConfig
	// suspectRestart is called when the upstream closes an idle connection and when the last
	// connection is closed, since a restart of the upstream could then go unnoticed.
	suspectRestart func()
	openConns      atomic.Int64
	// current is replaced when the connection limit changes, because http.Transport cannot
	// change it. Requests in flight keep the previous one.
	current atomic.Pointer[limitedTransport]
	mu      sync.Mutex
}

type limitedTransport struct {
	transport *http.Transport
	limit     int
}

// forSnapshot returns the transport with the connection limit of the snapshot.
func (t *gateTransport) forSnapshot(snapshot *core.Snapshot) (*http.Transport, error) {
	service := t.config.Self.Service
	if t.config.Upstream != nil {
		if member, ok := t.config.Upstream(); ok {
			service = member.Host.Service
		}
	}
	limit := snapshot.Services[service].Connections
	current := t.current.Load()
	if current != nil && current.limit == limit {
		return current.transport, nil
	}
	return t.replace(limit)
}

// replace makes a transport with a new connection limit the current one.
func (t *gateTransport) replace(limit int) (*http.Transport, error) {
	if limit < 1 {
		return nil, errors.New("the service has no connections")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if current != nil && current.limit == limit {
		return current.transport, nil
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := t.config.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t.openConns.Add(1)
			return &gateConn{
				Conn:      conn,
				transport: t,
			}, nil
		},
		DisableCompression:  true,
		MaxIdleConns:        limit,
		MaxIdleConnsPerHost: limit,
		MaxConnsPerHost:     limit,
		IdleConnTimeout:     t.config.IdleTimeout,
		// An upstream that does not support Expect gets the body after this time.
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	t.current.Store(&limitedTransport{
		transport: transport,
		limit:     limit,
	})
	if current != nil {
		current.transport.CloseIdleConnections()
	}
	return transport, nil
}

func (t *gateTransport) closeIdle() {
	if current := t.current.Load(); current != nil {
		current.transport.CloseIdleConnections()
	}
}

// gateConn counts the bytes written to the upstream and detects when the upstream closes an idle
// connection.
type gateConn struct {
	net.Conn
	transport *gateTransport
	written   atomic.Int64
	isBusy    atomic.Bool
	isClosed  atomic.Bool
	// requests counts the requests that got the connection.
	requests atomic.Int64

	// writeMu is held during a write.
	writeMu sync.Mutex
	// isReset means that a write has failed because the upstream reset the connection. The kernel reports
	// a reset once, so that reads then find a regular end.
	isReset bool

	mu sync.Mutex
	// refused holds the ids of the latest requests that the upstream refused on the connection, at
	// most maxRefusedIDs, the oldest first.
	refused []string
}

// maxRefusedIDs bounds the ids for which a late copy of a refusal is recognized. A copy comes where one
// of the next answers on the connection is due.
const maxRefusedIDs = 16

func (c *gateConn) recordRefusal(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) == maxRefusedIDs {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.refused = append(c.refused, requestID)
}

func (c *gateConn) hasRefused(requestID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, requestID)
}

// Read implements net.Conn.
func (c *gateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && !c.isBusy.Load() && !c.isClosed.Load() {
		c.transport.suspectRestart()
	}
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = errReset
	}
	return n, err
}

var errReset = errors.New("the upstream reset the connection while the request was written")

// wasReset reports whether the end that was read is that of a connection which the upstream has reset. A
// write in progress may have got the error of the reset but not returned yet; no further one is of use
// after the end.
func (c *gateConn) wasReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.isReset
}

// Close implements net.Conn.
func (c *gateConn) Close() error {
	if !c.isClosed.Swap(true) && c.transport.openConns.Add(-1) == 0 {
		c.transport.suspectRestart()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *gateConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if errors.Is(err, syscall.ECONNRESET) {
		c.isReset = true
	}
	return n, err
}

// ReadFrom streams a body through a pooled buffer; io.Copy would allocate one.
func (c *gateConn) ReadFrom(r io.Reader) (int64, error) {
	return streamTo(c, r)
}

// gateTrace determines whether any byte of a request was written to the upstream.
type gateTrace struct {
	// owner is the connection from which the request came, nil if it is not known.
	owner *limit.Conn

	mu sync.Mutex
	// conn is the connection of the latest attempt, and writtenBefore its byte count when the
	// attempt started.
	conn          *gateConn
	writtenBefore int64
	// isFirst is true if the latest attempt is the first one on its connection.
	isFirst  bool
	sent     bool
	attempts int
	replayed bool
}

func (t *gateTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:     t.gotConn,
		PutIdleConn: t.putIdleConn,
	}
}

func (t *gateTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSent()
	t.replayed = t.replayed || t.sent
	conn, ok := info.Conn.(*gateConn)
	if !ok {
		t.sent = true
		return
	}
	conn.isBusy.Store(true)
	limit.SetOwner(conn.Conn, t.owner)
	t.conn = conn
	t.writtenBefore = conn.written.Load()
	t.isFirst = conn.requests.Add(1) == 1
	t.attempts++
}

// mayBeCopy reports whether an answer may be a late copy of one to an earlier request on the
// connection: it does not name its request, or the entry has sent the request again and the first
// refusal had come on the same connection. Upstreams refuse all requests without an id, so that a copy
// of such a refusal is as good as the refusal itself.
func (t *gateTrace) mayBeCopy(isIdentified bool, requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.isFirst || requestID == "" {
		return false
	}
	return !isIdentified || t.conn.hasRefused(requestID)
}

// recordRefusal records that the upstream refused the request.
func (t *gateTrace) recordRefusal(requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.recordRefusal(requestID)
	}
}

func (t *gateTrace) putIdleConn(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil && t.conn != nil {
		t.conn.isBusy.Store(false)
	}
}

// updateSent sets sent if the latest attempt has written. net/http reports an attempt as failed
// only after its writing goroutine has ended, so the count is final then.
func (t *gateTrace) updateSent() {
	if t.conn != nil && t.conn.written.Load() > t.writtenBefore {
		t.sent = true
	}
}

// release ends the ownership of the connection before another request may get it.
func (t *gateTrace) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		limit.ReleaseOwner(t.conn.Conn, t.owner)
	}
}

// closeConn closes the connection of the latest attempt.
func (t *gateTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}

// isConnected reports whether any attempt got a connection.
func (t *gateTrace) isConnected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts > 0
}

// isSent reports whether any attempt has written.
func (t *gateTrace) isSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateSent()
	return t.sent
}

// isReplayed reports whether net/http sent the request again after writing some of it.
func (t *gateTrace) isReplayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replayed
}

// gateForbidReplay prevents http.Transport from sending a request twice. When a reused
// connection ends before the answer, http.Transport resends a request without a body that has a
// safe method or an Idempotency-Key header. The header therefore gets a lower-case name, which
// http.Transport does not look up but which the upstream reads as the same, and a request with a
// safe method gets an empty body that http.Transport cannot rewind.
func gateForbidReplay(request *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, found := request.Header[name]; found {
			delete(request.Header, name)
			request.Header[gateLowerNames[name]] = values
		}
	}
	if request.Body != nil {
		return
	}
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = gateEmptyBody{}
	}
}

var gateLowerNames = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// gateEmptyBody is an empty body other than http.NoBody.
type gateEmptyBody struct{}

// Read implements io.Reader.
func (gateEmptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close implements io.Closer.
func (gateEmptyBody) Close() error {
	return nil
}
