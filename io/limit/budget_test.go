package limit

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeListener returns a listener whose connections are those of the returned dial function.
func pipeListener(budget *Budget, maxHeadBytes int) (listener *Listener, dial func() (client net.Conn, server *Conn)) {
	conns := make(chan net.Conn, 1)
	listener = &Listener{
		Listener:     chanListener{conns: conns},
		Budget:       budget,
		MaxHeadBytes: func() int { return maxHeadBytes },
	}
	return listener, func() (net.Conn, *Conn) {
		client, server := net.Pipe()
		conns <- server
		conn, _ := listener.Accept()
		limited, _ := conn.(*Conn)
		return client, limited
	}
}

type chanListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l chanListener) Accept() (net.Conn, error) {
	return <-l.conns, nil
}

// isClosed reports whether the server has closed a connection.
func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestFirstClosed guards against ordinary callers that are closed before connections that cost more or
// yield less, for each of the two things that may run short. In each case the first connection goes, then
// the second one.
func TestFirstClosed(t *testing.T) {
	const (
		bytes       = 100 << 10
		headTimeout = 10 * time.Second
	)
	now := time.Now()
	state := func(phase Phase, served int, held int64, age time.Duration) func(*Conn) {
		return func(c *Conn) {
			c.Own(true)
			c.Set(phase, held)
			c.served, c.since = served, now.Add(-age)
		}
	}
	stalled := func(c *Conn) {
		state(Serving, 1, bytes, 0)(c)
		c.writingSince = now.Add(-2 * stalledTime)
	}
	starved := func(c *Conn) {
		state(Uploading, 0, 0, 0)(c)
		c.readingSince = now.Add(-2 * headTimeout)
	}
	cases := []struct {
		name      string
		forMemory bool
		// states are those of the connections, the first closed first.
		states []func(*Conn)
	}{
		{name: "least yield", states: []func(*Conn){
			state(Heading, 0, 0, time.Minute),
			state(Idle, 0, 0, time.Second),
			starved,
			stalled,
			state(Idle, 5, 0, time.Minute),
			state(Idle, 5, 0, 0),
			state(Heading, 5, 0, 0),
			state(Uploading, 0, 0, 2*headTimeout),
			state(Uploading, 0, 0, 0),
		}},
		{name: "in service", states: []func(*Conn){
			state(Idle, 9, 0, 0),
			state(Serving, 0, 0, time.Minute),
		}},
		{name: "memory", forMemory: true, states: []func(*Conn){
			state(Heading, 0, 2*bytes, 0),
			state(Uploading, 1, bytes, 0),
			stalled,
			state(Serving, 1, bytes, 0),
			state(Serving, 1, 1<<10, 0),
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(Config{})
			_, dial := pipeListener(b, 0)
			var clients []net.Conn
			for i := range tc.states {
				client, conn := dial()
				clients = append(clients, client)
				tc.states[len(tc.states)-1-i](conn)
			}
			for i := range tc.states[:len(tc.states)-1] {
				if tc.forMemory {
					b.Configure(Config{Bytes: b.Bytes() - 1})
					b.draw(1)
				} else {
					b.Configure(Config{Conns: len(b.conns), HeadTimeout: headTimeout})
					b.makeRoom()
				}
				b.Configure(Config{})
				for j, client := range clients {
					c.Assert(isClosed(client), qt.Equals, len(clients)-1-j <= i, qt.Commentf("after %d, connection %d", i+1, len(clients)-1-j))
				}
			}
		})
	}
}

// TestNoRoom guards against connections above the bound, and against a new connection that takes the
// place of requests in service.
func TestNoRoom(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(Config{Conns: 2})
	listener, dial := pipeListener(b, 0)
	_, first := dial()
	_, second := dial()
	first.Begin()
	second.Begin()
	refused, server := net.Pipe()
	go func() { listener.Listener.(chanListener).conns <- server }()
	admitted := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept()
		admitted <- conn
	}()
	_, err := refused.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	second.End()
	c.Assert(second.Close(), qt.IsNil)
	_, server = net.Pipe()
	listener.Listener.(chanListener).conns <- server
	third := <-admitted
	incoming, _ := b.Conns()
	c.Assert(incoming, qt.Equals, 2)
	c.Assert(third.Close(), qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(b.Bytes(), qt.Equals, int64(0))
}

// TestHeads guards against heads that exceed the bound, last too long or are empty, and against a count
// that grows over the requests of a connection.
func TestHeads(t *testing.T) {
	cases := []struct {
		name   string
		sent   []string
		accept bool
	}{
		{name: "requests", sent: []string{strings.Repeat("x", 900), strings.Repeat("x", 900), "\r\n" + strings.Repeat("x", 900)}, accept: true},
		{name: "too large", sent: []string{strings.Repeat("x", 900), strings.Repeat("x", 1001)}},
		{name: "empty lines", sent: []string{"x", strings.Repeat("\r\n", 20)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(Config{})
			_, dial := pipeListener(b, 1000)
			client, conn := dial()
			var err error
			for _, text := range tc.sent {
				go func() { _, _ = io.WriteString(client, text) }()
				for range len(text) {
					if _, err = conn.Read(make([]byte, 1)); err != nil {
						break
					}
				}
				conn.Begin()
				conn.End()
			}
			c.Assert(err == nil, qt.Equals, tc.accept)
			c.Assert(conn.Close(), qt.IsNil)
			c.Assert(b.Bytes(), qt.Equals, int64(0))
		})
	}
	c := qt.New(t)
	b := NewBudget(Config{HeadTimeout: time.Second})
	_, dial := pipeListener(b, 1000)
	client, conn := dial()
	go func() { _, _ = io.WriteString(client, "x") }()
	_, err := conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	b.scan(time.Now())
	c.Assert(isClosed(client), qt.IsFalse)
	b.scan(time.Now().Add(2 * time.Second))
	c.Assert(isClosed(client), qt.IsTrue)
}

// lockConn records whether it is closed while the budget is locked.
type lockConn struct {
	net.Conn
	budget       *Budget
	isClosed     bool
	isLockedThen bool
}

// Close implements net.Conn.
func (c *lockConn) Close() error {
	c.isClosed = true
	if c.isLockedThen = !c.budget.mu.TryLock(); !c.isLockedThen {
		c.budget.mu.Unlock()
	}
	return nil
}

// TestClosesUnlocked guards against sockets that are closed while all other connections wait for the
// budget.
func TestClosesUnlocked(t *testing.T) {
	cases := []struct {
		name  string
		evict func(b *Budget)
	}{
		{name: "memory", evict: func(b *Budget) {
			b.Configure(Config{Bytes: 1})
			b.draw(1)
		}},
		{name: "connections", evict: func(b *Budget) {
			b.Configure(Config{Conns: 1})
			b.makeRoom()
		}},
		{name: "slow head", evict: func(b *Budget) {
			b.Configure(Config{HeadTimeout: time.Second})
			b.scan(time.Now().Add(time.Minute))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			b := NewBudget(Config{})
			conn := &lockConn{
				budget: b,
			}
			limited := b.admit(conn)
			limited.Own(true)
			limited.Set(Heading, 100)
			tc.evict(b)
			c.Assert(conn.isClosed, qt.IsTrue)
			c.Assert(conn.isLockedThen, qt.IsFalse)
		})
	}
}
