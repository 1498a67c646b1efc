package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/io/limit"
)

// TestSenderHasLeft guards against requests that reach an upstream after their senders have closed their
// connections, because the host was too busy to read both in time.
func TestSenderHasLeft(t *testing.T) {
	c := qt.New(t)
	var arrived atomic.Int64
	upstream := newGateRawUpstream(t, func(conn net.Conn, _ int64) bool {
		arrived.Add(1)
		return gateWriteOK(conn)
	})
	rig := newGateRig(t, upstream.address())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	const senders = 40
	for range senders {
		conn, dialErr := net.Dial("tcp", listener.Addr().String())
		c.Assert(dialErr, qt.IsNil)
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\n%s: lookup\r\n%s: 7\r\n\r\n", HeaderRoute, HeaderVersion)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
	}
	server := &http.Server{
		Handler: rig.gate,
	}
	limit.Attach(server)
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(&limit.Listener{
			Listener: listener,
			Budget:   limit.NewBudget(limit.Config{}),
		})
	}()
	for rig.gate.Counters().Requests.Value() < senders || rig.gate.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(arrived.Load(), qt.Equals, int64(0))
	c.Assert(server.Close(), qt.IsNil)
	c.Assert(<-served, qt.Equals, http.ErrServerClosed)
}
