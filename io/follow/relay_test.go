package follow

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/kernel"
	"verbenaway/io/relay"
)

// zoneRig is a zone of daemons, each with a store of its own that has the same content, so
// that each can be cut off from it alone.
type zoneRig struct {
	mu        sync.Mutex
	followers map[core.HostName]*Follower
	stores    map[core.HostName]*fakeRegistry
	// cut holds daemons that answer nobody.
	cut map[core.HostName]bool
}

func newZoneRig(t *testing.T, names ...core.HostName) *zoneRig {
	t.Helper()
	rig := &zoneRig{
		followers: map[core.HostName]*Follower{},
		stores:    map[core.HostName]*fakeRegistry{},
		cut:       map[core.HostName]bool{},
	}
	for _, name := range names {
		store := newFakeRegistry()
		for _, other := range names {
			store.revision++
			store.items = append(store.items, core.RegistryItem{Key: string(other), Revision: store.revision, Value: []byte("a")})
		}
		store.write(1)
		rig.stores[name] = store
		rig.followers[name] = New(Config{
			Self: core.Host{
				Name:             name,
				AvailabilityZone: "a",
			},
			Registry: store,
			Relay:    rig,
			Clock:    kernel.SystemClock{},
			Journal:  noJournal{},
			State:    follow.Config{},
		})
	}
	for _, f := range rig.followers {
		qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	}
	t.Cleanup(func() {
		for _, f := range rig.followers {
			qt.Check(t, f.Stop(context.Background()), qt.IsNil)
		}
		goleak.VerifyNone(t)
	})
	return rig
}

// Follow implements core.RelayClient.
func (r *zoneRig) Follow(ctx context.Context, address string, request core.FollowRequest) (core.FollowAnswer, error) {
	r.mu.Lock()
	isCut := r.cut[core.HostName(address)]
	r.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return core.FollowAnswer{}, ctx.Err()
	}
	return r.followers[core.HostName(address)].Follow(ctx, request)
}

// write publishes a version to the stores of all daemons.
func (r *zoneRig) write(version core.Version) {
	for _, store := range r.stores {
		store.write(version)
	}
}

// readers returns the daemons that have a watch of the store.
func (r *zoneRig) readers() []core.HostName {
	var names []core.HostName
	for name, f := range r.followers {
		f.mu.Lock()
		if f.interrupt != nil {
			names = append(names, name)
		}
		f.mu.Unlock()
	}
	return names
}

// watches returns the number of watches that all daemons but one have made.
func (r *zoneRig) watches(except core.HostName) int {
	count := 0
	for name, store := range r.stores {
		store.mu.Lock()
		if name != except {
			count += store.watches
		}
		store.mu.Unlock()
	}
	return count
}

// lists returns the number of listings that all daemons have made.
func (r *zoneRig) lists() int {
	count := 0
	for _, store := range r.stores {
		store.mu.Lock()
		count += store.lists
		store.mu.Unlock()
	}
	return count
}

func (r *zoneRig) waitVersion(t *testing.T, version core.Version, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for _, f := range r.followers {
		waitVersion(t, f, version, time.Until(end))
	}
}

// TestOneReaderPerZone guards against a store call of each daemon for each change, and against
// a version that comes late because the reader of the zone fails in some way.
func TestOneReaderPerZone(t *testing.T) {
	cases := []struct {
		name  string
		fault func(rig *zoneRig, reader core.HostName)
		// reaches tells whether the reader gets the version too.
		reaches bool
	}{
		{
			name:    "calm",
			fault:   func(*zoneRig, core.HostName) {},
			reaches: true,
		},
		{
			name: "the reader answers nobody",
			fault: func(rig *zoneRig, reader core.HostName) {
				rig.mu.Lock()
				defer rig.mu.Unlock()
				rig.cut[reader] = true
			},
		},
		{
			name: "the store turns the reader away",
			fault: func(rig *zoneRig, reader core.HostName) {
				store := rig.stores[reader]
				store.set(func() { store.err = core.Errorf(core.StoreDown, "turned away") })
			},
			reaches: true,
		},
		{
			name: "the reader is cut off from the store without a word",
			fault: func(rig *zoneRig, reader core.HostName) {
				rig.stores[reader].set(func() { rig.stores[reader].isCut = true })
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			rig := newZoneRig(t, "d1", "d2", "d3", "d4")
			rig.waitVersion(t, 1, applyTime)
			// The daemons that started before their reader knew the store turn to it after a rest.
			time.Sleep(2 * shortRest)
			waitUntil(t, 2*sourceRest, func() bool { return len(rig.readers()) == 1 })
			reader := rig.readers()[0]
			tc.fault(rig, reader)
			rig.write(2)
			end := time.Now().Add(applyTime)
			for name, f := range rig.followers {
				// A reader that nobody reaches, or that hears nothing, is out of touch.
				if tc.reaches || name != reader {
					waitVersion(t, f, 2, time.Until(end))
				}
			}
			if tc.name == "calm" {
				before := rig.watches(reader)
				for version := core.Version(3); version < 9; version++ {
					rig.write(version)
					rig.waitVersion(t, version, applyTime)
				}
				c.Assert(rig.watches(reader), qt.Equals, before)
			}
		})
	}
}

// TestOutageIsProbedSeldom guards against calls of every daemon all through an outage of the store,
// and against daemons that do not hear of its return in time.
func TestOutageIsProbedSeldom(t *testing.T) {
	c := qt.New(t)
	names := make([]core.HostName, 12)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("d%02d", i))
	}
	rig := newZoneRig(t, names...)
	rig.waitVersion(t, 1, applyTime)
	time.Sleep(2 * shortRest)
	for _, store := range rig.stores {
		store.set(func() { store.err = core.Errorf(core.StoreDown, "down") })
	}
	probes := func() (count int64) {
		for _, f := range rig.followers {
			count += f.Counters.Pulses.Load()
		}
		return count
	}
	time.Sleep(time.Second)
	before := probes()
	time.Sleep(4 * time.Second)
	// The reader asks twice a second, each of the others at the most every 1.6 seconds then.
	c.Assert(probes()-before <= 8+3*11, qt.IsTrue, qt.Commentf("%d probes", probes()-before))
	for _, store := range rig.stores {
		store.set(func() { store.err = nil })
	}
	rig.write(2)
	rig.waitVersion(t, 2, applyTime)
}

func waitUntil(t *testing.T, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not come true in time")
		}
	}
}

// TestRelayOverHTTP guards against content that changes on its way between daemons: large and
// small values, deletions, and a revision that is too old.
func TestRelayOverHTTP(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	large := make([]byte, 100_000)
	for i := range large {
		large[i] = byte(i % 251)
	}
	large[0] = 7
	registry.items = []core.RegistryItem{
		{Key: "config", Revision: 1, Value: large},
		{Key: "u1", Revision: 2, Value: []byte("a")},
	}
	registry.revision = 2
	f := New(Config{
		Registry: registry,
		Clock:    kernel.SystemClock{},
		Journal:  noJournal{},
		State:    follow.Config{},
	})
	server := httptest.NewServer(relay.NewHandler(f))
	defer server.Close()
	client := relay.NewClient(relay.ClientConfig{
		Dial: new(net.Dialer).DialContext,
	})
	defer client.Close()
	address := server.Listener.Addr().String()

	_, err := client.Follow(t.Context(), address, core.FollowRequest{IsWhole: true})
	c.Assert(core.KindOf(err), qt.Equals, core.StoreCompacted)
	f.list(core.RegistryAnswer{Items: registry.items, Revision: 2}, false)
	answer, err := client.Follow(t.Context(), address, core.FollowRequest{IsWhole: true})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.RegistryAnswer, qt.DeepEquals, core.RegistryAnswer{Items: registry.items, Revision: 2})
	c.Assert(answer.ContactAge >= 0 && answer.ContactAge < time.Second, qt.IsTrue)
	answer, err = client.Follow(t.Context(), address, core.FollowRequest{After: 1, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Items, qt.DeepEquals, registry.items[1:])
	f.failed(core.Errorf(core.StoreDown, "down"))
	answer, err = client.Follow(t.Context(), address, core.FollowRequest{After: 2, Wait: time.Hour})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.ContactAge < 0, qt.IsTrue)
	server.CloseClientConnections()
	server.Config.Handler = http.NotFoundHandler()
	_, err = client.Follow(t.Context(), address, core.FollowRequest{IsWhole: true})
	c.Assert(core.KindOf(err), qt.Equals, core.PeerUnreachable)
}
