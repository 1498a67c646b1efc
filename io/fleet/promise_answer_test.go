package fleet_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/fleet"
	"verbenaway/io/load"
	"verbenaway/io/stand"
)

// TestPromiseColdUpstreamIsNotOverloaded checks promise 4: an upstream that begins a cold start
// unannounced, while more requests arrive than it can run, never fails from overload. The test
// guards against a gatekeeper that keeps the limit of a warm upstream, and against entries that
// resend shed requests.
func TestPromiseColdUpstreamIsNotOverloaded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	template := upstreamTemplate()
	template.ColdSlots = 2
	template.ColdFor = 2 * time.Second
	f := startFleet(t, fleet.Config{
		Daemons:  6,
		Upstream: template,
	}, strings.Replace(requestNote(), "coldSlots = 12", "coldSlots = 2", 1))
	requests := startStream(t, f, f.FindDaemons(anyHost), 60, lookupRequest)
	awaitWorkEverywhere(t, f)
	await(t, startBound, "a gatekeeper admits more than a cold upstream can run", func() bool {
		status, err := f.Daemons[0].Status()
		return err == nil && status.ConcurrencyLimit >= 8
	})
	f.Upstreams[0].SetFaults(stand.UpstreamFaults{
		ColdStart: true,
	})
	coldSince := time.Now()
	await(t, startBound, "the cold upstream sheds", func() bool {
		return f.Upstreams[0].Runs(false).ColdShed > 0
	})
	awaitWorkSince(t, f, f.FindDaemons(anyHost), coldSince.Add(template.ColdFor))
	requests.stop()
	for _, upstream := range f.Upstreams {
		c.Check(upstream.Runs(false).ColdOverloads, qt.Equals, int64(0))
	}
}

// vaultNote adds a service and a route whose only home region is north.
const vaultNote = `
[[add.service]]
name = "cliffvault"
slots = 18
connections = 130
coldSlots = 12
warmUp = "1s"
reservedSlots = 0
homeRegions = ["north"]
[[add.route]]
name = "vault"
host = "vault.example"
pathPrefix = "/photos"
methods = ["GET"]
service = "cliffvault"
class = "lookup"
idempotent = true
timeout = "5s"
homeRegions = ["north"]
`

// TestPromiseHomeRegion checks promise 6: requests of a route with a home region run only there,
// and no snapshot of another region contains the route, although hosts of its service are there,
// and also while the regions are cut off from each other. The test guards against slices that
// contain too much and against a fallback to hosts in other regions. Only control messages are cut,
// since requests do not pass through the simulated links.
func TestPromiseHomeRegion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons:  10,
		Services: []core.ServiceName{"cliffvault", "netbook"},
		Upstream: upstreamTemplate(),
	}, requestNote())
	_, err := f.AwaitVersion(f.Publish(vaultNote), 10, inForceBound)
	c.Assert(err, qt.IsNil)
	vaultRequest := lookupRequest
	vaultRequest.Host, vaultRequest.Path = "vault.example", "/photos/1"
	vaultRequest.Timeout = 5 * time.Second
	requests := startStream(t, f, f.FindDaemons(anyHost), 20, vaultRequest)
	for _, isCut := range []bool{true, false} {
		f.CutRegions("north", "south", isCut)
		want := requests.ok.Load() + 200
		await(t, startBound, "requests are served", func() bool { return requests.ok.Load() >= want })
	}
	checkNoneWrong(c, requests.stop())
	for i, d := range f.Daemons {
		if d.Self().Region == "north" {
			continue
		}
		if d.Self().Service == "cliffvault" {
			c.Check(f.Upstreams[i].Runs(false).Requests, qt.Equals, int64(0))
		}
		snapshot, _ := d.Agent().Snapshot()
		c.Assert(snapshot, qt.IsNotNil)
		_, hasRoute := snapshot.Routes["vault"]
		_, hasService := snapshot.Services["cliffvault"]
		c.Check(hasRoute || hasService, qt.IsFalse)
	}
}

// checkNoneWrong checks that no answer ended cleanly but is incomplete, altered or for another
// request.
func checkNoneWrong(c *qt.C, results []sentRequest) {
	for _, s := range results {
		if s.result.Outcome == load.Wrong {
			c.Errorf("request %s: %v", s.id, s.result.Err)
		}
	}
}

// TestPromiseOwnCompleteAnswer checks promise 7: each caller gets the complete answer to its own
// request or an error, while upstreams cut answers, reset connections or answer late. The test
// guards against a cut answer that ends cleanly at the caller, and against the reuse of a
// connection with an unread answer.
func TestPromiseOwnCompleteAnswer(t *testing.T) {
	cases := []struct {
		name   string
		faults stand.UpstreamFaults
	}{
		{name: "cut", faults: stand.UpstreamFaults{Cut: true, Every: 3}},
		{name: "reset", faults: stand.UpstreamFaults{ResetAfter: true, Every: 3}},
		{name: "late", faults: stand.UpstreamFaults{Delay: core.Duration(400 * time.Millisecond), Every: 3}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, fleet.Config{
				Daemons:  6,
				Upstream: upstreamTemplate(),
			}, requestNote())
			for _, upstream := range f.Upstreams {
				upstream.SetFaults(test.faults)
			}
			// The timeout is shorter than the delay of late answers.
			template := lookupRequest
			template.Timeout = 200 * time.Millisecond
			template.AnswerBytes = 256 << 10
			requests := startStream(t, f, f.FindDaemons(anyHost), 20, template)
			await(t, startBound, "some requests are answered and some are not", func() bool {
				ok, others := requests.counts()
				return ok >= 200 && others >= 20
			})
			checkNoneWrong(c, requests.stop())
		})
	}
}

// counts returns the numbers of complete answers and of all other results.
func (s *stream) counts() (ok, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = int(s.ok.Load())
	return ok, len(s.results) - ok
}
