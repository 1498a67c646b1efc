package route_test

import (
	"net/url"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core/route"
)

// TestDecodedPath guards against an escaped slash that separates segments, so that a request gets the route
// of another path.
func TestDecodedPath(t *testing.T) {
	cases := []struct {
		path string
		want string
	}{
		{path: "/nets/7", want: "/nets/7"},
		{path: "/n%65ts/7", want: "/nets/7"},
		{path: "/nets%2F7", want: "/nets%2F7"},
		{path: "/nets%2f7/%2e", want: "/nets%2F7/."},
		{path: "/nets%252F7", want: "/nets%2F7"},
		{path: "/nets/a%2Fb%20c", want: "/nets/a%2Fb c"},
	}
	for _, tc := range cases {
		c := qt.New(t)
		parsed, err := url.ParseRequestURI(tc.path)
		c.Assert(err, qt.IsNil)
		c.Check(route.DecodedPath(parsed), qt.Equals, tc.want)
	}
}
