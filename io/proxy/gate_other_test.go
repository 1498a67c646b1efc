package proxy

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestAnswerOfOtherServer guards against an answer that is passed on although neither the gatekeeper nor
// the upstream gave it: that of the HTTP server before any handler, or of another process that has got
// the address. Its status would tell the caller that the request was wrong.
func TestAnswerOfOtherServer(t *testing.T) {
	cases := []struct {
		name string
		text string
	}{
		{name: "bad request", text: "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n400 Bad Request"},
		{name: "large headers", text: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n431"},
		{name: "not found", text: "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone"},
		{name: "misdirected", text: "HTTP/1.1 421 Misdirected Request\r\nX-NotRun: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "other answer", text: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"},
	}
	for _, tc := range cases {
		for _, path := range []string{"/lookup", "/order"} {
			t.Run(tc.name+path, func(t *testing.T) {
				c := qt.New(t)
				rig := newMeshRig(t, nil, largeBudget, signedHandler, signedHandler)
				wrong := rawGate(t, respondRaw(tc.text, false))
				rig.view.change(func() { rig.view.members[0].Host.GateAddress = wrong })
				a := rig.send("POST", path, "x")
				c.Assert(a.err, qt.IsNil)
				if path == "/lookup" {
					c.Assert(a.body, qt.Equals, "ran x by i1")
					return
				}
				c.Assert(a.status, qt.Equals, http.StatusBadGateway)
				c.Assert(a.outcome, qt.Equals, OutcomeUnknown)
				c.Assert(rig.hosts[1].upstreamRequests.Load(), qt.Equals, int32(0))
			})
		}
	}
}

// TestGateWithOtherConfiguration guards against a request that is called wrong because the gatekeeper has
// another version in which the same route has another name, and against a request that runs on a route
// that the gatekeeper's version lacks or leads elsewhere.
func TestGateWithOtherConfiguration(t *testing.T) {
	rename := func(routes map[core.RouteName]core.RouteSpec, from, to core.RouteName) {
		spec := routes[from]
		spec.Name = to
		delete(routes, from)
		routes[to] = spec
	}
	cases := []struct {
		name string
		edit func(routes map[core.RouteName]core.RouteSpec)
		// kind is that of the refusal if the gatekeeper has a newer version, and kindIfOlder that if
		// it has an older one; "" if the request runs. An older gatekeeper refuses because its
		// daemon is starting, and there is no other upstream.
		kind        core.ErrorKind
		kindIfOlder core.ErrorKind
	}{
		{name: "same routes", edit: func(map[core.RouteName]core.RouteSpec) {}},
		{name: "renamed", edit: func(routes map[core.RouteName]core.RouteSpec) { rename(routes, "lookup", "other") }},
		{name: "names swapped", edit: func(routes map[core.RouteName]core.RouteSpec) {
			rename(routes, "lookup", "other")
			rename(routes, "home", "lookup")
		}},
		{name: "removed", edit: func(routes map[core.RouteName]core.RouteSpec) {
			delete(routes, "lookup")
		}, kind: core.NoRoute, kindIfOlder: core.NoUpstream},
		{name: "name of another prefix", edit: func(routes map[core.RouteName]core.RouteSpec) {
			delete(routes, "lookup")
			rename(routes, "home", "lookup")
		}, kind: core.NoRoute, kindIfOlder: core.NoUpstream},
		{name: "other service", edit: func(routes map[core.RouteName]core.RouteSpec) {
			spec := routes["lookup"]
			spec.Service = "roadguard"
			routes["lookup"] = spec
		}, kind: core.NoUpstream, kindIfOlder: core.NoUpstream},
	}
	for _, tc := range cases {
		for _, isOlder := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, older %v", tc.name, isOlder), func(t *testing.T) {
				c := qt.New(t)
				rig := newMeshRig(t, func(snapshot *core.Snapshot) { snapshot.Version = 2 }, largeBudget, signedHandler)
				other := entrySnapshot()
				other.Version, other.Services = 3, rig.view.snapshot.Services
				kind := tc.kind
				if isOlder {
					other.Version, kind = 1, tc.kindIfOlder
				}
				tc.edit(other.Routes)
				rig.hosts[0].gate.config.Config = &fakeView{
					snapshot: other,
				}
				a := rig.do(rig.request("GET", "/lookup/a", "", func(r *http.Request) {
					r.Header.Set("X-Id", "id")
					r.Header.Set("X-Wait", "500")
				}))
				c.Assert(a.err, qt.IsNil)
				c.Assert(a.header.Get("X-Kind"), qt.Equals, string(kind))
				c.Assert(rig.hosts[0].upstreamRequests.Load() == 1, qt.Equals, kind == "")
			})
		}
	}
}
