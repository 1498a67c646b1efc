package store_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/store"
)

// TestHostListPosition guards against lists of a restored store that are older than those before, and
// against revisions that do not fit beside the epoch.
func TestHostListPosition(t *testing.T) {
	cases := []struct {
		name            string
		epoch, revision uint64
		// after is the position of the list in the next query.
		after string
		kind  core.ErrorKind
	}{
		{name: "no epoch", revision: 7, after: "after=7&waitMs=0"},
		{name: "an epoch", epoch: 1, revision: 3, after: "after=3&epoch=1&waitMs=0"},
		{name: "highest", epoch: 1<<20 - 1, revision: 1<<44 - 1, after: "after=17592186044415&epoch=1048575&waitMs=0"},
		{name: "revision too high", epoch: 1, revision: 1 << 44, kind: core.StoreMalformed},
		{name: "epoch too high", epoch: 1 << 20, revision: 1, kind: core.StoreMalformed},
	}
	var last uint64
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var query string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				query = r.URL.RawQuery
				fmt.Fprintf(w, `{"epoch":%d,"revision":%d,"hosts":[{"name":"a"}]}`, tc.epoch, tc.revision)
			}))
			defer server.Close()
			client := store.New(store.Config{
				Address: server.URL,
			})
			defer client.Close()
			list, ok, err := client.Hosts(t.Context(), 0, 0)
			c.Assert(core.KindOf(err), qt.Equals, tc.kind)
			c.Assert(ok, qt.Equals, tc.kind == "")
			if !ok {
				return
			}
			c.Assert(list.Hosts, qt.HasLen, 1)
			c.Assert(list.Revision > last, qt.IsTrue)
			last = list.Revision
			_, _, err = client.Hosts(t.Context(), list.Revision, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(query, qt.Equals, tc.after)
		})
	}
}
