package limit

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnreadBytesAreBounded guards against a bound on unread bytes that the kernel lifts for a connection
// which was read fast before.
func TestUnreadBytesAreBounded(t *testing.T) {
	c := qt.New(t)
	const bound = 256 << 10
	none := func(_, _ string, _ syscall.RawConn) error { return nil }
	config := net.ListenConfig{
		Control: WithReceiveBuffer(bound, none),
	}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	sender, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = sender.Close() }()
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			if _, writeErr := sender.Write(buffer); writeErr != nil {
				return
			}
		}
	}()
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	buffer := make([]byte, 64<<10)
	for read := 0; read < 256<<20; {
		n, readErr := accepted.Read(buffer)
		c.Assert(readErr, qt.IsNil)
		read += n
	}
	conn := NewBudget(Config{}).admit(accepted)
	c.Assert(conn, qt.IsNotNil)
	most := int64(0)
	for range 50 {
		most = max(most, queued(conn.raw))
		time.Sleep(2 * time.Millisecond)
	}
	c.Assert(most > 0 && most <= bound, qt.IsTrue, qt.Commentf("%d bytes are unread", most))
}
