package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// copyBytes is the size of the buffers for streamed bodies.
	copyBytes = 32 << 10
	// bulkBytes is the size of the buffers for bodies larger than maxBufferedBytes. With
	// copyBytes, the system calls and wake-ups per piece limit the throughput of such a body.
	bulkBytes = 256 << 10
	// maxBufferedBytes is the largest body that is buffered for another attempt.
	maxBufferedBytes = 64 << 10
	// smallBodyBytes is the largest body in a small buffer, so that the many small bodies do not
	// each occupy maxBufferedBytes.
	smallBodyBytes = 4 << 10
)

var (
	copyBuffers  = newBufferPool(copyBytes)
	smallBuffers = newBufferPool(smallBodyBytes)
	bodyBuffers  = newBufferPool(maxBufferedBytes)
	bulkBuffers  = newBufferPool(bulkBytes)
)

// wholeAnswerPool returns the pool for an answer that is read completely before any of it is passed
// on, so that one that breaks off can be replaced by another attempt; nil if it is streamed.
func wholeAnswerPool(method string, response *http.Response) *bufferPool {
	length := response.ContentLength
	switch {
	case method == http.MethodHead || response.Body == http.NoBody || length < 0 || length > maxBufferedBytes:
		return nil
	case length <= smallBodyBytes:
		return smallBuffers
	}
	return bodyBuffers
}

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

// streamTo copies the body of a request to a connection through a pooled buffer. http.Transport
// announces the length of the body by an io.LimitedReader, which determines the buffer size.
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

// poolFor returns the pool for a body of the given length, -1 if unknown.
func poolFor(length int64) *bufferPool {
	if length > maxBufferedBytes {
		return bulkBuffers
	}
	return copyBuffers
}

// onlyWriter hides ReadFrom, which io.CopyBuffer would use instead of the buffer.
type onlyWriter struct {
	io.Writer
}

var errAttemptEnded = errors.New("the attempt has ended")

// streamBody is a request body that is too large to be buffered. Attempts read it one after the
// other; once one of them has read a byte, no later one can send the whole body.
type streamBody struct {
	body io.Reader
	// onRead is called with the number of bytes of each read, and with whether the attempt goes
	// to another region.
	onRead func(bytes int, otherRegion bool)
	// onEnd is called at the end of the body, when its trailers are known; nil if nothing is to be done.
	onEnd func()
	// readMu is held during a read of body.
	readMu sync.Mutex
	// mu guards the fields below.
	mu            sync.Mutex
	attemptNumber int
	// leftover holds bytes that were read after their attempt had ended; the next attempt gets
	// them.
	leftover []byte
	// started means that an attempt has read a byte.
	started bool
	isAtEnd bool
	// isInterrupted means that a read was ended by a deadline. The server may have met that deadline
	// after the end of the body, where it takes it for a disconnected caller.
	isInterrupted bool
	err           error
}

// newReader starts an attempt and returns its reader.
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

// endAttempt makes further reads of the current attempt fail, and reports whether another
// attempt can still send the whole body.
func (s *streamBody) endAttempt() (isWhole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptNumber++
	return !s.started && s.err == nil
}

// stopAndWait ends the current attempt and waits for a read in progress, which must not outlive
// the handler. A read that waits for an unresponsive caller is interrupted by a deadline in the
// past.
func (s *streamBody) stopAndWait(control *http.ResponseController) {
	s.endAttempt()
	if !s.readMu.TryLock() {
		s.interrupt(control)
		s.readMu.Lock()
	}
	s.readMu.Unlock()
}

// interrupt ends a read that may wait for the caller. At the end of the body no read does.
func (s *streamBody) interrupt(control *http.ResponseController) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isAtEnd {
		s.isInterrupted = true
		_ = control.SetReadDeadline(time.Unix(1, 0))
	}
}

// isComplete reports whether the whole body was read, so that the connection can be kept.
func (s *streamBody) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAtEnd && !s.isInterrupted && len(s.leftover) == 0
}

// readError returns the error that ended the body early, nil if there was none.
func (s *streamBody) readError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// streamAttempt is the reader of one attempt.
type streamAttempt struct {
	stream      *streamBody
	number      int
	otherRegion bool
}

// Read reads from the body unless the attempt has ended.
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
		if s.onEnd != nil {
			s.onEnd()
		}
	case err != nil:
		s.err = err
	}
	if s.attemptNumber != t.number {
		s.leftover = append(s.leftover, p[:n]...)
		return 0, errAttemptEnded
	}
	t.recordRead(n)
	return n, err
}

// readLeftover reads bytes left over from a previous attempt; ok is false if body must be read
// instead.
func (t *streamAttempt) readLeftover(p []byte) (n int, ok bool, err error) {
	s := t.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.attemptNumber != t.number:
		return 0, true, errAttemptEnded
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

// recordRead records that the attempt has read n bytes. The caller holds mu.
func (t *streamAttempt) recordRead(n int) {
	if n > 0 {
		t.stream.started = true
		t.stream.onRead(n, t.otherRegion)
	}
}

// Close does nothing; the server closes the body of its request itself.
func (t *streamAttempt) Close() error {
	return nil
}
