package proxy

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// deadlineWriter records whether a read deadline was set.
type deadlineWriter struct {
	http.ResponseWriter
	once sync.Once
	set  chan struct{}
}

func (w *deadlineWriter) SetReadDeadline(time.Time) error {
	w.once.Do(func() { close(w.set) })
	return nil
}

// TestInterruptAtEnd guards against kept connections on which all later requests are canceled: the
// deadline that ends the reading of an upload came after the end of its body, and the server took it
// for a disconnected caller. The answer to the upload comes while its end is being read.
func TestInterruptAtEnd(t *testing.T) {
	bodies := []struct {
		name string
		open func(r io.Reader, c *http.ResponseController) (read, stop func(), canKeep func() bool)
	}{
		{
			name: "entry",
			open: func(r io.Reader, c *http.ResponseController) (func(), func(), func() bool) {
				s := &streamBody{
					body:   r,
					onRead: func(int, bool) {},
				}
				reader := s.newReader(false)
				return func() { _, _ = reader.Read(make([]byte, 10)) }, func() { s.stopAndWait(c) }, s.isComplete
			},
		},
		{
			name: "gatekeeper",
			open: func(r io.Reader, c *http.ResponseController) (func(), func(), func() bool) {
				b := &gateBody{
					body:       io.NopCloser(r),
					controller: c,
				}
				b.readEnded.L = &b.mu
				return func() { _, _ = b.Read(make([]byte, 10)) }, func() { b.release(false) }, b.isAtEnd
			},
		},
	}
	for _, tc := range bodies {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := &deadlineWriter{
				set: make(chan struct{}),
			}
			reading := make(chan struct{})
			read, stop, canKeep := tc.open(readerFunc(func([]byte) (int, error) {
				close(reading)
				<-w.set
				return 0, io.EOF
			}), http.NewResponseController(w))
			go read()
			<-reading
			stop()
			c.Assert(canKeep(), qt.IsFalse)
		})
	}
}

// TestNoInterruptAfterEnd guards against a deadline after the end of a body, as in TestInterruptAtEnd:
// http.Transport reads once more than the body is long, while the answer may already be there.
func TestNoInterruptAfterEnd(t *testing.T) {
	c := qt.New(t)
	w := &deadlineWriter{
		set: make(chan struct{}),
	}
	s := &streamBody{
		isAtEnd: true,
	}
	s.readMu.Lock()
	time.AfterFunc(10*time.Millisecond, s.readMu.Unlock)
	s.stopAndWait(http.NewResponseController(w))
	select {
	case <-w.set:
		c.Fatal("a deadline was set")
	default:
	}
	c.Assert(s.isComplete(), qt.IsTrue)
}

// TestNoInterruptOfBufferedBody guards against a deadline on the connection of a caller whose body is
// buffered, as in TestInterruptAtEnd: the gatekeeper in the same process ends its reading of the copy.
func TestNoInterruptOfBufferedBody(t *testing.T) {
	c := qt.New(t)
	w := &deadlineWriter{
		set: make(chan struct{}),
	}
	local := &localWriter{
		call: &call{},
	}
	local.call.reply.init(w)
	_ = http.NewResponseController(local).SetReadDeadline(time.Unix(1, 0))
	select {
	case <-w.set:
		c.Fatal("a deadline was set")
	default:
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
