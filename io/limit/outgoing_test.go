package limit

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnreadAnswers guards against memory for answers that the kernel has received and nobody reads: they
// count for the connection of the caller that asked for them, and that one is closed if memory runs short.
func TestUnreadAnswers(t *testing.T) {
	// A connection that is not read receives no more than its buffer.
	const (
		limit         = 100 << 10
		receiveBuffer = 2 * limit
	)
	dialer := &net.Dialer{
		Control: WithReceiveBuffer(receiveBuffer, func(_, _ string, _ syscall.RawConn) error { return nil }),
	}
	cases := []struct {
		name string
		// serves tells whether the connection to the upstream still serves the caller's request.
		serves     bool
		wantClosed bool
	}{
		{name: "in service", serves: true, wantClosed: true},
		{name: "released"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			upstream, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = upstream.Close() }()
			go func() {
				conn, acceptErr := upstream.Accept()
				if acceptErr != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write(make([]byte, 64<<20))
				_, _ = io.Copy(io.Discard, conn)
			}()
			budget := NewBudget(Config{
				Bytes: limit,
			})
			_, dial := pipeListener(budget, 1000)
			client, owner := dial()
			otherClient, other := dial()
			for _, conn := range []*Conn{owner, other} {
				conn.Own(true)
				conn.Set(Serving, 1)
			}
			outgoing, err := budget.Dialer(dialer.DialContext)(c.Context(), "tcp", upstream.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = outgoing.Close() }()
			SetOwner(outgoing, owner)
			if !tc.serves {
				ReleaseOwner(outgoing, other)
				ReleaseOwner(outgoing, owner)
			}
			for end := time.Now().Add(10 * time.Second); queued(rawConn(outgoing.(*outgoingConn).Conn)) <= limit; time.Sleep(time.Millisecond) {
				c.Assert(time.Now().Before(end), qt.IsTrue)
			}
			budget.scan(time.Now())
			c.Check(isClosed(client), qt.Equals, tc.wantClosed)
			c.Check(isClosed(otherClient), qt.IsFalse)
			c.Check(budget.Bytes() <= limit, qt.IsTrue)
		})
	}
}
