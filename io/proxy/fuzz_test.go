package proxy

import (
	"bytes"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/limit"
)

// textConn is a connection on which a text arrives in pieces and everything written is accepted.
type textConn struct {
	net.Conn
	mu    sync.Mutex
	text  []byte
	piece int
}

// Read implements net.Conn.
func (c *textConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece)], c.text)
	c.text = c.text[n:]
	return n, nil
}

func (c *textConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *textConn) Close() error                     { return nil }
func (c *textConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *textConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *textConn) SetDeadline(time.Time) error      { return nil }
func (c *textConn) SetReadDeadline(time.Time) error  { return nil }
func (c *textConn) SetWriteDeadline(time.Time) error { return nil }

// onceListener returns one connection.
type onceListener struct {
	conns chan net.Conn
}

var errNoMoreConns = errors.New("no more connections")

// Accept implements net.Listener.
func (l *onceListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, errNoMoreConns
}

// Close implements net.Listener.
func (l *onceListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *onceListener) Addr() net.Addr { return &net.TCPAddr{} }

// emptyView is a view without a configuration.
type emptyView struct {
	core.ConfigView
}

// Snapshot implements core.ConfigView.
func (emptyView) Snapshot() (*core.Snapshot, core.ErrorKind) { return nil, core.Starting }

// requestsIn returns the requests that a server finds in a text, with the listener of the callers or
// without it. The most bytes drawn from the budget while the
// connection is idle with nothing read ahead, or at the end, are returned too.
func requestsIn(text []byte, piece int, isPipelined bool) (requests []string, drawn int64) {
	budget := limit.NewBudget(limit.Config{})
	entry := &Entry{
		config: EntryConfig{
			Config:  emptyView{},
			Journal: &fakeJournal{},
			Clock:   systemClock{},
		},
	}
	entry.Counters.Refusals = new(expvar.Map).Init()
	entry.refusals = newRefusalLog(&entry.config, &entry.Counters)
	once := &onceListener{
		conns: make(chan net.Conn, 1),
	}
	var listener net.Listener = once
	if isPipelined {
		listener = &PipelineListener{
			Listener: &limit.Listener{
				Listener:     once,
				Budget:       budget,
				MaxHeadBytes: entry.MaxHeadBytes,
			},
			Entry: entry,
		}
	}
	closed := make(chan struct{})
	server := entry.Server()
	server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			early := conn.startHandler(r)
			defer conn.endHandler()
			if early != nil {
				defer early.release()
				// Without a configuration it is refused.
				early.join(httptest.NewRecorder(), r)
			}
		}
		size, err := io.Copy(io.Discard, r.Body)
		requests = append(requests, fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", size, " ", err != nil))
	})
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		observeConnState(conn, state)
		if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
			c.mu.Lock()
			if len(c.readAhead) == 0 {
				drawn = max(drawn, budget.Bytes())
			}
			c.mu.Unlock()
		}
		if state == http.StateClosed {
			close(closed)
		}
	}
	once.conns <- &textConn{
		text:  bytes.Clone(text),
		piece: piece,
	}
	close(once.conns)
	_ = server.Serve(listener)
	<-closed
	entry.refusals.flush()
	return requests, max(drawn, budget.Bytes())
}

// checkFraming checks that the reader of pipelined requests finds the same requests as the server alone.
// It awaits the end of a head in the usual form, so that it may find fewer where line ends differ.
func checkFraming(t *testing.T, text []byte, piece int) {
	const maxText = 60 << 10
	if len(text) > maxText || piece < 1 {
		return
	}
	want, _ := requestsIn(text, piece, false)
	got, drawn := requestsIn(text, piece, true)
	isUsual := bytes.Count(text, []byte("\n")) == bytes.Count(text, []byte("\r\n"))
	if !isUsual {
		want = want[:min(len(want), len(got))]
	}
	qt.Check(t, slices.Equal(got, want), qt.IsTrue, qt.Commentf("got %q, want %q", got, want))
	qt.Check(t, drawn, qt.Equals, int64(0))
}

// FuzzHeads guards against heads that the reader of pipelined requests takes for others than the server
// does, and against memory that stays drawn.
func FuzzHeads(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, text := range []string{
		get + get,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\n" + get,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + get,
		"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + get,
		"CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n" + get,
		"\r\n\r\n" + get,
		"GET /a HTTP/1.0\r\n\r\n" + get,
		"GET /a HTTP/1.1\nHost: h\n\n" + get,
	} {
		f.Add([]byte(text), 7)
		f.Add([]byte(text), 4096)
	}
	f.Fuzz(checkFraming)
}

// FuzzChunks is FuzzHeads for the body of a request in chunks and what follows it.
func FuzzChunks(f *testing.F) {
	const head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, text := range []string{
		"3\r\nabc\r\n0\r\n\r\n" + get,
		"3;x=y\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n" + get,
		"0003\r\nabc\r\n0\r\n\r\n" + head + "0\r\n\r\n" + get,
		"fffffffffffffffff\r\nabc",
		"3\r\nabcd\r\n0\r\n\r\n" + get,
		"3\nabc\n0\n\n" + get,
	} {
		f.Add([]byte(text), 5)
		f.Add([]byte(text), 4096)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		checkFraming(t, append([]byte(head), text...), piece)
	})
}
