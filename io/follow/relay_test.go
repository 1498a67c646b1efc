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

// testZone is a zone of daemons. Each has its own store with the same content, so that each can
// be cut off from the store separately.
type testZone struct {
	mu        sync.Mutex
	followers map[core.HostName]*Follower
	stores    map[core.HostName]*fakeRegistry
	// unreachable holds daemons that answer no requests.
	unreachable map[core.HostName]bool
	// hasNoEpochs removes the epoch from answers, as daemons of earlier releases do not send it.
	hasNoEpochs bool
	// ask replaces the way between daemons; nil asks them directly.
	ask relayFunc
}

type relayFunc func(ctx context.Context, address string, request core.FollowRequest) (core.FollowAnswer, error)

func newTestZone(t *testing.T, names ...core.HostName) *testZone {
	t.Helper()
	return startTestZone(t, names, names)
}

// startTestZone starts daemons whose stores hold the upstreams of registered.
func startTestZone(t *testing.T, names, registered []core.HostName) *testZone {
	t.Helper()
	zone := &testZone{
		followers:   map[core.HostName]*Follower{},
		stores:      map[core.HostName]*fakeRegistry{},
		unreachable: map[core.HostName]bool{},
	}
	for _, name := range names {
		store := newFakeRegistry()
		for _, other := range registered {
			store.register(other)
		}
		store.write(1)
		zone.stores[name] = store
		zone.followers[name] = New(Config{
			Self: core.Host{
				Name:             name,
				AvailabilityZone: "a",
			},
			Registry:    store,
			Relay:       zone,
			Clock:       kernel.SystemClock{},
			Journal:     nopJournal{},
			StateConfig: follow.Config{},
		})
	}
	for _, f := range zone.followers {
		qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	}
	t.Cleanup(func() {
		for _, f := range zone.followers {
			qt.Check(t, f.Stop(context.Background()), qt.IsNil)
		}
		goleak.VerifyNone(t)
	})
	return zone
}

// Follow implements core.RelayClient.
func (z *testZone) Follow(ctx context.Context, address string, request core.FollowRequest) (core.FollowAnswer, error) {
	z.mu.Lock()
	isUnreachable, hasNoEpochs, ask := z.unreachable[core.HostName(address)], z.hasNoEpochs, z.ask
	z.mu.Unlock()
	if ask != nil {
		return ask(ctx, address, request)
	}
	if isUnreachable {
		<-ctx.Done()
		return core.FollowAnswer{}, ctx.Err()
	}
	answer, err := z.followers[core.HostName(address)].Follow(ctx, request)
	if hasNoEpochs {
		answer.Epoch = 0
	}
	return answer, err
}

// register adds an upstream to the stores of all daemons.
func (z *testZone) register(name core.HostName) {
	for _, store := range z.stores {
		store.set(func() { store.register(name) })
	}
}

// write publishes a version to the stores of all daemons.
func (z *testZone) write(version core.Version) {
	for _, store := range z.stores {
		store.write(version)
	}
}

// readers returns the daemons that have a watch of the store.
func (z *testZone) readers() []core.HostName {
	var names []core.HostName
	for name, f := range z.followers {
		f.mu.Lock()
		if f.cancelWatch != nil {
			names = append(names, name)
		}
		f.mu.Unlock()
	}
	return names
}

// watches returns the number of watches by all daemons but one.
func (z *testZone) watches(except core.HostName) int {
	count := 0
	for name, store := range z.stores {
		store.mu.Lock()
		if name != except {
			count += store.watches
		}
		store.mu.Unlock()
	}
	return count
}

// lists returns the number of listings by all daemons.
func (z *testZone) lists() int {
	count := 0
	for _, store := range z.stores {
		store.mu.Lock()
		count += store.lists
		store.mu.Unlock()
	}
	return count
}

func (z *testZone) waitVersion(t *testing.T, version core.Version, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for _, f := range z.followers {
		waitVersion(t, f, version, time.Until(end))
	}
}

// TestOneReader guards against a store call by each daemon for each change, and against a version
// that arrives late because the reader fails.
func TestOneReader(t *testing.T) {
	cases := []struct {
		name  string
		fault func(zone *testZone, reader core.HostName)
		// isReaderUpdated says that the reader applies the version too.
		isReaderUpdated bool
	}{
		{
			name:            "calm",
			fault:           func(*testZone, core.HostName) {},
			isReaderUpdated: true,
		},
		{
			name: "the reader is unreachable",
			fault: func(zone *testZone, reader core.HostName) {
				zone.mu.Lock()
				defer zone.mu.Unlock()
				zone.unreachable[reader] = true
			},
		},
		{
			name: "the store rejects the reader",
			fault: func(zone *testZone, reader core.HostName) {
				store := zone.stores[reader]
				store.set(func() { store.err = core.Errorf(core.StoreDown, "calls rejected") })
			},
			isReaderUpdated: true,
		},
		{
			name: "calls of the reader to the store get no answer",
			fault: func(zone *testZone, reader core.HostName) {
				zone.stores[reader].set(func() { zone.stores[reader].isUnreachable = true })
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			zone := newTestZone(t, "d1", "d2", "d3", "d4")
			zone.waitVersion(t, 1, applyDeadline)
			// Daemons that started before their reader had contact with the store follow it after
			// a backoff.
			time.Sleep(2 * shortSourceBackoff)
			waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
			reader := zone.readers()[0]
			tc.fault(zone, reader)
			zone.write(2)
			end := time.Now().Add(applyDeadline)
			for name, f := range zone.followers {
				// A reader that is unreachable or gets no answers need not apply the version.
				if tc.isReaderUpdated || name != reader {
					waitVersion(t, f, 2, time.Until(end))
				}
			}
			if tc.name == "calm" {
				before := zone.watches(reader)
				for version := core.Version(3); version < 9; version++ {
					zone.write(version)
					zone.waitVersion(t, version, applyDeadline)
				}
				c.Assert(zone.watches(reader), qt.Equals, before)
			}
		})
	}
}

// TestOutageProbeRate guards against frequent calls by every daemon throughout an outage of the
// store, and against daemons that learn too late of its recovery.
func TestOutageProbeRate(t *testing.T) {
	c := qt.New(t)
	names := make([]core.HostName, 12)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("d%02d", i))
	}
	zone := newTestZone(t, names...)
	zone.waitVersion(t, 1, applyDeadline)
	time.Sleep(2 * shortSourceBackoff)
	for _, store := range zone.stores {
		store.set(func() { store.err = core.Errorf(core.StoreDown, "down") })
	}
	probes := func() (count int64) {
		for _, f := range zone.followers {
			count += f.Counters.RevisionReads.Load()
		}
		return count
	}
	time.Sleep(time.Second)
	before := probes()
	time.Sleep(4 * time.Second)
	// The reader then calls twice a second, and each of the others at most every 1.6 seconds.
	c.Assert(probes()-before <= 8+3*11, qt.IsTrue, qt.Commentf("%d probes", probes()-before))
	for _, store := range zone.stores {
		store.set(func() { store.err = nil })
	}
	zone.write(2)
	zone.waitVersion(t, 2, applyDeadline)
}

func waitUntil(t *testing.T, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the condition was not met within %v", within)
		}
	}
}

// TestRelayOverHTTP guards against content that is altered between daemons: large and small
// values, partial answers, and a revision that is too old.
func TestRelayOverHTTP(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	large := make([]byte, 100_000)
	for i := range large {
		large[i] = byte(i % 251)
	}
	// The first byte is the version for fakeRegistry.Decode.
	large[0] = 7
	registry.items = []core.RegistryItem{
		{Key: "config", Revision: 1, Value: large},
		{Key: "u1", Revision: 2, Value: []byte("a")},
	}
	registry.revision = 2
	f := New(Config{
		Registry:    registry,
		Clock:       kernel.SystemClock{},
		Journal:     nopJournal{},
		StateConfig: follow.Config{},
	})
	server := httptest.NewServer(relay.NewHandler(relay.Servers{Relay: f}))
	defer server.Close()
	client := relay.NewClient(relay.ClientConfig{
		Dial: new(net.Dialer).DialContext,
	})
	defer client.Close()
	address := server.Listener.Addr().String()

	_, err := client.Follow(t.Context(), address, core.FollowRequest{IsFull: true})
	c.Assert(core.KindOf(err), qt.Equals, core.StoreCompacted)
	f.applyListing(core.RegistryAnswer{StorePosition: core.StorePosition{Revision: 1}, Items: registry.items[:1]}, false)
	f.update(0, func(now time.Time) {
		f.state.ApplyWatch(now, f.decode(core.RegistryAnswer{Items: registry.items[1:]}), core.StorePosition{Revision: 2})
	})
	answer, err := client.Follow(t.Context(), address, core.FollowRequest{IsFull: true})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.RegistryAnswer, qt.DeepEquals, core.RegistryAnswer{StorePosition: core.StorePosition{Revision: 2}, Items: registry.items})
	c.Assert(answer.ContactAge >= 0 && answer.ContactAge < time.Second, qt.IsTrue)
	answer, err = client.Follow(t.Context(), address, core.FollowRequest{After: core.StorePosition{Revision: 1}, Wait: time.Second})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Items, qt.DeepEquals, registry.items[1:])
	f.markStoreDown(core.Errorf(core.StoreDown, "down"))
	answer, err = client.Follow(t.Context(), address, core.FollowRequest{After: core.StorePosition{Revision: 2}, Wait: time.Hour})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.ContactAge < 0, qt.IsTrue)
	server.CloseClientConnections()
	server.Config.Handler = http.NotFoundHandler()
	_, err = client.Follow(t.Context(), address, core.FollowRequest{IsFull: true})
	c.Assert(core.KindOf(err), qt.Equals, core.PeerUnreachable)
}

// TestHiddenDeletionReachesFollowers guards against an availability zone that stays out because a daemon
// follows one that has learned of its return only from the listing of a third one: the listing shows
// neither that the zone was taken out nor that it was brought back.
func TestHiddenDeletionReachesFollowers(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	config := core.RegistryAnswer{
		StorePosition: core.StorePosition{Revision: 8},
		Items:         []core.RegistryItem{configItem(8, 1)},
	}
	client := relay.NewClient(relay.ClientConfig{
		Dial: new(net.Dialer).DialContext,
	})
	defer client.Close()
	newDaemon := func() (*Follower, core.Host) {
		f := New(Config{
			Registry:    registry,
			Relay:       client,
			Clock:       kernel.SystemClock{},
			Journal:     nopJournal{},
			StateConfig: follow.Config{},
		})
		f.applyListing(config, false)
		server := httptest.NewServer(relay.NewHandler(relay.Servers{Relay: f}))
		c.Cleanup(server.Close)
		return f, core.Host{PeerAddress: server.Listener.Addr().String()}
	}
	lister, listerHost := newDaemon()
	first, firstHost := newDaemon()
	last, _ := newDaemon()
	ask := func(f *Follower, host core.Host) {
		request := core.FollowRequest{
			After: f.state.Position(),
		}
		_, err := f.followHost(t.Context(), host, request)
		if core.KindOf(err) == core.StoreCompacted {
			request.IsFull = true
			_, err = f.followHost(t.Context(), host, request)
		}
		c.Assert(err, qt.IsNil)
	}

	last.update(0, func(now time.Time) {
		out := core.RegistryItem{Key: "out", Revision: 10, Value: []byte("a")}
		last.state.ApplyWatch(now, last.decode(core.RegistryAnswer{Items: []core.RegistryItem{out}}), core.StorePosition{Revision: 10})
	})
	c.Assert(last.view.Load().Snapshot.Out["a"], qt.IsTrue)
	config.Revision = 13
	lister.applyListing(config, false)
	ask(first, listerHost)
	c.Assert(first.state.Position().Revision, qt.Equals, uint64(13))
	ask(last, firstHost)
	c.Assert(last.state.Position().Revision, qt.Equals, uint64(13))
	c.Assert(last.view.Load().Snapshot.Out["a"], qt.IsFalse)
}
