package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/io/limit"
)

const (
	// dialTimeout limits a dial. A connection between regions takes about 25 ms. A lost packet is
	// sent again only after 1 s, and another upstream answers sooner than that.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConnsPerGate allows an idle connection for each slot of an upstream.
	maxIdleConnsPerGate = 64
	// maxIdleConns limits the idle connections to all gatekeepers. An entry may use 12
	// upstreams of each of 420 services, and 64 connections to each would exceed the process limit
	// of open files.
	maxIdleConns = 1024
	// gateIdleTimeout is shorter than the idle timeout of a gatekeeper's server, so that the entry
	// closes idle connections first and sends no request on one that the gatekeeper is closing.
	gateIdleTimeout = 45 * time.Second
	// continueTimeout is so long that only the deadline of the request ends the wait for
	// "100 Continue". After a shorter timeout, a body would be sent without admission.
	continueTimeout = 24 * time.Hour
	// maxAnswerHeaderBytes limits the headers of an answer.
	maxAnswerHeaderBytes = 256 << 10
	// maxDetailBytes limits the text of a refusal that is passed on.
	maxDetailBytes = 512
)

// entryTransport sends requests to gatekeepers. It limits the idle connections by closing some of
// them after their answer. http.Transport itself closes the connection that was idle longest, also
// one whose answer it has read but not returned yet, and this answer is then lost.
type entryTransport struct {
	*http.Transport
	openConns atomic.Int64
	// pending counts the requests without an answer.
	pending atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (t *entryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	defer t.pending.Add(-1)
	if t.pending.Add(1) > maxIdleConns || t.openConns.Load() >= maxIdleConns {
		request.Close = true
	}
	return t.Transport.RoundTrip(request)
}

// newTransport returns a transport for requests to gatekeepers.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *entryTransport {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t := &entryTransport{}
	t.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t.openConns.Add(1)
			return &countingConn{
				Conn:      conn,
				transport: t,
			}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerGate,
		IdleConnTimeout:        gateIdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
	return t
}

// countingConn counts the bytes written and the reads of a connection. The counts show whether a
// failed attempt has sent anything at all, and whether an answer came after its request.
type countingConn struct {
	net.Conn
	transport *entryTransport
	isClosed  atomic.Bool
	written   atomic.Int64
	reads     atomic.Int64
	// isUnsent is true from the time a request gets the connection until its first write.
	isUnsent atomic.Bool
	// readsBeforeWrite is the value of reads at that write.
	readsBeforeWrite atomic.Int64
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if !c.isClosed.Swap(true) {
		c.transport.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// Write counts before it writes, so that an unchanged count proves that nothing was sent.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.isUnsent.Load() {
		c.readsBeforeWrite.Store(c.reads.Load())
		c.isUnsent.Store(false)
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read counts the reads that return data.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// isAnswered reports whether anything was read since the first write of the current request. If a
// gatekeeper sends data after the end of an answer, http.Transport takes it for the answer to the
// next request if that gets the connection before the transport has noticed the data.
func (c *countingConn) isAnswered() bool {
	return !c.isUnsent.Load() && c.reads.Load() > c.readsBeforeWrite.Load()
}

// ReadFrom copies a body through a pooled buffer; io.Copy would allocate one.
func (c *countingConn) ReadFrom(r io.Reader) (int64, error) {
	return streamTo(c, r)
}

type sendTrace struct {
	trace httptrace.ClientTrace
	// owner is the connection of the caller, nil if it is not known.
	owner         *limit.Conn
	conn          *countingConn
	writtenBefore int64
	// isWritten is set once the transport no longer reads the request.
	isWritten atomic.Bool
}

func (s *sendTrace) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*countingConn); ok {
		conn.isUnsent.Store(true)
		s.writtenBefore = conn.written.Load()
		s.conn = conn
		limit.SetOwner(conn.Conn, s.owner)
	}
}

// release ends the ownership of the connection before another request may get it.
func (s *sendTrace) release() {
	if s.conn != nil {
		limit.ReleaseOwner(s.conn.Conn, s.owner)
	}
}

func (s *sendTrace) wroteRequest(httptrace.WroteRequestInfo) {
	s.isWritten.Store(true)
}

// sendRemote sends the request to the gatekeeper on the chosen host.
func (c *call) sendRemote() result {
	s := &sendTrace{
		owner: limit.ConnOf(c.request.Context()),
	}
	s.trace.GotConn = s.gotConn
	defer s.release()
	if c.buffer != nil {
		s.trace.WroteRequest = s.wroteRequest
		defer c.dropBufferInUse(s)
	}
	response, err := c.entry.transport.RoundTrip(c.remoteRequest(s))
	if err != nil {
		return c.sendFailure(s, err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if !s.conn.isAnswered() {
		_ = s.conn.Close()
		return c.lostAnswer(string(c.choice.Host.Name) + " answered before it was asked")
	}
	if err = checkHead(response); err != nil {
		_ = s.conn.Close()
		return c.lostAnswer(string(c.choice.Host.Name) + ": " + malformedAnswer + err.Error())
	}
	c.recordAnswerHeaders(response.Header)
	r, refused := c.refusal(response.Header, func() string {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
		return refusalDetail(text)
	})
	if refused {
		return r
	}
	if !c.isUpstreamAnswer(response) {
		return c.lostAnswer(fmt.Sprintf("%s sent status %d, which is no answer of its upstream", c.choice.Host.Name, response.StatusCode))
	}
	if !c.watch.beginAnswer() {
		return c.lostAnswer("the attempt was canceled as its answer began")
	}
	pool := wholeAnswerPool(c.request.Method, response)
	if pool == nil {
		return c.copyAnswer(response)
	}
	buffer := pool.get()
	defer pool.put(buffer)
	body := (*buffer)[:response.ContentLength]
	if _, err = io.ReadFull(response.Body, body); err != nil {
		if c.ctx.Err() != nil {
			return c.interrupted(true)
		}
		return c.lostAnswer("the answer of " + string(c.choice.Host.Name) + " broke off: " + err.Error())
	}
	c.entry.balancer.RecordAnswer(c.choice)
	c.writeHeader(response.StatusCode, response.Header)
	if err = c.write(body); err != nil {
		c.abort(callerTookNoMore + ": " + err.Error())
	}
	c.endAnswer(response)
	return result{
		answered: true,
	}
}

// isUpstreamAnswer reports whether an answer that is no refusal comes from an upstream. Gatekeepers pass on
// no others, but the HTTP server of a gatekeeper may answer before any handler, and another process
// may have got the address.
func (c *call) isUpstreamAnswer(response *http.Response) bool {
	dialect := c.entry.config.Dialect
	if dialect == nil {
		return true
	}
	class := dialect.ClassifyAnswer(c.request.Header, response.StatusCode, response.Header)
	return !class.IsMismatched && !class.IsNotRun
}

// dropBufferInUse leaves the buffer to the garbage collector if the transport may still read from
// it, as after an answer that came before the whole request was sent.
func (c *call) dropBufferInUse(s *sendTrace) {
	if s.conn != nil && !s.isWritten.Load() {
		c.buffer = nil
	}
}

// remoteRequest returns the request to the gatekeeper.
//
// http.Transport retries some requests itself after a lost connection, so that the entry would not
// know how often they ran. It retries none that has a body but no GetBody. Therefore requests
// without a body get an empty one; the transfer encoding "identity" keeps the transport from
// probing it for bytes and adds nothing to the message.
func (c *call) remoteRequest(s *sendTrace) *http.Request {
	in := c.request
	header := c.header
	expects := c.expectsContinue()
	if expects {
		header = maps.Clone(header)
		header["Expect"] = expectContinue
	}
	out := &http.Request{
		Method:        in.Method,
		URL:           forwardedURL(in, c.choice.Host.GateAddress),
		Host:          in.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          c.bodyReader(),
		ContentLength: int64(len(c.body)),
	}
	switch {
	case c.stream != nil:
		out.ContentLength = in.ContentLength
		// The server sets the trailers when the body has been read to its end.
		out.Trailer = in.Trailer
		// After a refusal, http.Transport would send the body to reuse the connection, and
		// no other attempt could send it.
		out.Close = true
	case len(c.body) == 0:
		out.TransferEncoding = identityEncoding
	case expects:
		out.Close = true
	}
	return out.WithContext(httptrace.WithClientTrace(c.attemptCtx, &s.trace))
}

const (
	// minExpectContinueBytes is the size from which a body is sent to another availability zone only
	// after the gatekeeper has admitted the request. Traffic between zones is paid for, so the body
	// of a refused request would be wasted, while Expect costs a connection and a round trip.
	minExpectContinueBytes = 16 << 10
	// minExpectContinueTime is the time on the link from which such a body is held back within an
	// availability zone too: the gatekeeper admits no more bodies than its link carries beside
	// shorter requests.
	minExpectContinueTime = 10 * time.Millisecond
)

// expectsContinue reports whether the body is sent only after the gatekeeper has admitted the
// request.
func (c *call) expectsContinue() bool {
	if c.stream != nil {
		return true
	}
	config := &c.entry.config
	if config.Dialect == nil || len(c.body) < minExpectContinueBytes {
		return false
	}
	if c.choice.Host.AvailabilityZone != config.Self.AvailabilityZone {
		return true
	}
	return config.LinkRate > 0 && float64(len(c.body)) >= float64(config.LinkRate)*minExpectContinueTime.Seconds()
}

var (
	expectContinue   = []string{"100-continue"}
	identityEncoding = []string{"identity"}
)

// sendFailure returns the result of an attempt that ended with an error of the transport.
func (c *call) sendFailure(s *sendTrace, err error) result {
	if c.ctx.Err() != nil {
		// The transport may still be writing, so an attempt with a connection counts as sent.
		return c.interrupted(s.conn != nil)
	}
	if s.conn == nil {
		return failedAttempt(core.NoUpstream, true, "no connection to "+string(c.choice.Host.Name)+": "+err.Error())
	}
	// On errors other than those of the context, the transport returns after its last write.
	if s.conn.written.Load() == s.writtenBefore {
		return failedAttempt(core.NoUpstream, true, "the connection to "+string(c.choice.Host.Name)+" was closed before the request was sent")
	}
	if c.stream != nil && c.stream.readError() != nil {
		return c.incompleteBody()
	}
	return c.lostAnswer("no answer from " + string(c.choice.Host.Name) + ": " + err.Error())
}

// incompleteBody returns the result of an attempt whose body the caller did not send to its end.
func (c *call) incompleteBody() result {
	if errors.Is(c.stream.readError(), os.ErrDeadlineExceeded) {
		return failedAttempt(core.DeadlineInRun, false, "the deadline passed before the caller sent the whole body")
	}
	return failedAttempt(core.Canceled, false, "the caller did not send the whole body")
}

// copyAnswer passes on an answer, from the first byte of its body. If it is cut off later, or its end
// cannot be told from a lost connection, the caller's connection is aborted.
func (c *call) copyAnswer(response *http.Response) result {
	pool := poolFor(response.ContentLength)
	buffer := pool.get()
	defer pool.put(buffer)
	// An answer with neither Content-Length nor chunks ends with its connection.
	endsAtClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	isStarted := false
	for {
		n, err := response.Body.Read(*buffer)
		isWhole := errors.Is(err, io.EOF) && !endsAtClose && checkFieldNames(response.Trailer) == nil
		if !isStarted && (n > 0 || isWhole) {
			isStarted = true
			c.entry.balancer.RecordAnswer(c.choice)
			c.writeHeader(response.StatusCode, response.Header)
		}
		if n > 0 {
			if writeErr := c.write((*buffer)[:n]); writeErr != nil {
				c.abort(callerTookNoMore + ": " + writeErr.Error())
			}
			if response.ContentLength < 0 {
				_ = c.reply.control.Flush()
			}
		}
		switch {
		case isWhole:
			c.endAnswer(response)
			return result{
				answered: true,
			}
		case err == nil:
		case isStarted:
			c.abort(answerBrokeOff + ": " + err.Error())
		case c.ctx.Err() != nil:
			return c.interrupted(true)
		default:
			return c.lostAnswer("the answer of " + string(c.choice.Host.Name) + " broke off: " + err.Error())
		}
	}
}

// endAnswer ends an answer whose whole body was passed on.
func (c *call) endAnswer(response *http.Response) {
	for name, values := range response.Trailer {
		c.reply.w.Header()[http.TrailerPrefix+name] = values
	}
	c.countAnswer()
}

// abort aborts the caller's connection, so that the caller sees that the answer is incomplete.
func (c *call) abort(detail string) {
	c.entry.Counters.Aborted.Add(1)
	c.logCut(detail)
	panic(http.ErrAbortHandler)
}

// refusalDetail extracts the detail from the text that Refuse wrote.
func refusalDetail(text []byte) string {
	detail := strings.TrimSpace(string(text))
	if _, after, ok := strings.Cut(detail, "): "); ok {
		return after
	}
	return detail
}
