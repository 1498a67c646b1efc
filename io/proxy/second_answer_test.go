package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSecondAnswer guards against a caller that gets the answer to another request: the upstream sends
// a second, correctly signed copy of each answer, at once or while the connection is in use again.
func TestSecondAnswer(t *testing.T) {
	cases := []struct {
		name string
		// delay is the time from the answer to its copies.
		delay  time.Duration
		copies int
	}{
		{name: "at once", copies: 1},
		{name: "two at once", copies: 2},
		{name: "while the next answer is awaited", delay: 3 * time.Millisecond, copies: 1},
		{name: "two while the next answer is awaited", delay: 3 * time.Millisecond, copies: 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body = http.NoBody
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				answerWithCopies(conn, buffered.Reader, r, tc.delay, tc.copies)
			}
			rig := newMeshRig(t, nil, largeBudget, handler)
			own := 0
			for i := range 60 {
				id := fmt.Sprintf("id-%d", i)
				got := rig.do(rig.request(http.MethodPost, "/order/1", id, func(r *http.Request) {
					r.Header.Set("X-Id", id)
					r.Header.Set("X-Wait", "500")
				}))
				if got.status == http.StatusOK {
					c.Assert(got.body, qt.Equals, "ran "+id)
					own++
				}
			}
			// A single upstream that misbehaves all the time is in backoff for most of them.
			c.Assert(own > 0, qt.IsTrue)
		})
	}
}

// answerWithCopies answers the requests on a connection. The answer to a request takes 5 ms, so that
// delayed copies of the one before come first.
func answerWithCopies(conn net.Conn, reader *bufio.Reader, request *http.Request, delay time.Duration, copies int) {
	for {
		id := request.Header.Get("X-Id")
		_, _ = io.Copy(io.Discard, request.Body)
		body := "ran " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		time.Sleep(5 * time.Millisecond)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		time.Sleep(delay)
		for range copies {
			_, _ = io.WriteString(conn, answer)
		}
		var err error
		if request, err = http.ReadRequest(reader); err != nil {
			return
		}
	}
}
