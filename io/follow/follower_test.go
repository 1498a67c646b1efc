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
	revision uint64
	// err is returned by all calls, watchErr by the next watch only.
	err      error
	watchErr error
	// isSilent keeps watches from answering until they are ended.
	isSilent bool
	// isCut keeps all calls from answering.
	isCut   bool
	changed chan struct{}
	lists   int
	watches int
}

// configItem is a version of the configuration; its value is the number as a byte.
func configItem(revision uint64, version core.Version) core.RegistryItem {
	return core.RegistryItem{
		Key:      "config",
		Revision: revision,
		Value:    []byte{byte(version)},
	}
}

// Decode implements core.Registry. Other keys than the configuration are upstreams in the
// availability zone of the value.
func (r *fakeRegistry) Decode(item core.RegistryItem) core.RegistryChange {
	change := core.RegistryChange{
		RegistryItem: item,
	}
	switch {
	case item.IsDelete:
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

// set changes the store and wakes watches.
func (r *fakeRegistry) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *fakeRegistry) List(ctx context.Context, _ bool) (core.RegistryAnswer, error) {
	if err := r.await(ctx); err != nil {
		return core.RegistryAnswer{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	if r.err != nil {
		return core.RegistryAnswer{}, r.err
	}
	return core.RegistryAnswer{
		Items:    slices.Clone(r.items),
		Revision: r.revision,
	}, nil
}

// await fails like a client whose calls are not answered.
func (r *fakeRegistry) await(ctx context.Context) error {
	r.mu.Lock()
	isCut := r.isCut
	r.mu.Unlock()
	if !isCut {
		return nil
	}
	select {
	case <-time.After(800 * time.Millisecond):
		return core.Errorf(core.StoreDown, "no answer")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *fakeRegistry) Revision(ctx context.Context) (uint64, error) {
	if err := r.await(ctx); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.err
}

func (r *fakeRegistry) Watch(ctx context.Context, after uint64, wait time.Duration) (core.RegistryAnswer, error) {
	deadline := time.After(wait)
	r.mu.Lock()
	r.watches++
	r.mu.Unlock()
	for {
		r.mu.Lock()
		isSilent := r.isSilent || r.isCut
		changed, err := r.changed, r.err
		if r.watchErr != nil {
			err, r.watchErr = r.watchErr, nil
		}
		answer := core.RegistryAnswer{
			Revision: r.revision,
		}
		for _, item := range r.items {
			if item.Revision > after {
				answer.Items = append(answer.Items, item)
			}
		}
		r.mu.Unlock()
		switch {
		case isSilent:
			<-ctx.Done()
			return core.RegistryAnswer{}, ctx.Err()
		case err != nil:
			return core.RegistryAnswer{}, err
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

type noJournal struct{}

func (noJournal) Record(core.Event) {}

func startFollower(t *testing.T, registry *fakeRegistry) *Follower {
	t.Helper()
	f := New(Config{
		Registry: registry,
		Clock:    kernel.SystemClock{},
		Journal:  noJournal{},
		State:    follow.Config{},
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() {
		qt.Check(t, f.Stop(context.Background()), qt.IsNil)
		goleak.VerifyNone(t)
	})
	return f
}

// waitVersion fails unless a version is in force within a time.
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

// applyTime is within which a configuration has to be in force on a calm day.
const applyTime = 2 * time.Second

// TestFollower guards against a configuration that comes into force late or never after the
// faults of the store, each of which ends before the next version is written.
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
			within: applyTime,
		},
		{
			name:   "history gone",
			fault:  func(r *fakeRegistry) { r.watchErr = core.Errorf(core.StoreCompacted, "gone") },
			within: applyTime,
		},
		{
			name:   "down",
			fault:  func(r *fakeRegistry) { r.err = core.Errorf(core.StoreDown, "down") },
			heal:   func(r *fakeRegistry) { r.err = nil },
			within: applyTime,
		},
		{
			name:   "too many calls",
			fault:  func(r *fakeRegistry) { r.err = core.Errorf(core.StoreBusy, "busy") },
			heal:   func(r *fakeRegistry) { r.err = nil },
			within: applyTime,
		},
		{
			// The watch that was parked when the connection went silent never answers; the
			// bounds hold again 3 s after the disruption.
			name:   "silent watch",
			fault:  func(r *fakeRegistry) { r.isSilent = true; r.watchErr = core.Errorf(core.StoreDown, "cut") },
			heal:   func(r *fakeRegistry) { r.isSilent = false },
			within: 3*time.Second + applyTime,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			registry := newFakeRegistry()
			registry.write(1)
			f := startFollower(t, registry)
			waitVersion(t, f, 1, applyTime)
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

// TestFollowerStorm guards against a store call for each of many changes, and against a last
// change that is left out.
func TestFollowerStorm(t *testing.T) {
	c := qt.New(t)
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyTime)
	for version := core.Version(2); version <= 40; version++ {
		registry.write(version)
		time.Sleep(25 * time.Millisecond)
	}
	waitVersion(t, f, 40, applyTime)
	registry.mu.Lock()
	defer registry.mu.Unlock()
	// Changes come over a second, in which three watches fit, besides those before and after.
	c.Assert(registry.watches <= 6, qt.IsTrue, qt.Commentf("%d watches", registry.watches))
}

// TestFollowerHint guards against a daemon that goes on with a version that another one has
// left, while its own watch is silent.
func TestFollowerHint(t *testing.T) {
	registry := newFakeRegistry()
	registry.write(1)
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyTime)
	registry.set(func() { registry.isSilent = true })
	time.Sleep(leastListGap)
	registry.mu.Lock()
	registry.revision++
	registry.items = append(registry.items, configItem(registry.revision, 2))
	registry.mu.Unlock()
	// Requests of the other daemon come all the time.
	waitUntil(t, applyTime, func() bool {
		f.ObserveVersion("other", 2)
		snapshot, _ := f.Snapshot()
		return snapshot != nil && snapshot.Version == 2
	})
}

// TestStormIsRelayed guards against a store call of each daemon for each change that requests
// show before it arrives from the reader of the zone.
func TestStormIsRelayed(t *testing.T) {
	c := qt.New(t)
	rig := newZoneRig(t, "d1", "d2", "d3", "d4", "d5", "d6")
	rig.waitVersion(t, 1, applyTime)
	waitUntil(t, 2*sourceRest, func() bool { return len(rig.readers()) == 1 })
	before := rig.lists()
	for version := core.Version(2); version < 20; version++ {
		rig.write(version)
		end := time.Now().Add(200 * time.Millisecond)
		for time.Now().Before(end) {
			for _, f := range rig.followers {
				f.ObserveVersion("other", version)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	rig.waitVersion(t, 19, applyTime)
	c.Assert(rig.lists(), qt.Equals, before)
}

// TestStartTogether guards against a store call of each daemon to confirm its first content, when
// all daemons start together, as after a loss of power: one of them can tell the others.
func TestStartTogether(t *testing.T) {
	c := qt.New(t)
	names := make([]core.HostName, 20)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("d%02d", i))
	}
	rig := newZoneRig(t, names...)
	rig.waitVersion(t, 1, applyTime)
	time.Sleep(2 * shortRest)
	readers := rig.readers()
	c.Assert(readers, qt.HasLen, 1)
	c.Assert(rig.watches(readers[0]), qt.Equals, 0)
	c.Assert(rig.lists(), qt.Equals, len(names))
}

// TestStartBesideOthers guards against a daemon that starts alone and serves only after a parked
// question to a daemon that has nothing new to tell.
func TestStartBesideOthers(t *testing.T) {
	rig := newZoneRig(t, "d1", "d2", "d3", "d4")
	rig.waitVersion(t, 1, applyTime)
	waitUntil(t, 2*sourceRest, func() bool { return len(rig.readers()) == 1 })
	reader := rig.readers()[0]
	var name core.HostName
	for other := range rig.followers {
		if other != reader {
			name = other
		}
	}
	again := New(rig.followers[name].config)
	qt.Assert(t, again.Start(t.Context()), qt.IsNil)
	defer func() { _ = again.Stop(t.Context()) }()
	waitUntil(t, 100*time.Millisecond, again.IsReady)
}
