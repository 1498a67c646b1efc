package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

var errRequestEnded = errors.New("the request has ended")

// gateBody is the body of a request that is sent to the upstream. net/http may keep reading it
// after the upstream has answered; release ends that before the handler returns, since the body
// must not be read afterwards.
type gateBody struct {
	body io.ReadCloser

	controller *http.ResponseController
	// onEnd is called when the whole body has been read, or the caller sends no more of it. Optional.
	onEnd func()

	mu        sync.Mutex
	readEnded sync.Cond
	reading   bool
	// stopped makes further reads fail.
	stopped bool
	// isInterrupted means that a read was ended by a deadline. The server may have met that deadline
	// after the end of the body, where it takes it for a disconnected caller.
	isInterrupted bool
	// firstErr is the first read error; io.EOF once the whole body was read.
	firstErr error
}

func newGateBody(w http.ResponseWriter, body io.ReadCloser) *gateBody {
	b := &gateBody{
		body:       body,
		controller: http.NewResponseController(w),
	}
	b.readEnded.L = &b.mu
	return b
}

// Read reads from the body of the request unless it was stopped.
func (b *gateBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.stopped {
		b.mu.Unlock()
		return 0, errRequestEnded
	}
	b.reading = true
	b.mu.Unlock()
	n, err := b.body.Read(p)
	b.mu.Lock()
	isEnd := err != nil && b.firstErr == nil && !b.isInterrupted
	b.reading = false
	if b.firstErr == nil {
		b.firstErr = err
	}
	b.readEnded.Broadcast()
	b.mu.Unlock()
	if isEnd && b.onEnd != nil {
		b.onEnd()
	}
	return n, err
}

// Close does nothing; the server closes the body of its request itself.
func (b *gateBody) Close() error {
	return nil
}

// isBroken reports whether an error ended the body early.
func (b *gateBody) isBroken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstErr != nil && !errors.Is(b.firstErr, io.EOF)
}

// isAtEnd reports whether the whole body was read, so that the connection can be kept.
func (b *gateBody) isAtEnd() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.firstErr, io.EOF) && !b.isInterrupted
}

// interrupt ends a read that waits for data from the caller, whose connection cannot be reused
// afterwards. http.Transport returns from a canceled request only after the read of its body has
// ended.
func (b *gateBody) interrupt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop()
}

// stop rejects further reads and ends one in progress. If there is none, the read deadline of
// the connection is left alone: the server would take an expired one for a disconnected caller.
// The caller holds mu.
func (b *gateBody) stop() {
	b.stopped = true
	if b.reading && !errors.Is(b.firstErr, io.EOF) {
		b.isInterrupted = true
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// release stops the body and returns once no read is in progress. If the upstream answered
// without reading the whole upload, the answer is flushed first. Without an answer nothing is
// flushed: a flush before the refusal would send the header of an answer that no upstream gave.
func (b *gateBody) release(isAnswered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading && isAnswered {
		_ = b.controller.Flush()
	}
	b.stop()
	for b.reading {
		b.readEnded.Wait()
	}
}
