package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endlessUpstream answers each request with a beginning and then repeats a piece until the
// connection is closed; it sends the number of bytes written to done.
func endlessUpstream(begin, piece string, pause time.Duration, done chan<- int) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		written, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", r.Header.Get("X-Id")))
		for err == nil {
			var n int
			n, err = io.WriteString(conn, piece)
			written += n
			time.Sleep(pause)
		}
		done <- written
	}
}

// TestBytesWithoutEnd guards against memory that grows, a request that waits until its deadline, a
// wrong outcome, and a connection that stays open, when an upstream sends bytes without end. The
// second upstream is healthy.
func TestBytesWithoutEnd(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n"
	const shed = "HTTP/1.1 503 Service Unavailable\r\nX-NotRun: 1\r\n"
	// maxWritten is the limit for heads together with what the sockets hold.
	const maxWritten = maxAnswerHeaderBytes + 8<<20
	line := strings.Repeat("x", 1000)
	cases := []struct {
		name  string
		begin string
		piece string
		pause time.Duration
		// order is the status for an order, 0 if its answer breaks off.
		order int
		// isStreamed means that the beginning of the answer may be passed on, so that a lookup
		// breaks off too.
		isStreamed bool
	}{
		{name: "no head", piece: line, order: 502},
		{name: "header line", begin: "HTTP/1.1 200 OK\r\nX-Id: ", piece: line, order: 502},
		{name: "header lines", begin: signed, piece: "X-More: " + line + "\r\n", order: 502},
		{name: "informational answers", piece: "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n", order: 502},
		{name: "body past its length", begin: signed + "Content-Length: 2\r\n\r\nok", piece: line, order: 200},
		{name: "body of a refusal", begin: shed + "Transfer-Encoding: chunked\r\n\r\n", piece: fmt.Sprintf("%x\r\n%s\r\n", len(line), line), order: 200},
		{name: "trickled body of a refusal", begin: shed + "Content-Length: 1000\r\n\r\n", piece: "x", pause: 30 * time.Millisecond, order: 200},
		{name: "chunk size", begin: signed + "Transfer-Encoding: chunked\r\n\r\n", piece: "0" + strings.Repeat("0", 1000), order: 502},
		{name: "chunk extension", begin: signed + "Transfer-Encoding: chunked\r\n\r\n1;", piece: line, order: 502},
		{name: "trailers", begin: signed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: "X-More: " + line + "\r\n", order: 502},
		{name: "chunk size after a chunk", begin: signed + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", piece: "0" + strings.Repeat("0", 1000), isStreamed: true},
		{name: "trailers after a chunk", begin: signed + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", piece: "X-More: " + line + "\r\n", isStreamed: true},
	}
	for _, tc := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tc.name+" "+method, func(t *testing.T) {
				c := qt.New(t)
				done := make(chan int, 8)
				rig := newMeshRig(t, nil, largeBudget, endlessUpstream(tc.begin, tc.piece, tc.pause, done), signedHandler)
				path := "/lookup/1"
				if method == http.MethodPost {
					path = "/order/1"
				}
				start := time.Now()
				got := rig.send(method, path, "")
				switch {
				case tc.isStreamed:
					c.Check(got.err, qt.IsNotNil)
				case method == http.MethodPost:
					c.Check(got.status, qt.Equals, tc.order)
				default:
					c.Check(got.status, qt.Equals, http.StatusOK)
				}
				c.Check(time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				select {
				case written := <-done:
					c.Check(written <= maxWritten, qt.IsTrue, qt.Commentf("%d bytes were accepted", written))
				case <-time.After(2 * time.Second):
					c.Fatal("the connection stays open")
				}
			})
		}
	}
}
