package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/daemon"
	"verbenaway/io/fleet"
	"verbenaway/io/stand"
)

const (
	// inForceBound is the bound of promise 12, newWorkBound the bound of promises 5 and 10.
	inForceBound = 12 * time.Second
	newWorkBound = 3 * time.Second
	// startBound limits waits for conditions without a promised bound. It is long enough for a busy
	// machine.
	startBound = 30 * time.Second
	// requestBound is longer than every request timeout of the tests.
	requestBound = 20 * time.Second
)

// startFleet starts a fleet with the base note in force on every daemon.
func startFleet(t *testing.T, config fleet.Config, base string) *fleet.Fleet {
	t.Helper()
	c := qt.New(t)
	if config.Zones == nil {
		config.Zones = fleet.TargetZones
	}
	if config.Services == nil {
		config.Services = []core.ServiceName{"netbook"}
	}
	config.Latencies = fleet.TargetLatencies
	config.Seed = 1
	f, err := fleet.New(config)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		c.Check(f.Stop(), qt.IsNil)
	})
	f.Publish(base)
	c.Assert(f.Start(), qt.IsNil)
	_, err = f.AwaitVersion(1, config.Daemons, startBound)
	c.Assert(err, qt.IsNil)
	return f
}

// await waits until a condition holds and fails the test after the limit. what describes the
// condition.
func await(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met after %v: %s", limit, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// sampler checks the snapshots in force on all daemons every millisecond.
type sampler struct {
	mu        sync.Mutex
	processes []*daemon.Daemon
	versions  map[*daemon.Daemon]core.Version
	hashes    map[core.Version]core.Hash
	// minVersion is in force everywhere; a process that starts later must not serve an older one.
	minVersion core.Version
	violations []string
	samples    int
	stop       chan struct{}
	done       chan struct{}
}

// startSampler starts a sampler. At the end of the test it reports every violation of promises 1
// to 3 that it saw.
func startSampler(t *testing.T, f *fleet.Fleet) *sampler {
	s := &sampler{
		versions: map[*daemon.Daemon]core.Version{},
		hashes:   map[core.Version]core.Hash{},
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	s.track(f)
	go s.loop()
	t.Cleanup(func() {
		close(s.stop)
		<-s.done
		qt.Check(t, s.violations, qt.HasLen, 0)
		qt.Check(t, s.samples > 0, qt.IsTrue)
	})
	return s
}

// track replaces the sampled processes by the current daemons of the fleet.
func (s *sampler) track(f *fleet.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append([]*daemon.Daemon(nil), f.Daemons...)
}

// setMinVersion declares that a version is in force everywhere.
func (s *sampler) setMinVersion(version core.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minVersion = version
}

func (s *sampler) loop() {
	defer close(s.done)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.checkAll()
		}
	}
}

func (s *sampler) checkAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, process := range s.processes {
		if snapshot, _ := process.Agent().Snapshot(); snapshot != nil {
			s.checkDaemon(process, snapshot)
		}
	}
}

func (s *sampler) checkDaemon(process *daemon.Daemon, snapshot *core.Snapshot) {
	s.samples++
	report := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("%s: ", process.Self().Name)+fmt.Sprintf(format, args...))
	}
	if last := s.versions[process]; snapshot.Version < last {
		report("went back from version %d to %d", last, snapshot.Version)
	}
	if snapshot.Version < s.minVersion {
		report("serves version %d, although %d was in force everywhere", snapshot.Version, s.minVersion)
	}
	s.versions[process] = snapshot.Version
	if hash, known := s.hashes[snapshot.Version]; known && hash != snapshot.Hash {
		report("has a different history up to version %d", snapshot.Version)
	}
	s.hashes[snapshot.Version] = snapshot.Hash
	for name, route := range snapshot.Routes {
		if _, ok := snapshot.Services[route.Service]; !ok {
			report("route %s refers to service %s, which is missing in version %d", name, route.Service, snapshot.Version)
		}
	}
}

// routeTimeout returns the timeout of the route of the base note on a daemon.
func routeTimeout(d *daemon.Daemon) time.Duration {
	snapshot, _ := d.Agent().Snapshot()
	if snapshot == nil {
		return 0
	}
	return time.Duration(snapshot.Routes["netLookup"].Timeout)
}

// upstreamTemplate returns the configuration of an upstream that starts warm.
func upstreamTemplate() *stand.UpstreamConfig {
	return &stand.UpstreamConfig{
		StartWarm: true,
	}
}
