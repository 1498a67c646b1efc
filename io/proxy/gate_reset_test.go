package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// resetConn is a connection that its peer has ended. The kernel reports a reset once: the write that gets
// the error leaves io.EOF to reads.
type resetConn struct {
	net.Conn
	writeErr error
	// proceed lets a write return; nil if it returns at once.
	proceed chan struct{}
	// expired is closed by a write deadline in the past, which also ends a write.
	expired   chan struct{}
	expiredBy sync.Once
}

func (c *resetConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.proceed == nil {
		return len(p), c.writeErr
	}
	select {
	case <-c.proceed:
		return 0, c.writeErr
	case <-c.expired:
	}
	// A write that has the error of the connection already returns that.
	select {
	case <-c.proceed:
		return 0, c.writeErr
	case <-time.After(10 * time.Millisecond):
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *resetConn) SetWriteDeadline(time.Time) error {
	c.expiredBy.Do(func() { close(c.expired) })
	return nil
}

// TestEndOfResetConnection guards against the end of a connection that its upstream has reset and that
// looks like a regular one, because a write has got the error. An answer without a length would look
// complete.
func TestEndOfResetConnection(t *testing.T) {
	cases := []struct {
		name     string
		writeErr error
		// isWriting means that the write has not returned when the end is read.
		isWriting bool
		// returns means that such a write returns then; otherwise it waits for the upstream.
		returns bool
		isReset bool
	}{
		{name: "no error"},
		{name: "reset", writeErr: syscall.ECONNRESET, isReset: true},
		{name: "reset in a wrapper", writeErr: &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, isReset: true},
		// The kernel reports this for a reset that came after the regular end.
		{name: "reset after the end", writeErr: syscall.EPIPE},
		{name: "reset seen by a write in progress", writeErr: syscall.ECONNRESET, isWriting: true, returns: true, isReset: true},
		{name: "write in progress after the end", isWriting: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			inner := &resetConn{
				writeErr: tc.writeErr,
				expired:  make(chan struct{}),
			}
			transport := &gateTransport{
				suspectRestart: func() {},
			}
			conn := &gateConn{
				Conn:      inner,
				transport: transport,
			}
			written := make(chan struct{})
			if tc.isWriting {
				inner.proceed = make(chan struct{})
				started := make(chan struct{})
				go func() {
					defer close(written)
					close(started)
					_, _ = conn.Write([]byte("body"))
				}()
				<-started
				time.Sleep(10 * time.Millisecond)
			} else {
				close(written)
				_, _ = conn.Write([]byte("body"))
			}
			if tc.returns {
				time.AfterFunc(5*time.Millisecond, func() { close(inner.proceed) })
			}
			_, err := conn.Read(make([]byte, 10))
			c.Assert(err, qt.IsNotNil)
			c.Check(errors.Is(err, io.EOF), qt.Equals, !tc.isReset, qt.Commentf("%v", err))
			if tc.isWriting && !tc.returns {
				close(inner.proceed)
			}
			<-written
		})
	}
}
