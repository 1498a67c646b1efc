package stand_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/stand"
)

const watchAll = "/v1/watch?prefix=notes/&after=&waitMs=0"

// seededStore returns a store with notes 1 to 3 and checkpoints written after notes 2 and 3.
func seededStore(clock core.Clock, rate int) *stand.Store {
	store := stand.NewStore(stand.StoreConfig{
		Clock:               clock,
		OperationsPerSecond: rate,
	})
	store.Put(stand.NoteKey(1), []byte("one"))
	store.Put(stand.NoteKey(2), []byte("two"))
	store.Put("checkpoints/latest", []byte("at two"))
	store.Put(stand.NoteKey(3), []byte("three"))
	store.Put("checkpoints/latest", []byte("at three"))
	return store
}

// decodeWatch returns the values of a watch answer as "key=value", separated by spaces.
func decodeWatch(c *qt.C, body string) string {
	var values []core.KeyValue
	c.Assert(json.Unmarshal([]byte(body), &values), qt.IsNil)
	var text []string
	for _, value := range values {
		text = append(text, value.Key+"="+string(value.Value))
	}
	return strings.Join(text, " ")
}

// TestStoreContract guards against a stand-in that differs from the configuration service as
// section 5.1 of the design page describes it, which would make tests of the system worthless.
func TestStoreContract(t *testing.T) {
	tests := []struct {
		name, method, path, body, ifNoneMatch string
		status                                int
		answer                                string
	}{
		{name: "value", method: "GET", path: "/v1/values/notes/0000000002", status: 200, answer: "two"},
		{name: "absent value", method: "GET", path: "/v1/values/notes/0000000009", status: 404},
		{name: "create", method: "PUT", path: "/v1/values/notes/0000000004", body: "four", ifNoneMatch: "*", status: 201},
		{name: "create existing", method: "PUT", path: "/v1/values/notes/0000000003", body: "x", ifNoneMatch: "*", status: 412},
		{name: "replace checkpoint", method: "PUT", path: "/v1/values/checkpoints/latest", body: "new", status: 201},
		{name: "too large", method: "PUT", path: "/v1/values/notes/0000000004", body: strings.Repeat("x", core.MaxNoteBytes+1), status: 413},
		{name: "watch after", method: "GET", path: "/v1/watch?prefix=notes/&after=notes/0000000001", status: 200, answer: "notes/0000000002=two notes/0000000003=three"},
		{name: "watch without news", method: "GET", path: "/v1/watch?prefix=notes/&after=notes/0000000003&waitMs=1", status: 204},
		{name: "watch with a bad wait", method: "GET", path: "/v1/watch?prefix=notes/&waitMs=soon", status: 400},
		{name: "hosts without news", method: "GET", path: "/v1/hosts?after=0&waitMs=1", status: 204},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server, client := serve(c, seededStore(nil, 0))
			got := call(client, test.method, server.URL()+test.path, test.body, "If-None-Match", test.ifNoneMatch)
			c.Assert(got.err, qt.IsNil)
			c.Check(got.status, qt.Equals, test.status)
			switch {
			case test.answer == "":
			case strings.Contains(test.path, "watch"):
				c.Check(decodeWatch(c, got.body), qt.Equals, test.answer)
			default:
				c.Check(got.body, qt.Equals, test.answer)
			}
		})
	}
}

// TestStoreWatchWakes guards against a parked watch that misses a note.
func TestStoreWatchWakes(t *testing.T) {
	c := qt.New(t)
	store := seededStore(nil, 0)
	server, client := serve(c, store)
	got := make(chan reply)
	go func() {
		got <- call(client, "GET", server.URL()+"/v1/watch?prefix=notes/&after=notes/0000000003&waitMs=60000", "")
	}()
	waitUntil(func() bool { return store.Counters().Parked == 1 })
	store.Put("checkpoints/latest", []byte("not a note"))
	store.Put(stand.NoteKey(4), []byte("four"))
	c.Check(decodeWatch(c, (<-got).body), qt.Equals, "notes/0000000004=four")
}

// TestStoreWatchSize guards against a watch answer over 1 MB, and against a watch that never
// returns a note of the maximum size.
func TestStoreWatchSize(t *testing.T) {
	c := qt.New(t)
	store := stand.NewStore(stand.StoreConfig{})
	for version := core.Version(1); version <= 3; version++ {
		store.Put(stand.NoteKey(version), make([]byte, core.MaxNoteBytes/2+int(version)))
	}
	server, client := serve(c, store)
	var values []core.KeyValue
	c.Assert(json.Unmarshal([]byte(call(client, "GET", server.URL()+watchAll, "").body), &values), qt.IsNil)
	c.Check(values, qt.HasLen, 1)
}

// TestStoreFaults guards against a fault without effect, which would let tests of the system pass
// without the failure that they are meant to test.
func TestStoreFaults(t *testing.T) {
	tests := []struct {
		name, faults string
		path         string
		status       int
		answer       string
	}{
		{name: "none", faults: `{}`, path: "/v1/values/checkpoints/latest", status: 200, answer: "at three"},
		{name: "down", faults: `{"down":true}`, path: watchAll, status: 503},
		{name: "stale value", faults: `{"staleBy":1}`, path: "/v1/values/notes/0000000003", status: 404},
		{name: "stale checkpoint", faults: `{"staleBy":1}`, path: "/v1/values/checkpoints/latest", status: 200, answer: "at two"},
		{name: "stale watch", faults: `{"staleBy":2}`, path: watchAll, status: 200, answer: "notes/0000000001=one"},
		{name: "rolled back", faults: `{"rollBackTo":2}`, path: watchAll, status: 200, answer: "notes/0000000001=one notes/0000000002=two"},
		{name: "rolled back to nothing", faults: `{"allNotes":true}`, path: "/v1/values/notes/0000000001", status: 404},
		{name: "fork", faults: `{"forkAt":2,"forkValue":"other"}`, path: "/v1/values/notes/0000000002", status: 200, answer: "other"},
		{name: "fork in watch", faults: `{"forkAt":3,"forkValue":"other"}`, path: "/v1/watch?prefix=notes/&after=notes/0000000002", status: 200, answer: "notes/0000000003=other"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server, client := serve(c, seededStore(nil, 0))
			c.Assert(call(client, "POST", server.URL()+"/v1/faults", test.faults).status, qt.Equals, 204)
			got := call(client, "GET", server.URL()+test.path, "")
			c.Check(got.status, qt.Equals, test.status)
			switch {
			case test.answer == "":
			case strings.Contains(test.path, "watch"):
				c.Check(decodeWatch(c, got.body), qt.Equals, test.answer)
			default:
				c.Check(got.body, qt.Equals, test.answer)
			}
		})
	}
}

// TestStoreStaleAndRolledBackLater guards against a stale store that shows later notes, and
// against a rolled-back store that refuses a new note under a lost number.
func TestStoreStaleAndRolledBackLater(t *testing.T) {
	c := qt.New(t)
	store := seededStore(nil, 0)
	server, client := serve(c, store)
	store.SetFaults(stand.StoreFaults{
		StaleBy: 1,
	})
	store.Put(stand.NoteKey(4), []byte("four"))
	c.Check(call(client, "GET", server.URL()+"/v1/watch?prefix=notes/&after=notes/0000000002", "").status, qt.Equals, 204)
	store.SetFaults(stand.StoreFaults{
		RollBackTo: 3,
	})
	got := call(client, "PUT", server.URL()+"/v1/values/notes/0000000004", "another four", "If-None-Match", "*")
	c.Check(got.status, qt.Equals, 201)
}

// TestStoreHangAndDelay guards against a store that answers despite the fault Hang or Delay, and
// against a parked watch that ignores that the store is down.
func TestStoreHangAndDelay(t *testing.T) {
	c := qt.New(t)
	store := seededStore(nil, 0)
	server, client := serve(c, store)
	for _, faults := range []stand.StoreFaults{
		{Hang: true},
		{Delay: core.Duration(time.Hour)},
	} {
		store.SetFaults(faults)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL()+watchAll, nil)
		c.Assert(err, qt.IsNil)
		_, err = client.Do(request) //nolint:bodyclose // there is no answer
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		cancel()
	}
	store.SetFaults(stand.StoreFaults{})
	got := make(chan reply)
	go func() {
		got <- call(client, "GET", server.URL()+"/v1/watch?prefix=notes/&after=notes/0000000003&waitMs=60000", "")
	}()
	waitUntil(func() bool { return store.Counters().Parked == 1 })
	store.SetFaults(stand.StoreFaults{
		Down: true,
	})
	c.Check((<-got).status, qt.Equals, 503)
}

// TestStoreCounters guards against operations that are not counted: a parked watch costs one per
// second, and the bound on store operations is checked with this count.
func TestStoreCounters(t *testing.T) {
	c := qt.New(t)
	clock := newFakeClock()
	store := seededStore(clock, 0)
	server, client := serve(c, store)
	call(client, "GET", server.URL()+"/v1/values/notes/0000000002", "")
	got := make(chan reply)
	go func() {
		got <- call(client, "GET", server.URL()+"/v1/watch?prefix=notes/&after=notes/0000000003&waitMs=60000", "")
	}()
	waitUntil(func() bool { return store.Counters().Parked == 1 })
	clock.advance(3 * time.Second)
	call(client, "PUT", server.URL()+"/v1/values/notes/0000000004", "four")
	<-got
	waitUntil(func() bool { return store.Counters().Parked == 0 })
	clock.advance(2 * time.Second)
	counters := store.Counters()
	// One value, one watch, which was parked for 3 s, and one put.
	c.Check(counters.Operations, qt.Equals, int64(1+1+3+1))
	c.Check(counters.PeakOperations, qt.Equals, int64(2))
	c.Check(counters.PeakParked, qt.Equals, int64(1))
	c.Check(counters.BytesIn, qt.Equals, int64(len("four")))
	c.Check(counters.BytesOut > int64(len("two")), qt.IsTrue)
	c.Check(counters.Seconds, qt.Equals, 5.0)
	c.Check(call(client, "POST", server.URL()+"/v1/counters/reset", "").status, qt.Equals, 204)
	c.Check(store.Counters().Operations, qt.Equals, int64(0))
}

// TestStoreRate guards against a store that accepts more operations per second than its limit.
func TestStoreRate(t *testing.T) {
	c := qt.New(t)
	clock := newFakeClock()
	store := seededStore(clock, 3)
	server, client := serve(c, store)
	statuses := func() []int {
		var all []int
		for range 4 {
			all = append(all, call(client, "GET", server.URL()+"/v1/values/notes/0000000002", "").status)
		}
		return all
	}
	c.Check(statuses(), qt.DeepEquals, []int{200, 200, 200, 429})
	clock.advance(time.Second)
	c.Check(statuses(), qt.DeepEquals, []int{200, 200, 200, 429})
	c.Check(store.Counters().Refused, qt.Equals, int64(2))
	c.Check(store.Counters().PeakOffered, qt.Equals, int64(4))
}

// TestStoreHosts guards against a host list that readers see before its lag has passed, or whose
// revision does not grow.
func TestStoreHosts(t *testing.T) {
	c := qt.New(t)
	clock := newFakeClock()
	store := stand.NewStore(stand.StoreConfig{
		Clock:    clock,
		HostsLag: 10 * time.Second,
	})
	server, client := serve(c, store)
	revision := func() uint64 {
		var list core.HostList
		got := call(client, "GET", server.URL()+"/v1/hosts?after=0", "")
		if got.status == http.StatusOK {
			c.Assert(json.Unmarshal([]byte(got.body), &list), qt.IsNil)
		}
		return list.Revision
	}
	c.Check(call(client, "PUT", server.URL()+"/v1/hosts", `{"hosts":[{"name":"a","state":"live"}]}`).status, qt.Equals, 204)
	c.Check(revision(), qt.Equals, uint64(0))
	clock.advance(10 * time.Second)
	c.Check(revision(), qt.Equals, uint64(1))
	store.SetHosts(core.HostList{})
	clock.advance(9 * time.Second)
	c.Check(revision(), qt.Equals, uint64(1))
	clock.advance(time.Second)
	c.Check(revision(), qt.Equals, uint64(2))
	store.SetFaults(stand.StoreFaults{
		RollBackHostsTo: 1,
	})
	got := call(client, "GET", server.URL()+"/v1/hosts?after=1", "")
	c.Check(got.status, qt.Equals, http.StatusOK)
	c.Check(got.body, qt.Contains, `"revision":1`)
	c.Check(got.body, qt.Contains, `"epoch":1`)
	c.Check(call(client, "GET", server.URL()+"/v1/hosts?after=1&epoch=1", "").status, qt.Equals, http.StatusNoContent)
	store.SetHosts(core.HostList{})
	clock.advance(10 * time.Second)
	c.Check(revision(), qt.Equals, uint64(2))
}

// TestStoreSeed guards against seed files under wrong keys, and against accepting bad file names.
func TestStoreSeed(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	for name, value := range map[string]string{
		"0000000001.toml": "one",
		"checkpoint.toml": "latest",
	} {
		c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(value), 0o600), qt.IsNil)
	}
	store := stand.NewStore(stand.StoreConfig{})
	c.Assert(store.Seed(dir), qt.IsNil)
	server, client := serve(c, store)
	c.Check(call(client, "GET", server.URL()+"/v1/values/notes/0000000001", "").body, qt.Equals, "one")
	c.Check(call(client, "GET", server.URL()+"/v1/values/checkpoints/latest", "").body, qt.Equals, "latest")
	c.Assert(os.WriteFile(filepath.Join(dir, "readme.toml"), nil, 0o600), qt.IsNil)
	c.Check(store.Seed(dir), qt.ErrorMatches, "seed file .*readme.toml: .*")
}
