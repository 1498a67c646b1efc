package stand_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/io/stand"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeClock changes only when it is advanced.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock {
	return &fakeClock{
		now: time.Unix(1_700_000_000, 0),
	}
}

func (f *fakeClock) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeClock) advance(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(by)
}

// serve serves a handler until the end of the test.
func serve(c *qt.C, handler http.Handler) (*stand.Server, *http.Client) {
	server, err := stand.Serve("127.0.0.1:0", handler)
	c.Assert(err, qt.IsNil)
	transport := &http.Transport{}
	c.Cleanup(func() {
		transport.CloseIdleConnections()
		c.Check(server.Close(), qt.IsNil)
	})
	return server, &http.Client{
		Transport: transport,
	}
}

// reply is the outcome of one request. Its body was read to the end.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request; headers alternates names and values.
func call(client *http.Client, method, address, body string, headers ...string) reply {
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return reply{
			err: err,
		}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer func() {
		_ = response.Body.Close()
	}()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(data),
		err:    err,
	}
}

// waitUntil yields the processor until a condition holds. Only the timeout of the test run
// limits it.
func waitUntil(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
