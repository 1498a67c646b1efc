package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// present is a caller that stays connected and waits for its answers.
type present struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func dialPresent(c *qt.C, address string) *present {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &present{
		conn:   conn.(*net.TCPConn),
		reader: bufio.NewReader(conn),
	}
}

// serveWith serves callers by a server that edit has changed, and returns its address.
func (rig *entryRig) serveWith(c *qt.C, edit func(*http.Server), wrap func(net.Listener) net.Listener) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := rig.entry.Server()
	edit(server)
	go func() { _ = server.Serve(wrap(listener)) }()
	c.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (p *present) send(c *qt.C, text string) {
	_, err := io.WriteString(p.conn, text)
	c.Assert(err, qt.IsNil)
}

// read returns the next answer. It fails the test if the answer says that the request was wrong.
func (p *present) read(c *qt.C) answer {
	_ = p.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	c.Assert(response.StatusCode < 300 || response.StatusCode >= 500, qt.IsTrue, qt.Commentf("%d %s", response.StatusCode, body))
	return answer{
		status:           response.StatusCode,
		kind:             response.Header.Get(HeaderError),
		outcome:          response.Header.Get(HeaderOutcome),
		body:             string(body),
		closesConnection: response.Close,
		err:              err,
	}
}

// TestHalfClosedCaller guards against an answer that calls a proper request wrong: the caller has
// ended its direction of the connection and still reads.
func TestHalfClosedCaller(t *testing.T) {
	c := qt.New(t)
	running := make(chan struct{})
	rig := newEntryRig(t, nil, gateHost("a", startGate(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
	})))
	caller := dialPresent(c, rig.server.Listener.Addr().String())
	caller.send(c, rawRequest("GET", "/lookup", ""))
	<-running
	c.Assert(caller.conn.CloseWrite(), qt.IsNil)
	got := caller.read(c)
	c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	c.Assert(got.outcome, qt.Equals, OutcomeUnknown)
	c.Assert(got.closesConnection, qt.IsTrue)
}

// TestGateCanceled guards against a caller that gets the "canceled" of a gatekeeper although it is
// connected. The gatekeeper is artificial: it answers so without a cause.
func TestGateCanceled(t *testing.T) {
	cases := []struct {
		kind core.ErrorKind
		path string
		want string
		// status is that of the answer if the request did not run.
		status int
	}{
		{kind: core.Canceled, path: "/lookup", want: "ran x"},
		{kind: core.Canceled, path: "/order", status: http.StatusBadGateway},
		{kind: core.CanceledBeforeRun, path: "/lookup", want: "ran x"},
		{kind: core.CanceledBeforeRun, path: "/order", want: "ran x"},
	}
	for _, tc := range cases {
		t.Run(string(tc.kind)+tc.path, func(t *testing.T) {
			c := qt.New(t)
			ran := &runCounter{}
			rig := newEntryRig(t, nil, gateHost("bad", startGate(t, refuseWith(tc.kind))), otherZoneHost("good", startGate(t, ran.handler)))
			caller := dialPresent(c, rig.server.Listener.Addr().String())
			caller.send(c, rawRequest("POST", tc.path, "x"))
			got := caller.read(c)
			if tc.want != "" {
				c.Assert(got.body, qt.Equals, tc.want)
				return
			}
			c.Assert(got.status, qt.Equals, tc.status)
			c.Assert(got.outcome, qt.Equals, OutcomeUnknown)
			c.Assert(ran.of("x"), qt.Equals, 0)
		})
	}
}

// TestContextEndsWithoutCaller guards against an answer that calls a proper request wrong, or that
// claims "not run" wrongly, when the context of its connection ends while the caller waits. The end of
// the context is artificial.
func TestContextEndsWithoutCaller(t *testing.T) {
	cases := []struct {
		name string
		// isRunning means that the upstream has the request when the context ends.
		isRunning bool
		status    int
		outcome   string
	}{
		{name: "before the request", status: http.StatusServiceUnavailable, outcome: OutcomeNotRun},
		{name: "during the request", isRunning: true, status: http.StatusBadGateway, outcome: OutcomeUnknown},
	}
	for _, tc := range cases {
		for _, path := range []string{"/lookup", "/order"} {
			t.Run(tc.name+path, func(t *testing.T) {
				c := qt.New(t)
				var runs atomic.Int32
				running := make(chan struct{}, 1)
				rig := newEntryRig(t, nil, gateHost("a", startGate(t, func(_ http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					running <- struct{}{}
					<-r.Context().Done()
				})))
				ends := make(chan context.CancelFunc, 1)
				address := rig.serveWith(c, func(server *http.Server) {
					server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
						ctx, cancel := context.WithCancel(ctx)
						ends <- cancel
						return ctx
					}
				}, func(listener net.Listener) net.Listener { return listener })
				caller := dialPresent(c, address)
				end := <-ends
				if !tc.isRunning {
					end()
				}
				caller.send(c, rawRequest("POST", path, "x"))
				if tc.isRunning {
					<-running
					end()
				}
				got := caller.read(c)
				c.Assert(got.status, qt.Equals, tc.status)
				c.Assert(got.outcome, qt.Equals, tc.outcome)
				c.Assert(got.closesConnection, qt.IsTrue)
				c.Assert(runs.Load() > 0, qt.Equals, tc.isRunning)
			})
		}
	}
}

// unreadableConn fails its reads after a number of bytes, while writes still succeed.
type unreadableConn struct {
	net.Conn
	left int
}

func (c *unreadableConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, syscall.EHOSTUNREACH
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

type unreadableListener struct {
	net.Listener
	left int
}

func (l *unreadableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unreadableConn{
		Conn: conn,
		left: l.left,
	}, nil
}

// TestUnreadableBody guards against an answer that calls a request wrong because its body could not be
// read from the connection. The error is artificial: a real one mostly ends both directions.
func TestUnreadableBody(t *testing.T) {
	for _, size := range []int{100, maxBufferedBytes + 1} {
		for _, path := range []string{"/lookup", "/order"} {
			t.Run(fmt.Sprint(size, path), func(t *testing.T) {
				c := qt.New(t)
				ran := &runCounter{}
				rig := newEntryRig(t, nil, gateHost("a", startGate(t, ran.handler)))
				text := rawRequest("POST", path, strings.Repeat("b", size))
				address := rig.serveWith(c, func(*http.Server) {}, func(listener net.Listener) net.Listener {
					return &unreadableListener{
						Listener: listener,
						left:     len(text) - 50,
					}
				})
				caller := dialPresent(c, address)
				caller.send(c, text)
				got := caller.read(c)
				c.Assert(got.err, qt.IsNil)
				c.Assert(got.status >= http.StatusInternalServerError, qt.IsTrue)
				c.Assert(got.closesConnection, qt.IsTrue)
			})
		}
	}
}
