package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialPipelined connects to an entry that starts pipelined requests early and has one gatekeeper.
func dialPipelined(t *testing.T, gate http.HandlerFunc) net.Conn {
	t.Helper()
	_, conn := dialPipelinedEntry(t, gate)
	return conn
}

// dialPipelinedEntry is dialPipelined for tests that use the entry too.
func dialPipelinedEntry(t *testing.T, gate http.HandlerFunc) (*Entry, net.Conn) {
	t.Helper()
	rig := newEntryRig(t, nil, gateHost("a", startGate(t, gate)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := rig.entry.Server()
	go func() {
		_ = server.Serve(&PipelineListener{
			Listener: listener,
			Entry:    rig.entry,
		})
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = server.Close()
	})
	return rig.entry, conn
}

func rawRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: mesh.test\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func readAnswers(t *testing.T, conn net.Conn, count int) []string {
	t.Helper()
	reader := bufio.NewReader(conn)
	var bodies []string
	for range count {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		text := new(strings.Builder)
		_, err = bufio.NewReader(response.Body).WriteTo(text)
		qt.Assert(t, err, qt.IsNil)
		bodies = append(bodies, text.String())
	}
	return bodies
}

// TestPipelinedSlowAnswers guards against pipelined requests that are started one after the other.
// Each of the six takes 200 ms, so that they would take 1.2 s in sequence.
func TestPipelinedSlowAnswers(t *testing.T) {
	c := qt.New(t)
	conn := dialPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	start := time.Now()
	var want []string
	for i := range 6 {
		path := fmt.Sprintf("/lookup/%d", i)
		want = append(want, path)
		// Some requests arrive together, others in parts while an answer is outstanding.
		text := rawRequest("GET", path, "")
		_, err := conn.Write([]byte(text[:10]))
		c.Assert(err, qt.IsNil)
		if i%2 == 1 {
			time.Sleep(10 * time.Millisecond)
		}
		_, err = conn.Write([]byte(text[10:]))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(readAnswers(t, conn, 6), qt.DeepEquals, want)
	c.Assert(time.Since(start) < 700*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
}

// TestPipelinedOrdersWait guards against an order that starts before earlier requests are answered:
// such an answer may still close the connection, and the caller would send the order again. Orders
// run one at a time, in sequence.
func TestPipelinedOrdersWait(t *testing.T) {
	c := qt.New(t)
	var running, maxRunning atomic.Int32
	conn := dialPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/order") {
			now := running.Add(1)
			defer running.Add(-1)
			maxRunning.Store(max(maxRunning.Load(), now))
		}
		text := new(strings.Builder)
		_, _ = bufio.NewReader(r.Body).WriteTo(text)
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprint(w, r.URL.Path+text.String())
	})
	_, err := conn.Write([]byte(rawRequest("POST", "/order/1", "a") + rawRequest("POST", "/order/2", "b") +
		rawRequest("GET", "/order/3", "") + rawRequest("POST", "/order/4", strings.Repeat("c", 9000)) + rawRequest("GET", "/lookup/5", "")))
	c.Assert(err, qt.IsNil)
	c.Assert(readAnswers(t, conn, 5), qt.DeepEquals, []string{
		"/order/1a", "/order/2b", "/order/3", "/order/4" + strings.Repeat("c", 9000), "/lookup/5",
	})
	c.Assert(maxRunning.Load(), qt.Equals, int32(1))
}

// TestPipelinedCallerLeaves guards against current and early requests that continue to run after the
// caller has closed the connection.
func TestPipelinedCallerLeaves(t *testing.T) {
	c := qt.New(t)
	var running, canceled atomic.Int32
	conn := dialPipelined(t, func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-r.Context().Done()
		canceled.Add(1)
	})
	_, err := conn.Write([]byte(strings.Repeat(rawRequest("GET", "/lookup/1", ""), 3)))
	c.Assert(err, qt.IsNil)
	waitUntil(t, func() bool { return running.Load() == 3 })
	c.Assert(conn.Close(), qt.IsNil)
	waitUntil(t, func() bool { return canceled.Load() == 3 })
}

// TestPipelinedAnswersAtPlannedStop guards against a planned stop that cuts pipelined requests which were
// passed on. Their answers come in order, and the last of them closes the connection.
func TestPipelinedAnswersAtPlannedStop(t *testing.T) {
	const requests = 4
	paths := make([]string, requests)
	text := ""
	for i := range paths {
		paths[i] = fmt.Sprintf("/lookup/%d", i)
		text += rawRequest("GET", paths[i], "")
	}
	cases := []struct {
		name string
		// isServed tells whether the gatekeeper answers the request at a position before those in front
		// of it.
		isServed func(position int) bool
		drains   bool
	}{
		{name: "all at once", isServed: func(int) bool { return false }},
		{name: "all at once, with draining", isServed: func(int) bool { return false }, drains: true},
		{name: "those behind the first had their answers", isServed: func(position int) bool { return position > 0 }},
		{name: "those behind the first had their answers, with draining", isServed: func(position int) bool { return position > 0 }, drains: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var arrived atomic.Int32
			blocked := make(chan struct{})
			proceed := sync.OnceFunc(func() { close(blocked) })
			entry, conn := dialPipelinedEntry(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(HeaderProbe) != "" {
					// The entry announces when it closes; this is no request of a caller.
					w.WriteHeader(http.StatusNoContent)
					return
				}
				arrived.Add(1)
				if !tc.isServed(slices.Index(paths, r.URL.Path)) {
					<-blocked
				}
				_, _ = fmt.Fprint(w, r.URL.Path)
			})
			t.Cleanup(proceed)
			_, err := conn.Write([]byte(text))
			c.Assert(err, qt.IsNil)
			waitUntil(t, func() bool { return arrived.Load() == requests })
			entry.Leave(time.Now().Add(time.Minute))
			drained := make(chan error, 1)
			if tc.drains {
				go func() { drained <- entry.Drain(t.Context()) }()
			}
			// A request that was not passed on may be cut.
			_, err = conn.Write([]byte(rawRequest("GET", "/lookup/late", "")))
			c.Assert(err, qt.IsNil)
			c.Assert(entry.InFlight(), qt.Equals, requests)
			proceed()
			reader := bufio.NewReader(conn)
			for i, want := range paths {
				response, readErr := http.ReadResponse(reader, nil)
				c.Assert(readErr, qt.IsNil, qt.Commentf("answer %d", i))
				body, readErr := io.ReadAll(response.Body)
				c.Assert(readErr, qt.IsNil)
				c.Assert(string(body), qt.Equals, want)
				c.Assert(response.Close, qt.Equals, i == requests-1)
			}
			if tc.drains {
				c.Assert(<-drained, qt.IsNil)
			}
			c.Assert(arrived.Load(), qt.Equals, int32(requests))
			waitUntil(t, func() bool { return entry.InFlight() == 0 })
		})
	}
}

// TestPipelinedBehindLastRequest guards against pipelined requests that are passed on although the
// answer in front of them closes the connection, which cuts them.
func TestPipelinedBehindLastRequest(t *testing.T) {
	const lookup = "GET /lookup/1 HTTP/1.1\r\nHost: mesh.test\r\n\r\n"
	cases := []struct {
		name string
		text string
	}{
		{name: "asks to close", text: "GET /lookup/0 HTTP/1.1\r\nHost: mesh.test\r\nConnection: close\r\n\r\n" + lookup},
		{name: "asks to close, pipelined itself", text: lookup + "GET /lookup/0 HTTP/1.1\r\nHost: mesh.test\r\nConnection: close\r\n\r\n" + lookup},
		{name: "HTTP/1.0", text: "GET /lookup/0 HTTP/1.0\r\nHost: mesh.test\r\n\r\n" + lookup},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var arrived atomic.Int32
			conn := dialPipelined(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/lookup/1" {
					arrived.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
				_, _ = fmt.Fprint(w, r.URL.Path)
			})
			_, err := conn.Write([]byte(tc.text))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			answered, isClosing := int32(0), false
			reader := bufio.NewReader(conn)
			for {
				response, readErr := http.ReadResponse(reader, nil)
				if readErr != nil {
					break
				}
				body, _ := io.ReadAll(response.Body)
				if string(body) == "/lookup/1" {
					answered++
				}
				if isClosing = response.Close; isClosing {
					break
				}
			}
			c.Assert(isClosing, qt.IsTrue)
			c.Assert(arrived.Load() <= answered, qt.IsTrue, qt.Commentf("%d arrived, %d answered", arrived.Load(), answered))
		})
	}
}

// TestPipelinedBehindOrder guards against a lookup that runs twice: it starts early although the server
// has already got the order in front of it, which is taken for the lookup, so that this is canceled.
func TestPipelinedBehindOrder(t *testing.T) {
	c := qt.New(t)
	var lookups atomic.Int32
	conn := dialPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/2" {
			lookups.Add(1)
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = fmt.Fprint(w, r.URL.Path)
	})
	for _, text := range []string{
		rawRequest("GET", "/lookup/0", ""),
		rawRequest("POST", "/order/1", "a"),
		rawRequest("GET", "/lookup/2", "") + rawRequest("GET", "/lookup/3", ""),
	} {
		_, err := conn.Write([]byte(text))
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(readAnswers(t, conn, 4), qt.DeepEquals, []string{"/lookup/0", "/order/1", "/lookup/2", "/lookup/3"})
	c.Assert(lookups.Load(), qt.Equals, int32(1))
}

// waitUntil fails the test if the condition is not met within 500 ms, in which requests of a
// disconnected caller must end.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(500 * time.Millisecond); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 500 ms")
		}
	}
}

// readStatuses returns the statuses of the next answers.
func readStatuses(c *qt.C, conn net.Conn, count int) []int {
	reader := bufio.NewReader(conn)
	statuses := make([]int, count)
	for i := range statuses {
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		statuses[i] = response.StatusCode
	}
	return statuses
}
