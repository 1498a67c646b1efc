package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/core/follow"
	"verbenaway/io/kernel"
)

// fakeRegistry is a store whose content and faults the test sets.
type fakeRegistry struct {
	mu       sync.Mutex
	items    []core.RegistryItem
	epoch    uint64
	revision uint64
	// err is returned by all calls, watchErr by the next watch only.
	err      error
	watchErr error
	// isUnresponsive keeps watches from answering until they are canceled.
	isUnresponsive bool
	// staleRevision is the revision of reads that may be stale, 0 for the newest one.
	staleRevision uint64
	// staleEpoch is the epoch of these reads, 0 for the current one.
	staleEpoch uint64
	// isCompacted makes all watches fail with StoreCompacted.
	isCompacted bool
	// isBusy rejects listings, as over a read rate to which stale reads do not count.
	isBusy bool
	// listErr is returned by listings, staleListing by those that may be stale.
	listErr      error
	staleListing *core.RegistryAnswer
	// isUnreachable keeps all calls from answering.
	isUnreachable bool
	changed       chan struct{}
	lists         int
	watches       int
}

// configItem returns a version of the configuration; its value is the version as one byte.
func configItem(revision uint64, version core.Version) core.RegistryItem {
	return core.RegistryItem{
		Key:      "config",
		Revision: revision,
		Value:    []byte{byte(version)},
	}
}

// Decode implements core.Registry. Keys other than those of the configuration and of the zone that is
// out are upstreams; their value is the availability zone.
func (r *fakeRegistry) Decode(item core.RegistryItem) core.RegistryChange {
	change := core.RegistryChange{
		RegistryItem: item,
	}
	switch {
	case item.IsDelete:
	case item.Key == "malformed":
		panic("malformed")
	case item.Key == "out":
		change.Zone = core.AvailabilityZone(item.Value)
	case item.Key == "config":
		change.Config = &core.Snapshot{
			Version: core.Version(item.Value[0]),
		}
	default:
		change.Upstream = &core.UpstreamRecord{
			Host: core.Host{
				Name:             core.HostName(item.Key),
				AvailabilityZone: core.AvailabilityZone(item.Value),
				PeerAddress:      item.Key,
				Service:          "netbook",
				State:            core.HostLive,
			},
			Slots: 1,
		}
	}
	return change
}

func newFakeRegistry() *fakeRegistry {
	return &fakeRegistry{
		changed: make(chan struct{}),
	}
}

// write adds a version of the configuration.
func (r *fakeRegistry) write(version core.Version) {
	r.set(func() {
		r.revision++
		r.items = append(r.items, configItem(r.revision, version))
	})
}

// register adds an upstream in zone a. The caller holds mu or has the only reference.
func (r *fakeRegistry) register(name core.HostName) {
	r.revision++
	r.items = append(r.items, core.RegistryItem{
		Key:      string(name),
		Revision: r.revision,
		Value:    []byte("a"),
	})
}

// takeOut takes an availability zone out.
func (r *fakeRegistry) takeOut(zone core.AvailabilityZone) {
	r.set(func() {
		r.revision++
		r.items = append(r.items, core.RegistryItem{
			Key:      "out",
			Revision: r.revision,
			Value:    []byte(zone),
		})
	})
}

// set changes the store and wakes watches.
func (r *fakeRegistry) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *fakeRegistry) List(ctx context.Context, mayBeStale bool) (core.RegistryAnswer, error) {
	if err := r.await(ctx); err != nil {
		return core.RegistryAnswer{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	if r.err != nil {
		return core.RegistryAnswer{}, r.err
	}
	if r.isBusy {
		return core.RegistryAnswer{}, core.Errorf(core.StoreBusy, "read rate exceeded")
	}
	if r.listErr != nil {
		return core.RegistryAnswer{}, r.listErr
	}
	if mayBeStale && r.staleListing != nil {
		return *r.staleListing, nil
	}
	return core.RegistryAnswer{
		StorePosition: r.position(),
		Items:         slices.Clone(r.items),
	}, nil
}

// await fails with a timeout, as a client does, if calls are not answered.
func (r *fakeRegistry) await(ctx context.Context) error {
	r.mu.Lock()
	isUnreachable := r.isUnreachable
	r.mu.Unlock()
	if !isUnreachable {
		return nil
	}
	select {
	case <-time.After(800 * time.Millisecond):
		return core.Errorf(core.StoreDown, "no answer")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *fakeRegistry) Position(ctx context.Context, mayBeStale bool) (core.StorePosition, error) {
	if err := r.await(ctx); err != nil {
		return core.StorePosition{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	position := r.position()
	if mayBeStale && r.staleRevision > 0 {
		position.Revision = r.staleRevision
	}
	if mayBeStale && r.staleEpoch > 0 {
		position.Epoch = r.staleEpoch
	}
	return position, r.err
}

// position returns the position of the store. The caller holds mu.
func (r *fakeRegistry) position() core.StorePosition {
	return core.StorePosition{
		Epoch:    r.epoch,
		Revision: r.revision,
	}
}

func (r *fakeRegistry) Watch(ctx context.Context, after uint64, wait time.Duration) (core.RegistryAnswer, error) {
	r.mu.Lock()
	r.watches++
	r.mu.Unlock()
	return r.watch(ctx, after, wait)
}

// watch is a Watch that is not counted.
func (r *fakeRegistry) watch(ctx context.Context, after uint64, wait time.Duration) (core.RegistryAnswer, error) {
	deadline := time.After(wait)
	for {
		r.mu.Lock()
		isUnresponsive := r.isUnresponsive || r.isUnreachable
		isCompacted := r.isCompacted
		changed, err := r.changed, r.err
		if r.watchErr != nil {
			err, r.watchErr = r.watchErr, nil
		}
		answer := core.RegistryAnswer{
			StorePosition: r.position(),
		}
		for _, item := range r.items {
			if item.Revision > after {
				answer.Items = append(answer.Items, item)
			}
		}
		r.mu.Unlock()
		switch {
		case isUnresponsive:
			<-ctx.Done()
			return core.RegistryAnswer{}, ctx.Err()
		case err != nil:
			return core.RegistryAnswer{}, err
		case isCompacted || after > answer.Revision:
			return core.RegistryAnswer{}, core.Errorf(core.StoreCompacted, "revision %d does not exist", after)
		case len(answer.Items) > 0:
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return answer, nil
		case <-ctx.Done():
			return core.RegistryAnswer{}, ctx.Err()
		}
	}
}

type nopJournal struct{}

func (nopJournal) Record(core.Event) {}

func startFollower(t *testing.T, registry *fakeRegistry) *Follower {
	t.Helper()
	f := New(Config{
		Registry:    registry,
		Clock:       kernel.SystemClock{},
		Journal:     nopJournal{},
		StateConfig: follow.Config{},
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, f.Stop(context.Background()), qt.IsNil)
		goleak.VerifyNone(t)
	})
	return f
}

// waitVersion fails the test unless a version is in force within the given time.
func waitVersion(t *testing.T, f *Follower, version core.Version, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(time.Millisecond) {
		snapshot, _ := f.Snapshot()
		if snapshot != nil && snapshot.Version == version {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("version %d is not in force after %v", version, within)
		}
	}
}

// applyDeadline is the time within which a configuration has to be in force without faults.
const applyDeadline = 2 * time.Second

// TestFollower guards against a configuration that comes into force late or never after a fault
// of the store. Each fault ends before the next version is written.
func TestFollower(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*fakeRegistry)
		heal  func(*fakeRegistry)
		// within is the time from the write to the version in force.
		within time.Duration
	}{
		{
			name:   "calm",
			within: applyDeadline,
		},
		{
			name:   "history compacted",
			fault:  func(r *fakeRegistry) { r.watchErr = core.Errorf(core.StoreCompacted, "gone") },
			within: applyDeadline,
		},
		{
			name:   "down",
			fault:  func(r *fakeRegistry) { r.err = core.Errorf(core.StoreDown, "down") },
			heal:   func(r *fakeRegistry) { r.err = nil },
			within: applyDeadline,
		},
		{
			name:   "too many calls",
			fault:  func(r *fakeRegistry) { r.err = core.Errorf(core.StoreBusy, "busy") },
			heal:   func(r *fakeRegistry) { r.err = nil },
			within: applyDeadline,
		},
		{
			// The watch that was parked when the connection became unresponsive never answers;
			// the deadline holds again 3 s after the disruption.
			name:   "unresponsive watch",
			fault:  func(r *fakeRegistry) { r.isUnresponsive = true; r.watchErr = core.Errorf(core.StoreDown, "cut") },
			heal:   func(r *fakeRegistry) { r.isUnresponsive = false },
			within: 3*time.Second + applyDeadline,
		},
		{
			// The store compacts its history: watches hear nothing of the change, and reads that
			// may be stale are seconds behind.
			name:   "watches silent and stale reads behind",
			fault:  func(r *fakeRegistry) { r.isUnresponsive, r.staleRevision = true, 1 },
			within: applyDeadline,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			registry := newFakeRegistry()
			registry.write(1)
			f := startFollower(t, registry)
			waitVersion(t, f, 1, applyDeadline)
			if tc.fault != nil {
				registry.set(func() { tc.fault(registry) })
				time.Sleep(600 * time.Millisecond)
			}
			if tc.heal != nil {
				registry.set(func() { tc.heal(registry) })
			}
			registry.write(2)
			waitVersion(t, f, 2, tc.within)
		})
	}
}

// TestMalformedItem guards against a single item whose decoding panics and which ends the process, or
// keeps others from being applied.
func TestMalformedItem(t *testing.T) {
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyDeadline)
	registry.set(func() {
		registry.revision++
		registry.items = append(registry.items, core.RegistryItem{
			Key:      "malformed",
			Revision: registry.revision,
		})
	})
	registry.write(2)
	waitVersion(t, f, 2, applyDeadline)
}

// TestFollowerBurst guards against a store call for each change of a burst, and against a last
// change that is missed.
func TestFollowerBurst(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyDeadline)
	for version := core.Version(2); version <= 40; version++ {
		registry.write(version)
		time.Sleep(25 * time.Millisecond)
	}
	waitVersion(t, f, 40, applyDeadline)
	registry.mu.Lock()
	defer registry.mu.Unlock()
	// The changes take a second, in which three watches fit; there are others before and after.
	c.Assert(registry.watches <= 6, qt.IsTrue, qt.Commentf("%d watches", registry.watches))
}

// TestFollowerHint guards against a daemon that keeps an older version than another one uses
// while its own watch is unresponsive.
func TestFollowerHint(t *testing.T) {
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyDeadline)
	registry.set(func() { registry.isUnresponsive = true })
	time.Sleep(minHintListInterval)
	registry.mu.Lock()
	registry.revision++
	registry.items = append(registry.items, configItem(registry.revision, 2))
	registry.mu.Unlock()
	// The other daemon sends requests continuously.
	waitUntil(t, applyDeadline, func() bool {
		f.ObserveVersion("other", 2)
		snapshot, _ := f.Snapshot()
		return snapshot != nil && snapshot.Version == 2
	})
}

// TestBurstIsRelayed guards against a listing by each daemon for each change that requests
// show before it arrives from the reader.
func TestBurstIsRelayed(t *testing.T) {
	c := qt.New(t)
	zone := newTestZone(t, "d1", "d2", "d3", "d4", "d5", "d6")
	zone.waitVersion(t, 1, applyDeadline)
	waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
	before := zone.lists()
	for version := core.Version(2); version < 20; version++ {
		zone.write(version)
		end := time.Now().Add(200 * time.Millisecond)
		for time.Now().Before(end) {
			for _, f := range zone.followers {
				f.ObserveVersion("other", version)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	zone.waitVersion(t, 19, applyDeadline)
	c.Assert(zone.lists(), qt.Equals, before)
}

// TestStartTogether guards against a store call by each daemon to confirm its first content when
// all daemons start together, as after a power failure: one daemon confirms it for all others.
func TestStartTogether(t *testing.T) {
	c := qt.New(t)
	names := make([]core.HostName, 20)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("d%02d", i))
	}
	zone := newTestZone(t, names...)
	zone.waitVersion(t, 1, applyDeadline)
	time.Sleep(2 * shortSourceBackoff)
	readers := zone.readers()
	c.Assert(readers, qt.HasLen, 1)
	c.Assert(zone.watches(readers[0]), qt.Equals, 0)
	c.Assert(zone.lists(), qt.Equals, len(names))
}

// TestStartBesideOthers guards against a daemon that starts alone and becomes ready only after a
// parked request to a daemon that has no changes.
func TestStartBesideOthers(t *testing.T) {
	zone := newTestZone(t, "d1", "d2", "d3", "d4")
	zone.waitVersion(t, 1, applyDeadline)
	waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
	reader := zone.readers()[0]
	var name core.HostName
	for other := range zone.followers {
		if other != reader {
			name = other
		}
	}
	restarted := New(zone.followers[name].config)
	qt.Assert(t, restarted.Start(t.Context()), qt.IsNil)
	defer func() { _ = restarted.Stop(t.Context()) }()
	waitUntil(t, 100*time.Millisecond, restarted.IsReady)
}

// TestWholeSystemStarts guards against several calls to the store by each daemon when the whole
// system starts for the first time: no upstream has registered yet, so that no daemon knows of
// another one. The upstreams register a second later, one after the other.
func TestWholeSystemStarts(t *testing.T) {
	c := qt.New(t)
	names := make([]core.HostName, 20)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("d%02d", i))
	}
	zone := startTestZone(t, names, nil)
	time.Sleep(time.Second)
	for _, name := range names {
		zone.register(name)
		time.Sleep(5 * time.Millisecond)
	}
	zone.waitVersion(t, 1, 2*applyDeadline)
	waitUntil(t, 2*sourceBackoff, func() bool { return len(zone.readers()) == 1 })
	watches := zone.watches("")
	c.Assert(watches <= len(names), qt.IsTrue, qt.Commentf("%d watches by %d daemons", watches, len(names)))
}
