package follow

import (
	"context"
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
	changes  []core.RegistryChange
	revision uint64
	// err is returned by all calls, watchErr by the next watch only.
	err      error
	watchErr error
	// isSilent keeps watches from answering until they are ended.
	isSilent bool
	changed  chan struct{}
	lists    int
	watches  int
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
		r.changes = append(r.changes, core.RegistryChange{
			Key:      "config",
			Revision: r.revision,
			Config: &core.Snapshot{
				Version: version,
			},
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

func (r *fakeRegistry) List(context.Context) (core.RegistryListing, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists++
	if r.err != nil {
		return core.RegistryListing{}, r.err
	}
	return core.RegistryListing{
		Changes:  r.changes[max(len(r.changes)-1, 0):],
		Revision: r.revision,
	}, nil
}

func (r *fakeRegistry) Revision(context.Context) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.err
}

func (r *fakeRegistry) Watch(ctx context.Context, after uint64, wait time.Duration) (core.RegistryChanges, error) {
	deadline := time.After(wait)
	r.mu.Lock()
	r.watches++
	isSilent := r.isSilent
	r.mu.Unlock()
	for {
		r.mu.Lock()
		changed, err := r.changed, r.err
		if r.watchErr != nil {
			err, r.watchErr = r.watchErr, nil
		}
		answer := core.RegistryChanges{
			Revision: r.revision,
		}
		for _, change := range r.changes {
			if change.Revision > after {
				answer.Changes = append(answer.Changes, change)
			}
		}
		r.mu.Unlock()
		switch {
		case isSilent:
			<-ctx.Done()
			return core.RegistryChanges{}, ctx.Err()
		case err != nil:
			return core.RegistryChanges{}, err
		case len(answer.Changes) > 0:
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return answer, nil
		case <-ctx.Done():
			return core.RegistryChanges{}, ctx.Err()
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
	c.Assert(registry.watches <= 5, qt.IsTrue, qt.Commentf("%d watches", registry.watches))
}

// TestFollowerHint guards against a daemon that goes on with a version that another one has
// left, while its own watch is silent.
func TestFollowerHint(t *testing.T) {
	registry := newFakeRegistry()
	registry.write(1)
	registry.isSilent = true
	f := startFollower(t, registry)
	waitVersion(t, f, 1, applyTime)
	time.Sleep(leastListGap)
	registry.mu.Lock()
	registry.revision++
	registry.changes = append(registry.changes, core.RegistryChange{
		Key:      "config",
		Revision: registry.revision,
		Config:   &core.Snapshot{Version: 2},
	})
	registry.mu.Unlock()
	f.Observe("other", 2)
	waitVersion(t, f, 2, 200*time.Millisecond)
}
