package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes and connections of sockets. It is safe for concurrent use.
type Traffic struct {
	Received    atomic.Int64
	Sent        atomic.Int64
	Connections atomic.Int64
}

// countedConn adds the bytes that it reads and writes to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// wrap counts a connection and its bytes.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	t.Connections.Add(1)
	return &countedConn{
		Conn:    conn,
		traffic: t,
	}
}

// countedListener counts the connections that it accepts and their bytes.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(conn), nil
}

// Dialer returns a dial function that counts its connections and their bytes.
func (t *Traffic) Dialer(base net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := base.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.wrap(conn), nil
	}
}
