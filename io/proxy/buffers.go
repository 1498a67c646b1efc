package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// copyBytes is the size of the buffers that bodies stream through.
	copyBytes = 32 << 10
	// bulkBytes is the size of the buffers for bodies larger than maxBufferedBytes. The
	// system calls and wake-ups for each piece limit such a body with copyBytes.
	bulkBytes = 256 << 10
	// maxBufferedBytes is the largest body that is kept for another attempt.
	maxBufferedBytes = 64 << 10
	// smallBodyBytes splits the buffered bodies, so that the many small ones do not each
	// occupy the largest size.
	smallBodyBytes = 4 << 10
)

var (
	copyBuffers  = newBufferPool(copyBytes)
	smallBuffers = newBufferPool(smallBodyBytes)
	bodyBuffers  = newBufferPool(maxBufferedBytes)
	bulkBuffers  = newBufferPool(bulkBytes)
)

// bufferPool holds buffers of one size.
type bufferPool struct {
	pool sync.Pool
}

func newBufferPool(size int) *bufferPool {
	return &bufferPool{
		pool: sync.Pool{
			New: func() any {
				buffer := make([]byte, size)
				return &buffer
			},
		},
	}
}

func (p *bufferPool) get() *[]byte {
	return p.pool.Get().(*[]byte)
}

func (p *bufferPool) put(buffer *[]byte) {
	*buffer = (*buffer)[:cap(*buffer)]
	p.pool.Put(buffer)
}

// streamTo copies the body of a request to a connection through a pooled buffer, whose size
// follows from the bytes that http.Transport announces.
func streamTo(w io.Writer, r io.Reader) (int64, error) {
	length := int64(-1)
	if limited, ok := r.(*io.LimitedReader); ok {
		length = limited.N
	}
	pool := poolFor(length)
	buffer := pool.get()
	defer pool.put(buffer)
	return io.CopyBuffer(onlyWriter{w}, r, *buffer)
}

// poolFor returns the buffers for a body whose announced length is given, -1 if unknown.
func poolFor(length int64) *bufferPool {
	if length > maxBufferedBytes {
		return bulkBuffers
	}
	return copyBuffers
}

// onlyWriter hides ReadFrom, which io.CopyBuffer would call instead of using the buffer.
type onlyWriter struct {
	io.Writer
}

var errBodyEnded = errors.New("the attempt has ended")

// streamBody is the body of a caller that is too large to be kept. Attempts read it in turn
// until one of them has moved a byte.
type streamBody struct {
	body io.Reader
	// onRead is called with the size of each piece that an attempt took.
	onRead func(bytes int, otherRegion bool)
	// readMu is held during a read of body.
	readMu sync.Mutex
	// mu guards the fields below.
	mu            sync.Mutex
	attemptNumber int
	// leftover is what a read brought after its attempt had ended; it belongs to the next one.
	leftover []byte
	started  bool
	isAtEnd  bool
	err      error
}

// newReader returns the reader of a new newReader.
func (s *streamBody) newReader(otherRegion bool) io.ReadCloser {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptNumber++
	return &streamAttempt{
		stream:      s,
		number:      s.attemptNumber,
		otherRegion: otherRegion,
	}
}

// endAttempt makes the reader of the current attempt fail from now on, and tells whether
// the body can still be sent whole by another attempt.
func (s *streamBody) endAttempt() (isWhole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptNumber++
	return !s.started && s.err == nil
}

// stopAndWait ends the current attempt and waits for a read in progress, which must not outlive
// the handler. A read that waits for a silent caller is broken off by a deadline in the
// past.
func (s *streamBody) stopAndWait(control *http.ResponseController) {
	s.endAttempt()
	if !s.readMu.TryLock() {
		_ = control.SetReadDeadline(time.Unix(1, 0))
		s.readMu.Lock()
	}
	s.readMu.Unlock()
}

// isComplete tells whether the whole body was read.
func (s *streamBody) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAtEnd && len(s.leftover) == 0
}

// readError returns the error that ended the body early, nil if there was none.
func (s *streamBody) readError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// streamAttempt is the view that one attempt has of a streamBody.
type streamAttempt struct {
	stream      *streamBody
	number      int
	otherRegion bool
}

// Read takes the next piece, unless the attempt has ended.
func (t *streamAttempt) Read(p []byte) (int, error) {
	s := t.stream
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if n, ok, err := t.readLeftover(p); ok {
		return n, err
	}
	n, err := s.body.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		s.isAtEnd = true
	case err != nil:
		s.err = err
	}
	if s.attemptNumber != t.number {
		s.leftover = append(s.leftover, p[:n]...)
		return 0, errBodyEnded
	}
	t.recordRead(n)
	return n, err
}

// readLeftover takes what was read for a former attempt; ok is false if body is to be read.
func (t *streamAttempt) readLeftover(p []byte) (n int, ok bool, err error) {
	s := t.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.attemptNumber != t.number:
		return 0, true, errBodyEnded
	case len(s.leftover) > 0:
		n = copy(p, s.leftover)
		s.leftover = s.leftover[n:]
		t.recordRead(n)
		return n, true, nil
	case s.isAtEnd:
		return 0, true, io.EOF
	case s.err != nil:
		return 0, true, s.err
	}
	return 0, false, nil
}

// recordRead notes that bytes were taken. The caller holds mu.
func (t *streamAttempt) recordRead(n int) {
	if n > 0 {
		t.stream.started = true
		t.stream.onRead(n, t.otherRegion)
	}
}

// Close leaves the caller's body open: it belongs to the server.
func (t *streamAttempt) Close() error {
	return nil
}
