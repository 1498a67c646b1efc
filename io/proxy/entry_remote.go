package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"verbenaway/core"
)

const (
	// dialTime bounds a dial. A connection takes about 25 ms between regions; a lost packet
	// would be repeated after 1 s only, and another upstream answers sooner than that.
	dialTime = 300 * time.Millisecond
	// idlePerGate keeps a connection for each slot of an upstream.
	idlePerGate = 64
	// idleInAll bounds the idle connections to all gates. An entry may talk to 12 upstreams
	// of each of 420 services, and 64 connections to each would exceed the limit of open
	// files of a process. The transport closes the connection that was idle longest.
	idleInAll = 1024
	// gateIdleTime is shorter than the idle time of a gate's server, so that the entry
	// closes an idle connection first and no request meets a closing one.
	gateIdleTime = 45 * time.Second
	// continueTime lets the deadline of the request end the wait for "100 Continue". A
	// shorter time would send a body that was not admitted.
	continueTime = 24 * time.Hour
	// detailBytes is how much of the text of a refusal is passed on.
	detailBytes = 512
)

// newTransport returns a transport to gates.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTime)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sentConn{
				Conn: conn,
			}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idleInAll,
		MaxIdleConnsPerHost:    idlePerGate,
		IdleConnTimeout:        gateIdleTime,
		ExpectContinueTimeout:  continueTime,
		MaxResponseHeaderBytes: serverHeaderBytes,
	}
}

// sentConn counts what passes over a connection. The counts show whether an attempt that
// failed has sent anything at all, and whether an answer came after its request.
type sentConn struct {
	net.Conn
	written atomic.Int64
	reads   atomic.Int64
	// isNew is set for each request until its first write, which notes the reads so far.
	isNew       atomic.Bool
	readsBefore atomic.Int64
}

// Write counts before it writes, so that a count that did not change proves that nothing
// was sent.
func (s *sentConn) Write(p []byte) (int, error) {
	if s.isNew.Load() {
		s.readsBefore.Store(s.reads.Load())
		s.isNew.Store(false)
	}
	s.written.Add(int64(len(p)))
	return s.Conn.Write(p)
}

// Read counts the reads that brought something.
func (s *sentConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.reads.Add(1)
	}
	return n, err
}

// isAnswered tells whether anything was read since the first write of the current request.
// http.Transport takes what a gate sent beyond its last answer for the next one if the
// connection gets a request before the transport has noticed.
func (s *sentConn) isAnswered() bool {
	return !s.isNew.Load() && s.reads.Load() > s.readsBefore.Load()
}

// ReadFrom streams a body through a pooled buffer; io.Copy would allocate one.
func (s *sentConn) ReadFrom(r io.Reader) (int64, error) {
	return streamTo(s, r)
}

// sending follows one attempt over HTTP.
type sending struct {
	trace httptrace.ClientTrace
	conn  *sentConn
	start int64
	// wrote is set once the transport no longer reads the request.
	wrote atomic.Bool
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*sentConn); ok {
		conn.isNew.Store(true)
		s.start = conn.written.Load()
		s.conn = conn
	}
}

func (s *sending) wroteRequest(httptrace.WroteRequestInfo) {
	s.wrote.Store(true)
}

// sendRemote sends the request to the gate of the chosen host.
func (c *call) sendRemote() result {
	s := &sending{}
	s.trace.GotConn = s.gotConn
	if c.buffer != nil {
		s.trace.WroteRequest = s.wroteRequest
		defer c.checkBuffer(s)
	}
	response, err := c.entry.transport.RoundTrip(c.outgoing(s))
	if err != nil {
		return c.sendFailed(s, err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if !s.conn.isAnswered() {
		_ = s.conn.Close()
		return c.broken(string(c.choice.Host.Name) + " answered before it was asked")
	}
	c.learn(response.Header)
	r, refused := c.refusal(response.Header, func() string {
		text, _ := io.ReadAll(io.LimitReader(response.Body, detailBytes))
		return refusalDetail(text)
	})
	if refused {
		return r
	}
	c.entry.balancer.RecordAnswer(c.choice)
	c.begin(response.StatusCode, response.Header)
	c.copyAnswer(response)
	return result{
		answered: true,
	}
}

// checkBuffer gives the buffer up to the garbage collector if the transport may still send
// from it, as after an answer that came before the whole request was sent.
func (c *call) checkBuffer(s *sending) {
	if s.conn != nil && !s.wrote.Load() {
		c.buffer = nil
	}
}

// outgoing builds the request to the gate.
//
// http.Transport repeats some requests on its own after a connection broke, and the entry
// could not tell how often they ran. It repeats none that has a body and no GetBody.
// Therefore requests without a body get an empty one; the transfer encoding "identity"
// keeps the transport from looking for bytes in it and adds nothing to the message.
func (c *call) outgoing(s *sending) *http.Request {
	in := c.request
	header := c.header
	asks := c.asksFirst()
	if asks {
		header = maps.Clone(header)
		header["Expect"] = expectContinue
	}
	target := &url.URL{
		Scheme:     "http",
		Host:       c.choice.Host.GateAddress,
		Path:       in.URL.Path,
		RawPath:    in.URL.RawPath,
		RawQuery:   in.URL.RawQuery,
		ForceQuery: in.URL.ForceQuery,
	}
	out := &http.Request{
		Method:        in.Method,
		URL:           target,
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
		// The server fills the trailers in when the body has been read to its end.
		out.Trailer = in.Trailer
		// After a refusal http.Transport would send the body to keep the connection, and
		// no other attempt could send it again.
		out.Close = true
	case len(c.body) == 0:
		out.TransferEncoding = identity
	case asks:
		out.Close = true
	}
	return out.WithContext(httptrace.WithClientTrace(c.tryCtx, &s.trace))
}

// askBytes is the size from which a body is sent to another availability zone only after the
// gatekeeper has admitted the request: the bytes of a refused one would be paid for nothing,
// while the question costs a connection and a round trip.
const askBytes = 16 << 10

// asksFirst tells whether the gatekeeper is to admit the request before the body is sent.
func (c *call) asksFirst() bool {
	if c.stream != nil {
		return true
	}
	isFar := c.choice.Host.AvailabilityZone != c.entry.config.Self.AvailabilityZone
	return c.entry.config.Dialect != nil && isFar && len(c.body) >= askBytes
}

var (
	expectContinue = []string{"100-continue"}
	identity       = []string{"identity"}
)

// sendFailed tells how far an attempt came that has no answer.
func (c *call) sendFailed(s *sending, err error) result {
	if c.ctx.Err() != nil {
		// The transport may still be writing, so that having a connection counts as sent.
		return c.stopped(s.conn != nil)
	}
	if s.conn == nil {
		return failed(core.NoUpstream, true, "no connection to "+string(c.choice.Host.Name)+": "+err.Error())
	}
	// On errors other than of the context the transport returns after its last write.
	if s.conn.written.Load() == s.start {
		return failed(core.NoUpstream, true, "the connection to "+string(c.choice.Host.Name)+" was closed before the request was sent")
	}
	if c.stream != nil && c.stream.readError() != nil {
		return c.callerFailed()
	}
	return c.broken("no answer from " + string(c.choice.Host.Name) + ": " + err.Error())
}

// callerFailed returns the result of an attempt whose body the caller did not complete.
func (c *call) callerFailed() result {
	if errors.Is(c.stream.readError(), os.ErrDeadlineExceeded) {
		return failed(core.DeadlineInRun, false, "the deadline passed before the caller sent the whole body")
	}
	return failed(core.Canceled, false, "the caller did not send the whole body")
}

// copyAnswer passes the body of an answer on. An answer that breaks off, or whose end
// cannot be told from a break, ends with the abort of the caller's connection.
func (c *call) copyAnswer(response *http.Response) {
	pool := poolFor(response.ContentLength)
	buffer := pool.get()
	defer pool.put(buffer)
	// The length of an answer that is neither counted nor chunked is unknown.
	endless := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if writeErr := c.write((*buffer)[:n]); writeErr != nil {
				c.abort()
			}
			if response.ContentLength < 0 {
				_ = c.reply.control.Flush()
			}
		}
		if errors.Is(err, io.EOF) && !endless {
			for name, values := range response.Trailer {
				c.reply.w.Header()[http.TrailerPrefix+name] = values
			}
			c.entry.Counters.Answers.Add(1)
			c.decideEnd("", c.reply.status, "")
			return
		}
		if err != nil {
			c.abort()
		}
	}
}

// abort ends the caller's connection, so that the caller sees that the answer is not
// complete.
func (c *call) abort() {
	c.entry.Counters.Aborted.Add(1)
	c.decideCut()
	panic(http.ErrAbortHandler)
}

// refusalDetail takes the detail out of the text that Refuse wrote.
func refusalDetail(text []byte) string {
	detail := strings.TrimSpace(string(text))
	if _, after, ok := strings.Cut(detail, "): "); ok {
		return after
	}
	return detail
}
