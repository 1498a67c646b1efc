package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/limit"
)

// heldListener passes its connections through wrap.
type heldListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// heldConn reports its first write and waits with all until proceed is closed.
type heldConn struct {
	net.Conn
	writes  chan struct{}
	proceed chan struct{}
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	select {
	case c.writes <- struct{}{}:
	default:
	}
	<-c.proceed
	return c.Conn.Write(p)
}

// dialBudget is dialPipelined with a budget. A nil wrap leaves the connections as they are.
func dialBudget(t *testing.T, budget *limit.Budget, wrap func(net.Conn) net.Conn, gate http.HandlerFunc, changes ...func(*EntryConfig)) net.Conn {
	t.Helper()
	rig := newEntryRig(t, func(config *EntryConfig) {
		for _, change := range changes {
			change(config)
		}
	}, gateHost("a", startGate(t, gate)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	if wrap != nil {
		listener = &heldListener{
			Listener: listener,
			wrap:     wrap,
		}
	}
	server := rig.entry.Server()
	go func() {
		_ = server.Serve(&PipelineListener{
			Listener: &limit.Listener{
				Listener:     listener,
				Budget:       budget,
				MaxHeadBytes: rig.entry.MaxHeadBytes,
			},
			Entry: rig.entry,
		})
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = server.Close()
	})
	return conn
}

// crowdOut makes connections of listeners give way to outgoing ones.
func crowdOut(budget *limit.Budget) {
	budget.Configure(limit.Config{Conns: 1})
	_, _ = budget.Dialer(func(context.Context, string, string) (net.Conn, error) {
		client, _ := net.Pipe()
		return client, nil
	})(context.Background(), "", "")
}

// TestBudgetGeneralOptions guards against a request that the server answers without a handler, after
// which the connection counts as one in service for good and no longer ends.
func TestBudgetGeneralOptions(t *testing.T) {
	c := qt.New(t)
	budget := limit.NewBudget(limit.Config{})
	conn := dialBudget(t, budget, nil, func(http.ResponseWriter, *http.Request) {})
	_, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: mesh.test\r\n\r\n"+rawRequest("GET", "/lookup/1", ""))
	c.Assert(err, qt.IsNil)
	statuses := readStatuses(c, conn, 2)
	c.Assert(statuses[1], qt.Equals, http.StatusOK)
	waitUntil(t, func() bool {
		// The answer arrives before the server calls the connection idle.
		crowdOut(budget)
		incoming, _ := budget.Conns()
		return incoming == 0
	})
}

// TestBudgetUnsentAnswer guards against a connection that counts as unused once its handler has ended,
// and is closed with an answer that was not sent.
func TestBudgetUnsentAnswer(t *testing.T) {
	c := qt.New(t)
	budget := limit.NewBudget(limit.Config{})
	held := &heldConn{
		writes:  make(chan struct{}, 1),
		proceed: make(chan struct{}),
	}
	conn := dialBudget(t, budget, func(conn net.Conn) net.Conn {
		held.Conn = conn
		return held
	}, func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) })
	_, err := io.WriteString(conn, rawRequest("GET", "/lookup/1", ""))
	c.Assert(err, qt.IsNil)
	<-held.writes
	crowdOut(budget)
	close(held.proceed)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// TestBudgetOfPipeline guards against memory that stays drawn for requests that were answered while
// others follow.
func TestBudgetOfPipeline(t *testing.T) {
	const requests = 400
	c := qt.New(t)
	budget := limit.NewBudget(limit.Config{})
	conn := dialBudget(t, budget, nil, func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, r.URL.Path) })
	go func() { _, _ = io.WriteString(conn, strings.Repeat(rawRequest("GET", "/lookup/1", ""), requests)) }()
	reader := bufio.NewReader(conn)
	most := int64(0)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		most = max(most, budget.Bytes())
	}
	c.Assert(most < 4*maxReadAheadBytes, qt.IsTrue, qt.Commentf("%d bytes", most))
	waitUntil(t, func() bool { return budget.Bytes() == 0 })
}

// TestBudgetOfEarlyAnswers guards against answers of early calls that are buffered and not counted.
func TestBudgetOfEarlyAnswers(t *testing.T) {
	const size, early = 100 << 10, 4
	c := qt.New(t)
	budget := limit.NewBudget(limit.Config{})
	blocked := make(chan struct{})
	proceed := sync.OnceFunc(func() { close(blocked) })
	conn := dialBudget(t, budget, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/first" {
			<-blocked
		}
		_, _ = w.Write(make([]byte, size))
	})
	t.Cleanup(proceed)
	_, err := io.WriteString(conn, rawRequest("GET", "/lookup/first", "")+strings.Repeat(rawRequest("GET", "/lookup/1", ""), early))
	c.Assert(err, qt.IsNil)
	waitUntil(t, func() bool { return budget.Bytes() >= early*size })
	proceed()
	c.Assert(readStatuses(c, conn, 1+early), qt.HasLen, 1+early)
	waitUntil(t, func() bool { return budget.Bytes() == 0 })
}

// TestRefusedHeadArrives guards against the refusal of a head that is lost since the connection is reset
// while the caller still sends.
func TestRefusedHeadArrives(t *testing.T) {
	c := qt.New(t)
	conn := dialBudget(t, limit.NewBudget(limit.Config{}), nil, func(http.ResponseWriter, *http.Request) {})
	text := "GET /lookup/1 HTTP/1.1\r\nX-Long: " + strings.Repeat("x", maxLingerBytes/2)
	_, err := io.WriteString(conn, text)
	c.Assert(err, qt.IsNil)
	c.Assert(readStatuses(c, conn, 1), qt.DeepEquals, []int{http.StatusRequestHeaderFieldsTooLarge})
}

// TestRefusalForMemory guards against a refusal of a head for want of memory that does not have the form
// of the platform, which says when to come back.
func TestRefusalForMemory(t *testing.T) {
	c := qt.New(t)
	conn := dialBudget(t, limit.NewBudget(limit.Config{Bytes: 150 << 10}), nil, func(http.ResponseWriter, *http.Request) {}, func(config *EntryConfig) {
		config.Dialect = fakeDialect{}
	})
	_, err := io.WriteString(conn, "GET /lookup/1 HTTP/1.1\r\nHost: mesh.test\r\n"+strings.Repeat("A: b\r\n", 200)+"\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("X-Kind"), qt.Equals, string(core.Overloaded))
}
