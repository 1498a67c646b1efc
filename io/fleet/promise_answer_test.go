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

// Promise 4: an upstream that falls cold without a sign, while more requests come than it
// bears, never fails of overload. It guards against a gatekeeper that keeps the limit of a
// warm upstream, and against entries that send again what was shed.
func TestPromiseColdUpstreamIsSpared(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	template := upstreamTemplate()
	template.ColdSlots = 2
	template.ColdFor = 2 * time.Second
	f := startFleet(t, fleet.Config{
		Daemons:  6,
		Upstream: template,
	}, strings.Replace(requestNote(), "coldSlots = 12", "coldSlots = 2", 1))
	requests := startStream(t, f, f.Members(everyHost), 60, survey)
	awaitSpread(t, f)
	await(t, startBound, "a gatekeeper admits more than a cold upstream bears", func() bool {
		return f.Daemons[0].Status().ConcurrencyLimit >= 8
	})
	f.Upstreams[0].SetFaults(stand.UpstreamFaults{
		FallCold: true,
	})
	fell := time.Now()
	await(t, startBound, "the cold upstream sheds", func() bool {
		return f.Upstreams[0].Runs(false).ColdShed > 0
	})
	workUntil(t, f, f.Members(everyHost), fell.Add(template.ColdFor))
	requests.stop()
	for _, upstream := range f.Upstreams {
		c.Check(upstream.Runs(false).ColdOverloads, qt.Equals, int64(0))
	}
}

// vaultNote adds a service and a route at home in one region.
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

// Promise 6: a route with a home region is run nowhere else and is in no snapshot elsewhere,
// also while the regions are cut off from each other, although hosts of its service are
// there. It guards against slices that hold too much and against a choice that falls back
// to other regions. Only control messages are cut: the stand-in links carry no requests.
func TestPromiseHomeRegion(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons:  10,
		Services: []core.ServiceName{"cliffvault", "netbook"},
		Upstream: upstreamTemplate(),
	}, requestNote())
	_, err := f.Await(f.Publish(vaultNote), 10, inForceBound)
	c.Assert(err, qt.IsNil)
	photo := survey
	photo.Host, photo.Path = "vault.example", "/photos/1"
	photo.Timeout = 5 * time.Second
	requests := startStream(t, f, f.Members(everyHost), 20, photo)
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

// checkNoneWrong checks that no answer ended cleanly without being the complete one to the
// own request.
func checkNoneWrong(c *qt.C, results []sent) {
	for _, s := range results {
		if s.result.Outcome == load.Wrong {
			c.Errorf("request %s: %v", s.id, s.result.Err)
		}
	}
}

// Promise 7: each caller gets the complete answer to its own request or sees an error, while
// upstreams cut some answers, reset others and answer late. It guards against a cut answer
// that ends cleanly, and against a connection that is used again with an answer left on it.
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
			// Late answers come after the caller has given up.
			shape := survey
			shape.Timeout = 200 * time.Millisecond
			shape.AnswerBytes = 256 << 10
			requests := startStream(t, f, f.Members(everyHost), 20, shape)
			await(t, startBound, "some requests are answered and some are not", func() bool {
				ok, others := requests.counts()
				return ok >= 200 && others >= 20
			})
			checkNoneWrong(c, requests.stop())
		})
	}
}

// counts returns the complete answers and all other outcomes.
func (s *stream) counts() (ok, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = int(s.ok.Load())
	return ok, len(s.results) - ok
}
