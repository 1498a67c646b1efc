package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
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

// refusingUpstream refuses some orders and sends the copy of a refusal where the next answer on the
// connection is due.
type refusingUpstream struct {
	// refuses decides whether the arrival of an order, which is the n-th one of its id, is refused.
	refuses func(id string, arrival int) bool
	// isAnonymous leaves the id out of refusals.
	isAnonymous bool

	mu sync.Mutex
	// arrivals and runs count those of each id.
	arrivals map[string]int
	runs     map[string]int
	copies   int
}

func (u *refusingUpstream) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	r.Body = http.NoBody
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	late := ""
	for request := r; ; {
		_, _ = io.Copy(io.Discard, request.Body)
		answer, isRefusal := u.answer(request.Header.Get("X-Id"))
		if _, err = io.WriteString(conn, late+answer); err != nil {
			return
		}
		late = ""
		if isRefusal {
			late = answer
		}
		if request, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		if late != "" {
			u.mu.Lock()
			u.copies++
			u.mu.Unlock()
		}
	}
}

func (u *refusingUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *refusingUpstream) answer(id string) (text string, isRefusal bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals[id]++
	if u.refuses(id, u.arrivals[id]) {
		idLine := "X-Id: " + id + "\r\n"
		if u.isAnonymous {
			idLine = ""
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + idLine + "X-NotRun: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	u.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id), false
}

// TestSecondRefusal guards against an order that runs twice, or that ran although its caller was told
// that it did not: the upstream sends a second copy of a refusal where the answer to the next order is
// due.
func TestSecondRefusal(t *testing.T) {
	refusesEven := func(id string, _ int) bool { return id[len(id)-1]%2 == 0 }
	cases := []struct {
		name        string
		upstreams   int
		refuses     func(id string, arrival int) bool
		isAnonymous bool
	}{
		{name: "of another order", upstreams: 2, refuses: refusesEven},
		{name: "of another order, without its id", upstreams: 2, refuses: refusesEven, isAnonymous: true},
		{
			name:      "of the same order, sent again on the connection",
			upstreams: 1,
			refuses:   func(_ string, arrival int) bool { return arrival == 1 },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			upstreams := make([]*refusingUpstream, tc.upstreams)
			var handlers []upstreamHandler
			for i := range upstreams {
				upstreams[i] = &refusingUpstream{
					refuses:     tc.refuses,
					isAnonymous: tc.isAnonymous,
					arrivals:    map[string]int{},
					runs:        map[string]int{},
				}
				handlers = append(handlers, upstreams[i].handle)
			}
			rig := newMeshRig(t, func(snapshot *core.Snapshot) {
				spec := snapshot.Routes["order"]
				spec.MaxAttempts = 2
				snapshot.Routes["order"] = spec
			}, largeBudget, handlers...)
			for i := range 40 {
				id := fmt.Sprintf("id-%d", i)
				got := rig.do(rig.request(http.MethodPost, "/order/1", id, func(r *http.Request) {
					r.Header.Set("X-Id", id)
					r.Header.Set("X-Wait", "500")
				}))
				runs := 0
				for _, upstream := range upstreams {
					runs += upstream.runsOf(id)
				}
				c.Assert(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs))
				switch got.status {
				case http.StatusOK:
					c.Assert(got.body, qt.Equals, id)
				case http.StatusServiceUnavailable:
					c.Assert(runs, qt.Equals, 0, qt.Commentf("%s was refused as not run", id))
				}
			}
			c.Assert(upstreams[0].copies > 0, qt.IsTrue)
		})
	}
}

// TestRefusalWithoutID guards against a refusal that leaves open whether the request has run, because
// the caller has sent no id by which it could be told from a copy.
func TestRefusalWithoutID(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, largeBudget, shedHandler)
	for range 5 {
		got := rig.do(rig.request(http.MethodPost, "/order/1", "a", func(r *http.Request) {
			r.Header.Set("X-Wait", "500")
		}))
		c.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	}
}
