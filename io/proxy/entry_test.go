package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestEntryForwards guards against requests or answers that are changed by the entry, and against
// callers that set headers reserved for daemons.
func TestEntryForwards(t *testing.T) {
	c := qt.New(t)
	ran := &runCounter{}
	var got *http.Request
	address := startGate(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set(HeaderVersion, "9")
		w.Header().Set("X-Answer", "yes")
		ran.handler(w, r)
	})
	rig := newEntryRig(t, nil, gateHost("a", address))
	a := rig.do(rig.request("POST", "/order/1%2F2?q=%20", "x", func(r *http.Request) {
		r.Header.Set(HeaderSender, "forged")
		r.Header.Set(HeaderHomeRegions, "forged")
		r.Header.Set(HeaderShed, "forged")
		r.Header.Set(HeaderTimeout, "5000")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
		r.Header.Set("Connection", "X-Hop")
	}))
	c.Assert(a.err, qt.IsNil)
	c.Check(a.status, qt.Equals, http.StatusOK)
	c.Check(a.body, qt.Equals, "ran x")
	c.Check(a.header.Get("X-Answer"), qt.Equals, "yes")
	c.Check(a.header.Get(HeaderVersion)+a.header.Get(HeaderLoad), qt.Equals, "")
	c.Check(got.RequestURI, qt.Equals, "/order/1%2F2?q=%20")
	c.Check(got.Host, qt.Equals, "mesh.test")
	for name, want := range map[string]string{
		HeaderSender:      "self",
		HeaderHomeRegions: "",
		HeaderShed:        "",
		HeaderDepth:       "1",
		HeaderRoute:       "order",
		HeaderVersion:     "1",
		"X-Hop":           "",
		"X-Kept":          "1",
	} {
		c.Check(got.Header.Get(name), qt.Equals, want, qt.Commentf("%s", name))
	}
	c.Check(rig.view.observed, qt.Equals, core.Version(9))
}

// TestEntryRetriesElsewhere guards against an order that is not retried, or runs twice, after a
// refusal that says that it has not run.
func TestEntryRetriesElsewhere(t *testing.T) {
	for _, kind := range []core.ErrorKind{core.Overloaded, core.Cold, core.Leaving, core.ZoneOut, core.Starting, core.SuspectView, core.NoUpstream} {
		t.Run(string(kind), func(t *testing.T) {
			c := qt.New(t)
			ran := &runCounter{}
			hosts := []core.Host{
				gateHost("bad", startGate(t, refuseWith(kind))),
				gateHost("good", startGate(t, ran.handler)),
			}
			rig := newEntryRig(t, nil, hosts...)
			for range 8 {
				a := rig.do(rig.request("POST", "/order", "x"))
				c.Check(a.body, qt.Equals, "ran x")
			}
			c.Check(ran.of("x"), qt.Equals, 8)
		})
	}
}

// TestEntryOwnRefusals guards against a request that is forwarded although the entry has to refuse
// it, and against a refusal with the wrong kind or without the outcome "not run".
func TestEntryOwnRefusals(t *testing.T) {
	header := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	cases := []struct {
		name string
		path string
		edit func(*http.Request)
		view func(*fakeView)
		want core.ErrorKind
	}{
		{name: "no route", path: "/none", want: core.NoRoute},
		{name: "outside the home regions", path: "/home", want: core.HomeRegion},
		{name: "unknown tenant", path: "/order", edit: header(HeaderTenant, "hidden"), want: core.HomeRegion},
		{name: "too deep", path: "/order", edit: header(HeaderDepth, "8"), want: core.DepthExceeded},
		{name: "depth not a number", path: "/order", edit: header(HeaderDepth, "-1"), want: core.BadRequest},
		{name: "timeout not a number", path: "/order", edit: header(HeaderTimeout, "1s"), want: core.BadRequest},
		{name: "no time left", path: "/order", edit: header(HeaderTimeout, "0"), want: core.DeadlineBeforeRun},
		{name: "path traversal", path: "/order/%2e%2e/admin", want: core.BadRequest},
		{name: "large headers", path: "/order", edit: header("X-Large", strings.Repeat("x", maxHeaderBytes)), want: core.TooLarge},
		{name: "starting", path: "/order", view: func(v *fakeView) { v.snapshot, v.kind = nil, core.Starting }, want: core.Starting},
		{name: "suspect view", path: "/order", view: func(v *fakeView) { v.snapshot, v.kind = nil, core.SuspectView }, want: core.SuspectView},
		{name: "no members", path: "/order", view: func(v *fakeView) { v.members = nil }, want: core.NoUpstream},
		{name: "zone out", path: "/order", view: func(v *fakeView) {
			v.snapshot.Out = map[core.AvailabilityZone]bool{"canterbury-1": true}
		}, want: core.NoUpstream},
		{name: "no eligible owner", path: "/order", edit: header(HeaderIdempotencyKey, "1700000000000-a"), view: func(v *fakeView) {
			v.members[0].EligibleAt = 1_700_000_000_001
		}, want: core.NotOwner},
		{name: "dead owner", path: "/order", edit: header(HeaderIdempotencyKey, "1700000000000-a"), view: func(v *fakeView) {
			v.members[0].EligibleAt = 1
			v.members[0].State = core.MemberDead
		}, want: core.NotOwner},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ran := &runCounter{}
			rig := newEntryRig(t, nil, gateHost("a", startGate(t, ran.handler)))
			if tc.view != nil {
				rig.view.change(func() { tc.view(rig.view) })
			}
			r := rig.request("POST", tc.path, "x")
			if tc.edit != nil {
				tc.edit(r)
			}
			a := rig.do(r)
			c.Check(a.kind, qt.Equals, string(tc.want), qt.Commentf("%s", a.body))
			c.Check(a.outcome, qt.Equals, OutcomeNotRun)
			c.Check(a.status, qt.Equals, tc.want.Info().Status)
			c.Check(ran.of("x"), qt.Equals, 0)
			c.Check(rig.entry.Counters.Refusals.Get(string(tc.want)).String(), qt.Equals, "1")
			c.Check(rig.entry.Drain(t.Context()), qt.IsNil)
			c.Assert(rig.journal.events, qt.HasLen, 1)
			c.Check(rig.journal.events[0].Kind, qt.Equals, core.EventRequestRefused)
		})
	}
}

// TestEntryDrain guards against a planned stop that cuts off a request in flight or accepts new ones.
func TestEntryDrain(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	rig := newEntryRig(t, nil, gateHost("a", startGate(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = w.Write([]byte("whole"))
	})))
	first := make(chan answer, 1)
	go func() { first <- rig.do(rig.request("POST", "/order", "x")) }()
	<-arrived
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	c.Check(errors.Is(rig.entry.Drain(ended), context.Canceled), qt.IsTrue)
	a := rig.do(rig.request("POST", "/order", "y"))
	c.Check(a.kind, qt.Equals, string(core.Leaving))
	c.Check(a.closesConnection, qt.IsTrue)
	drained := make(chan error, 1)
	go func() { drained <- rig.entry.Drain(t.Context()) }()
	close(release)
	a = <-first
	c.Check(a.body, qt.Equals, "whole")
	c.Check(a.closesConnection, qt.IsTrue)
	c.Check(<-drained, qt.IsNil)
}

// TestEntryLocalGate guards against a refusal by the local gatekeeper that reaches the caller although
// another upstream is free, and against an incomplete answer that looks complete.
func TestEntryLocalGate(t *testing.T) {
	upload := strings.Repeat("x", maxBufferedBytes+1)
	cases := []struct {
		name  string
		gate  http.HandlerFunc
		body  string
		want  string
		isCut bool
	}{
		{name: "answer", gate: (&runCounter{}).handler, body: "x", want: "ran x"},
		{name: "large upload", gate: (&runCounter{}).handler, body: upload, want: "ran " + upload},
		{name: "refusal", gate: refuseWith(core.Cold), body: "x", want: "remote x"},
		{name: "refusal of a large upload", gate: refuseWith(core.Cold), body: upload, want: "remote " + upload},
		{name: "final refusal", gate: refuseWith(core.Limited), body: "x", want: "limited (notRun): scripted\n"},
		{name: "abort before the answer", gate: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, body: "x", want: "outcomeUnknown (unknown): no answer from the own upstream\n"},
		{name: "abort in the answer", gate: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("begun"))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, body: "x", isCut: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newEntryRig(t, func(config *EntryConfig) {
				config.LocalGate = tc.gate
			}, gateHost("self", ""), otherZoneHost("other", startGate(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(append([]byte("remote "), body...))
			})))
			a := rig.do(rig.request("POST", "/order", tc.body))
			c.Check(a.err != nil, qt.Equals, tc.isCut)
			if !tc.isCut {
				c.Check(a.body == tc.want, qt.IsTrue, qt.Commentf("%.80s", a.body))
			}
		})
	}
}

// TestEntryOwner guards against an order with an idempotency key that is sent to a second upstream
// after refusals by the owner of the key; it has to be retried on the owner.
func TestEntryOwner(t *testing.T) {
	c := qt.New(t)
	ran := &runCounter{}
	var refused atomic.Int32
	owner := gateHost("owner", startGate(t, func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) <= 3 {
			Refuse(w, core.NotOwner, "not yet")
			return
		}
		ran.handler(w, r)
	}))
	other := &runCounter{}
	rig := newEntryRig(t, func(config *EntryConfig) {
		config.Owner = func(string, []core.Member) (core.Host, bool) { return owner, true }
	}, gateHost("other", startGate(t, other.handler)), owner)
	a := rig.do(rig.request("POST", "/order", "x", func(r *http.Request) {
		r.Header.Set(HeaderIdempotencyKey, "1700000000000-a")
	}))
	c.Check(a.body, qt.Equals, "ran x")
	c.Check(ran.of("x"), qt.Equals, 1)
	c.Check(other.of("x"), qt.Equals, 0)
}

// TestEntryOverload guards against retries that multiply the load while all upstreams are overloaded.
func TestEntryOverload(t *testing.T) {
	c := qt.New(t)
	var hosts []core.Host
	for i := range 4 {
		hosts = append(hosts, gateHost(fmt.Sprintf("h%d", i), startGate(t, refuseWith(core.Overloaded))))
	}
	rig := newEntryRig(t, nil, hosts...)
	const requests = 500
	for range requests {
		a := rig.do(rig.request("POST", "/lookup", "x"))
		c.Assert(a.kind+a.outcome, qt.Equals, string(core.Overloaded)+OutcomeNotRun)
	}
	attempts := rig.entry.Counters.Attempts.Value()
	c.Check(attempts < requests*12/10, qt.IsTrue, qt.Commentf("%d attempts", attempts))
}

// TestEntryTrailers guards against lost trailers, such as the checksum of an upload.
func TestEntryTrailers(t *testing.T) {
	gate := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		w.Header().Set(http.TrailerPrefix+"Sum", r.Trailer.Get("Sum"))
	}
	for _, host := range []core.Host{gateHost("self", ""), gateHost("a", startGate(t, gate))} {
		c := qt.New(t)
		rig := newEntryRig(t, func(config *EntryConfig) { config.LocalGate = http.HandlerFunc(gate) }, host)
		r := rig.request("POST", "/order", strings.Repeat("x", 10_000))
		r.ContentLength, r.Trailer = -1, http.Header{"Sum": {"4"}}
		response, err := rig.client.Do(r)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		c.Check(err, qt.IsNil)
		c.Check(response.Trailer.Get("Sum"), qt.Equals, "4")
	}
}

// TestEntryDeadlineInDial guards against an unknown outcome of a request whose deadline passed before
// it got a connection.
func TestEntryDeadlineInDial(t *testing.T) {
	c := qt.New(t)
	rig := newEntryRig(t, func(config *EntryConfig) {
		config.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}, gateHost("a", "127.0.0.1:1"))
	a := rig.do(rig.request("POST", "/order", "x", func(r *http.Request) { r.Header.Set(HeaderTimeout, "50") }))
	c.Check(a.kind+a.outcome, qt.Equals, string(core.DeadlineBeforeRun)+OutcomeNotRun)
}
