package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestErrorShowsProgress guards against errors that do not tell an answer that ends early from one
// that has not begun.
func TestErrorShowsProgress(t *testing.T) {
	cases := []struct {
		name    string
		isBegun bool
		want    string
	}{
		{
			name: "no answer",
			want: ".*, no answer begun",
		},
		{
			name:    "part of an answer",
			isBegun: true,
			want:    ".*, answer begun after .*",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.isBegun {
					w.Header().Set("Content-Type", "application/proto")
					w.WriteHeader(http.StatusOK)
					_ = http.NewResponseController(w).Flush()
				}
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			client := NewClient(ClientConfig{
				Dial: new(net.Dialer).DialContext,
			})
			defer client.Close()
			_, err := client.Follow(t.Context(), server.Listener.Addr().String(), core.FollowRequest{})
			c.Assert(core.KindOf(err), qt.Equals, core.PeerUnreachable)
			c.Assert(err, qt.ErrorMatches, tc.want)
		})
	}
}
