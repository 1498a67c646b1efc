package route_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// FuzzMatch guards against another route than the one whose literal prefix is the longest that begins the
// path, compared by plain strings. The prefixes are separated by blanks.
func FuzzMatch(f *testing.F) {
	for _, seed := range []struct{ prefixes, path string }{
		{prefixes: "/ /a/ /a/b/", path: "/a/b"},
		{prefixes: "/a/ /a/b/", path: "/a/b/c"},
		{prefixes: "/a/ /a%2Fb/", path: "/a%2Fb/c"},
		{prefixes: "/a/ /a%2Fb/", path: "/a%2fb/c"},
		{prefixes: "/a/ /a// /a//b/", path: "/a//b/c"},
		{prefixes: "/ //", path: "//a"},
		{prefixes: "/a/", path: "/a"},
		{prefixes: "/a/../", path: "/a/../b"},
	} {
		f.Add(seed.prefixes, seed.path)
	}
	f.Fuzz(func(t *testing.T, text, path string) {
		c := qt.New(t)
		snapshot := &core.Snapshot{
			Services: map[core.ServiceName]core.ServiceSpec{"s": {Name: "s"}},
			Routes:   map[core.RouteName]core.RouteSpec{},
		}
		longest := ""
		for prefix := range strings.SplitSeq(text, " ") {
			if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
				continue
			}
			snapshot.Routes[core.RouteName(prefix)] = core.RouteSpec{
				Name:            core.RouteName(prefix),
				Host:            "mesh.test",
				PathPrefix:      prefix,
				Service:         "s",
				IsLiteralPrefix: true,
			}
			if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		match, kind := route.NewTable(snapshot).Match(route.Request{
			Host:   "mesh.test",
			Path:   path,
			Method: "GET",
		})
		if longest == "" {
			c.Assert(kind, qt.Equals, core.NoRoute)
			return
		}
		c.Assert(kind, qt.Equals, core.ErrorKind(""))
		c.Assert(match.Route.Spec.PathPrefix, qt.Equals, longest)
	})
}
