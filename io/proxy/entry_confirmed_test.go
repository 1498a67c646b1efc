package proxy

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestConfirmedAfterMatch guards against a refusal by an old configuration that counts as confirmed, since
// the one in force arrives between the match of a request and the question whether its configuration is
// confirmed.
func TestConfirmedAfterMatch(t *testing.T) {
	cases := []struct {
		name string
		// added is the route that the newer configuration adds.
		added core.RouteName
		want  int
	}{
		{name: "route of the newer configuration", added: "added", want: http.StatusOK},
		{name: "route of neither", added: "other", want: http.StatusNotFound},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			address := startGate(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusOK)
			})
			var rig *entryRig
			rig = newEntryRig(t, func(config *EntryConfig) {
				config.IsConfirmed = func() bool {
					newer := entrySnapshot()
					newer.Version = 2
					spec := newer.Routes["lookup"]
					spec.Name, spec.PathPrefix = tc.added, "/"+string(tc.added)
					newer.Routes[tc.added] = spec
					rig.view.change(func() { rig.view.snapshot = newer })
					return true
				}
			}, gateHost("a", address))
			got := rig.do(rig.request(http.MethodGet, "/added", ""))
			c.Check(got.status, qt.Equals, tc.want)
		})
	}
}
