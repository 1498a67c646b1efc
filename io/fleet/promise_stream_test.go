package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/fleet"
	"verbenaway/io/load"
)

// requestNote returns the base note with the routes of the tests that send requests. The
// upstreams start warm, so coldSlots is raised to most of the slots.
func requestNote() string {
	return strings.Replace(fleet.BaseNote(), "coldSlots = 2", "coldSlots = 12", 1) + `
[[add.route]]
name = "netSurvey"
host = "netbook.example"
pathPrefix = "/surveys"
methods = ["GET"]
service = "netbook"
class = "lookup"
idempotent = true
timeout = "15s"
[[add.route]]
name = "closure"
host = "netbook.example"
pathPrefix = "/closures"
methods = ["POST"]
service = "netbook"
class = "order"
idempotent = false
timeout = "15s"
`
}

// lookupRequest is an idempotent request, orderRequest a non-idempotent one.
var (
	lookupRequest = load.RequestTemplate{
		Method:      http.MethodGet,
		Host:        "netbook.example",
		Path:        "/surveys/1",
		AnswerBytes: 4096,
		ServiceMs:   20,
		Timeout:     15 * time.Second,
	}
	orderRequest = load.RequestTemplate{
		Method:      http.MethodPost,
		Host:        "netbook.example",
		Path:        "/closures/1",
		AnswerBytes: 4096,
		ServiceMs:   20,
		Timeout:     15 * time.Second,
	}
)

// sentRequest is one request of a stream with the result that its caller got.
type sentRequest struct {
	id     string
	result load.Result
}

// stream sends requests from concurrent workers, one at a time in each.
type stream struct {
	mu      sync.Mutex
	results []sentRequest
	ended   atomic.Bool
	workers sync.WaitGroup
	sender  *load.Sender
	ok      atomic.Int64
}

// startStream sends requests through the entries in turn until it is stopped.
func startStream(t *testing.T, f *fleet.Fleet, entries []int, workers int, template load.RequestTemplate) *stream {
	return startStreamTo(t, callerAddresses(f, entries), workers, template)
}

// startStreamTo sends requests to the caller addresses in turn until it is stopped.
func startStreamTo(t *testing.T, addresses []string, workers int, template load.RequestTemplate) *stream {
	s := &stream{
		sender: load.NewSender(load.SenderConfig{
			Entries: addresses,
		}),
	}
	for worker := range workers {
		s.workers.Go(func() {
			for i := 0; !s.ended.Load(); i++ {
				s.send(template, fmt.Sprintf("%s-%d-%d", template.Path, worker, i))
			}
		})
	}
	t.Cleanup(func() {
		s.stop()
	})
	return s
}

func (s *stream) send(template load.RequestTemplate, id string) {
	result := s.sender.Send(context.Background(), template, id, "")
	if result.Outcome == load.OK {
		s.ok.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, sentRequest{
		id:     id,
		result: result,
	})
}

// stop ends the stream and returns all its results.
func (s *stream) stop() []sentRequest {
	s.ended.Store(true)
	s.workers.Wait()
	s.sender.Close()
	return s.results
}

func callerAddresses(f *fleet.Fleet, daemons []int) []string {
	var addresses []string
	for _, i := range daemons {
		addresses = append(addresses, f.Daemons[i].CallerAddress())
	}
	return addresses
}

func anyHost(core.Host) bool { return true }

// checkNoneCut checks that each request got its complete answer or a refusal that says that it did
// not run.
func checkNoneCut(c *qt.C, results []sentRequest) {
	for _, s := range results {
		if s.result.Outcome != load.OK && (s.result.Outcome != load.Refused || !s.result.NotRun) {
			c.Errorf("request %s ended as %s: %v", s.id, s.result.Outcome, s.result.Err)
		}
	}
}

// awaitWorkSince waits until one of the upstreams of the given daemons has begun to run a request
// at or after a time.
func awaitWorkSince(t *testing.T, f *fleet.Fleet, daemons []int, at time.Time) {
	t.Helper()
	await(t, time.Until(at)+startBound, "one of the given upstreams begins to run a request after the given time", func() bool {
		for _, i := range daemons {
			if f.Upstreams[i].Runs(false).LastStart >= at.UnixMilli() {
				return true
			}
		}
		return false
	})
}

// inFlight returns the number of requests that the upstreams of the given daemons run now.
func inFlight(f *fleet.Fleet, daemons []int) int {
	sum := 0
	for _, i := range daemons {
		sum += f.Upstreams[i].Runs(false).InFlight
	}
	return sum
}

// awaitWorkEverywhere waits until each upstream has begun to run at least two requests.
func awaitWorkEverywhere(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	await(t, startBound, "each upstream has begun to run two requests", func() bool {
		for _, upstream := range f.Upstreams {
			if upstream.Runs(false).Requests < 2 {
				return false
			}
		}
		return true
	})
}

// checkNoNewWork checks that the upstreams of the given daemons began to run no request later than
// newWorkBound after a time.
func checkNoNewWork(c *qt.C, f *fleet.Fleet, daemons []int, since time.Time) {
	for _, i := range daemons {
		last := time.UnixMilli(f.Upstreams[i].Runs(false).LastStart)
		if late := last.Sub(since); late > newWorkBound {
			c.Errorf("the upstream on %s began to run a request %v after the change, later than newWorkBound", f.Daemons[i].Self().Name, late)
		}
	}
}
