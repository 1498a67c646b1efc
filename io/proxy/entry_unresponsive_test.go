package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnresponsiveUpstream guards against lookups that wait for an unresponsive host until their
// deadline while another host is healthy.
func TestUnresponsiveUpstream(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, largeBudget, hangHandler, signedHandler)
	var group sync.WaitGroup
	answers := make(chan answer, 8)
	for range 8 {
		group.Go(func() {
			answers <- rig.send("GET", "/lookup/1", "")
		})
	}
	group.Wait()
	close(answers)
	for got := range answers {
		c.Check(got.status, qt.Equals, 200)
		c.Check(got.body, qt.Equals, "ran  by i1")
	}
}

// TestSlowAnswersAreAwaited guards against the end of an attempt at which the upstream is at work, because
// its entry has seen no answer for a while: the upstream answers the requests of other entries.
func TestSlowAnswersAreAwaited(t *testing.T) {
	c := qt.New(t)
	var canceled atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/lookup/slow" {
			select {
			case <-time.After(900 * time.Millisecond):
			case <-r.Context().Done():
				canceled.Add(1)
				return
			}
		}
		signedHandler(w, r)
	}
	rig := newMeshRig(t, nil, largeBudget, handler, signedHandler)
	rig.hosts[0].member.Slots = 16
	rig.view.members[0].Slots = 16
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			request := httptest.NewRequest(http.MethodGet, "/lookup/fast", nil)
			request.Header.Set("X-Id", "other")
			request.Header.Set("X-Wait", "2000")
			request.Host = "mesh.test"
			request.Header.Set(HeaderRoute, "lookup")
			request.Header.Set(HeaderService, "netbook")
			recorder := httptest.NewRecorder()
			rig.hosts[0].gate.ServeHTTP(recorder, request)
			c.Check(recorder.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", recorder.Body))
		}
	})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			got := rig.send("GET", "/lookup/slow", "")
			c.Check(got.status, qt.Equals, 200)
			c.Check(got.body, qt.Equals, "ran  by i0")
		})
	}
	group.Wait()
	close(stop)
	others.Wait()
	c.Assert(canceled.Load(), qt.Equals, int32(0))
}

// TestLostHostIsProbed guards against a single lookup that waits for a host without power until its
// connection times out, while another host is healthy.
func TestLostHostIsProbed(t *testing.T) {
	c := qt.New(t)
	rig := newMeshRig(t, nil, largeBudget, signedHandler, signedHandler)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	rig.view.members[0].Host.GateAddress = listener.Addr().String()
	start := time.Now()
	got := rig.send("GET", "/lookup/1", "")
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "ran  by i1")
	c.Assert(time.Since(start) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

// TestAnswerBeginsOnce guards against a caller whose connection is closed without an answer because
// its attempt is canceled while the answer begins: exactly one of the two may happen.
func TestAnswerBeginsOnce(t *testing.T) {
	c := qt.New(t)
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		w := &unresponsiveWatch{
			cancel: cancel,
			timer:  time.NewTimer(time.Hour),
		}
		var group sync.WaitGroup
		var began bool
		group.Go(func() { began = w.beginAnswer() })
		group.Go(func() { w.cancelAttempt() })
		group.Wait()
		c.Assert(w.hasCanceled(), qt.Equals, !began)
		c.Assert(ctx.Err() == nil, qt.Equals, began)
		w.stop()
	}
}
