package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter is a ResponseWriter whose link takes nothing until it is released.
type slowWriter struct {
	*httptest.ResponseRecorder
	began    chan struct{}
	released chan struct{}
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	select {
	case <-w.began:
	default:
		close(w.began)
	}
	<-w.released
	return w.ResponseRecorder.Write(p)
}

// TestSlotIsFreeDuringDownload guards against an upstream that stays idle while a slow link takes the
// answer that it has given.
func TestSlotIsFreeDuringDownload(t *testing.T) {
	c := qt.New(t)
	const answerBytes = 200_000
	rig := newMeshRig(t, nil, largeBudget, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
		_, _ = w.Write([]byte(strings.Repeat("x", answerBytes)))
	})
	host := rig.hosts[0]
	request := func() *http.Request {
		r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil)
		r.Host = rig.view.snapshot.Routes["lookup"].Host
		r.Header.Set("X-Id", "a")
		r.Header.Set(HeaderService, string(host.member.Host.Service))
		r.Header.Set(HeaderTimeout, "2000")
		return r
	}
	slow := make([]*slowWriter, host.member.Slots)
	done := make(chan struct{}, len(slow))
	for i := range slow {
		slow[i] = &slowWriter{
			ResponseRecorder: httptest.NewRecorder(),
			began:            make(chan struct{}),
			released:         make(chan struct{}),
		}
		go func() {
			host.gate.ServeHTTP(slow[i], request())
			done <- struct{}{}
		}()
	}
	for i := range slow {
		select {
		case <-slow[i].began:
		case <-time.After(10 * time.Second):
			c.Fatalf("download %d got no answer", i)
		}
	}
	// All slots would be taken if the downloads still held them.
	fast := httptest.NewRecorder()
	host.gate.ServeHTTP(fast, request())
	c.Assert(fast.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", fast.Header()))
	for i := range slow {
		close(slow[i].released)
		<-done
		c.Check(slow[i].Body.Len(), qt.Equals, answerBytes)
	}
	c.Assert(host.gate.heldBytes.Load(), qt.Equals, int64(0))
	inFlight, _ := host.gate.Load()
	c.Assert(inFlight, qt.Equals, 0)
}

// TestHeldAnswersAreBounded guards against memory that grows with the number of slow downloads.
func TestHeldAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	gate := &Gate{
		config: GateConfig{
			Dialect: fakeDialect{},
		},
	}
	response := &http.Response{
		ContentLength: 100_000,
	}
	count := 0
	for range 1000 {
		if pool, _ := gate.holdAnswer(http.MethodGet, response); pool != nil {
			count++
		}
	}
	c.Assert(count, qt.Equals, maxHeldBytes/bulkBytes)
	c.Assert(gate.heldBytes.Load(), qt.Equals, int64(maxHeldBytes))
}
