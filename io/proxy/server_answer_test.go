package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// fakeDecisionLog keeps the decisions that end requests.
type fakeDecisionLog struct {
	mu        sync.Mutex
	decisions []core.Decision
}

// RecordDecision implements core.DecisionLog.
func (l *fakeDecisionLog) RecordDecision(decision core.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if decision.Status != 0 {
		l.decisions = append(l.decisions, decision)
	}
}

// taken returns the decisions since the last call.
func (l *fakeDecisionLog) taken() []core.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	decisions := l.decisions
	l.decisions = nil
	return decisions
}

// listenPipelined serves callers as the daemon does and returns the address.
func (rig *entryRig) listenPipelined(c *qt.C, edit func(*http.Server)) string {
	return rig.serveWith(c, edit, func(listener net.Listener) net.Listener {
		return &PipelineListener{
			Listener: listener,
			Entry:    rig.entry,
		}
	})
}

// TestServerAnswersAreRecorded guards against answers of the HTTP server itself that leave neither a
// count nor a line.
func TestServerAnswersAreRecorded(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{name: "no request", text: "rest of a body\r\n\r\n", status: http.StatusBadRequest},
		{name: "no host", text: "GET /lookup HTTP/1.1\r\n\r\n", status: http.StatusBadRequest},
		{
			name:   "large header",
			text:   "GET /lookup HTTP/1.1\r\nHost: mesh.test\r\nX: " + strings.Repeat("x", 2*maxServerHeaderBytes) + "\r\n\r\n",
			status: http.StatusRequestHeaderFieldsTooLarge,
		},
		{
			name:   "transfer encoding",
			text:   "POST /lookup HTTP/1.1\r\nHost: mesh.test\r\nTransfer-Encoding: gzip\r\n\r\n",
			status: http.StatusNotImplemented,
		},
		{name: "version", text: "GET /lookup HTTP/3.0\r\nHost: mesh.test\r\n\r\n", status: http.StatusHTTPVersionNotSupported},
		{
			name:   "expectation",
			text:   "GET /lookup HTTP/1.1\r\nHost: mesh.test\r\nExpect: more\r\n\r\n",
			status: http.StatusExpectationFailed,
		},
	}
	// The server keeps the connection for half a second after its own answer.
	var open sync.WaitGroup
	t.Cleanup(open.Wait)
	for _, tc := range cases {
		for before := range 3 {
			t.Run(fmt.Sprint(tc.name, before), func(t *testing.T) {
				c := qt.New(t)
				log := &fakeDecisionLog{}
				ran := &runCounter{}
				rig := newEntryRig(t, func(config *EntryConfig) {
					config.Decisions = log
				}, gateHost("a", startGate(t, ran.handler)))
				open.Add(1)
				caller := dialPresent(c, rig.listenPipelined(c, func(server *http.Server) {
					server.ConnState = func(conn net.Conn, state http.ConnState) {
						observeConnState(conn, state)
						if state == http.StateClosed {
							open.Done()
						}
					}
				}))
				for range before {
					caller.send(c, rawRequest("GET", "/lookup", ""))
					c.Assert(caller.read(c).status, qt.Equals, http.StatusOK)
				}
				waitUntil(t, func() bool { return len(log.taken()) == before })
				go func() { _, _ = io.WriteString(caller.conn, tc.text) }()
				_ = caller.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				response, err := http.ReadResponse(caller.reader, nil)
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, tc.status)
				got := log.taken()
				c.Assert(got, qt.HasLen, 1)
				c.Assert(got[0].Kind, qt.Equals, core.DecisionRefused)
				c.Assert(got[0].Error, qt.Equals, core.ProtocolError)
				c.Assert(got[0].Status, qt.Equals, tc.status)
				c.Assert(got[0].Detail, qt.Contains, fmt.Sprintf("after %d requests", before))
				c.Assert(rig.entry.Counters.Refusals.Get(string(core.ProtocolError)).String(), qt.Equals, "1")
			})
		}
	}
}

// TestHandlerAnswersAreNoServerAnswers guards against answers of handlers that are counted as those of
// the HTTP server: large ones, refusals, pipelined ones, and one behind another that was interrupted.
func TestHandlerAnswersAreNoServerAnswers(t *testing.T) {
	c := qt.New(t)
	rig := newEntryRig(t, nil, gateHost("a", startGate(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("HTTP/1.1 400 Bad Request\r\n\r\n", 9000))
	})))
	caller := dialPresent(c, rig.listenPipelined(c, func(*http.Server) {}))
	for range 5 {
		caller.send(c, rawRequest("GET", "/lookup", "")+rawRequest("GET", "/lookup/2", "")+
			rawRequest("GET", "/none", "")+rawRequest("POST", "/lookup", "x")+
			"POST /lookup HTTP/1.1\r\nHost: mesh.test\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		caller.send(c, "x")
		for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusNotFound, http.StatusOK, http.StatusContinue, http.StatusOK} {
			c.Assert(caller.readStatus(c), qt.Equals, want)
		}
	}
	c.Assert(rig.entry.Counters.Refusals.Get(string(core.ProtocolError)), qt.IsNil)
}

// readStatus reads the next answer, of any status.
func (p *present) readStatus(c *qt.C) int {
	_ = p.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(p.reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = bufio.NewReader(response.Body).WriteTo(io.Discard)
	c.Assert(err, qt.IsNil)
	return response.StatusCode
}
