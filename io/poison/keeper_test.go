package poison_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	corepoison "verbenaway/core/poison"
	"verbenaway/io/kernel"
	"verbenaway/io/poison"
)

// learnTime is the time within which all daemons in touch have to know what one of them has learned.
const learnTime = 3 * time.Second

// mesh is a number of daemons in three zones, which share through it.
type mesh struct {
	c       *qt.C
	mu      sync.Mutex
	hosts   []core.Host
	keepers map[string]*poison.Keeper
	// isCut tells which daemons cannot reach each other.
	isCut func(from, to core.Host) bool
	// shares counts the exchanges.
	shares int
}

type meshClient struct {
	mesh *mesh
	from core.Host
}

// Share implements core.ShareClient.
func (m meshClient) Share(ctx context.Context, address string, request core.ShareRequest) (core.ShareAnswer, error) {
	m.mesh.mu.Lock()
	m.mesh.shares++
	keeper, isCut := m.mesh.keepers[address], false
	for _, host := range m.mesh.hosts {
		isCut = isCut || host.PeerAddress == address && m.mesh.isCut != nil && m.mesh.isCut(m.from, host)
	}
	m.mesh.mu.Unlock()
	if isCut {
		// Nothing comes back from behind a cut.
		<-ctx.Done()
		return core.ShareAnswer{}, ctx.Err()
	}
	if keeper == nil {
		return core.ShareAnswer{}, errors.New("connection refused")
	}
	time.Sleep(2 * time.Millisecond)
	return keeper.Share(ctx, request)
}

type noJournal struct{}

func (noJournal) Record(core.Event) {}

const (
	meshZones   = 3
	meshPerZone = 5
)

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		c:       qt.New(t),
		keepers: map[string]*poison.Keeper{},
	}
	for i := range meshZones * meshPerZone {
		m.hosts = append(m.hosts, core.Host{
			Name:             core.HostName(fmt.Sprintf("10.%d.0.%d:8301", i%meshZones, i)),
			AvailabilityZone: core.AvailabilityZone(fmt.Sprint("zone", i%meshZones)),
			PeerAddress:      fmt.Sprintf("10.%d.0.%d:7621", i%meshZones, i),
		})
	}
	return m
}

// start starts daemons, in place of those that run.
func (m *mesh) start(indexes ...int) {
	for _, i := range indexes {
		m.stop(i)
		host := m.hosts[i]
		keeper := poison.New(poison.Config{
			Self:    host,
			Hosts:   func() []core.Host { return m.hosts },
			Peers:   meshClient{mesh: m, from: host},
			Clock:   kernel.SystemClock{},
			Journal: noJournal{},
		})
		m.mu.Lock()
		m.keepers[host.PeerAddress] = keeper
		m.mu.Unlock()
		m.c.Assert(keeper.Start(m.c.Context()), qt.IsNil)
		m.c.Cleanup(func() { _ = keeper.Stop(context.Background()) })
	}
}

// stop ends a daemon. Its keeper runs on until the end of the test, but nobody reaches it.
func (m *mesh) stop(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.keepers, m.hosts[i].PeerAddress)
}

func (m *mesh) startAll() {
	for i := range m.hosts {
		m.start(i)
	}
}

func (m *mesh) keeper(i int) *poison.Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keepers[m.hosts[i].PeerAddress]
}

func (m *mesh) cut(isCut func(from, to core.Host) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isCut = isCut
}

var deadly = corepoison.Head{Method: "GET", Host: "mesh.test", Target: "/deadly", Caller: "netbook"}

// lose reports crashes, each at another daemon.
func (m *mesh) lose(daemons ...int) {
	for i, daemon := range daemons {
		m.keeper(daemon).RecordLoss(corepoison.NewHash(deadly).Fingerprint(), deadly.Shape(), fmt.Sprint("i-", i))
	}
}

// waitVerdict waits until daemons have a verdict, learnTime at most.
func (m *mesh) waitVerdict(want core.Verdict, daemons ...int) {
	m.c.Helper()
	end := time.Now().Add(learnTime)
	for _, i := range daemons {
		for m.keeper(i).Verdict(corepoison.NewHash(deadly).Fingerprint()) != want {
			if time.Now().After(end) {
				m.c.Fatalf("daemon %d does not have the verdict %d after %v", i, want, learnTime)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (m *mesh) all(without ...int) []int {
	var all []int
	for i := range m.hosts {
		isLeftOut := false
		for _, j := range without {
			isLeftOut = isLeftOut || i == j
		}
		if !isLeftOut {
			all = append(all, i)
		}
	}
	return all
}

// TestAllLearn guards against daemons that pass on a request which has crashed upstreams, because these
// crashes were seen by other daemons, and against exchanges while nothing is known.
func TestAllLearn(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	m.startAll()
	m.c.Assert(m.keeper(0).IsActive(), qt.IsFalse)
	time.Sleep(time.Second)
	m.mu.Lock()
	before := m.shares
	m.mu.Unlock()
	time.Sleep(time.Second)
	m.mu.Lock()
	m.c.Assert(m.shares, qt.Equals, before)
	m.mu.Unlock()
	m.lose(0, 4, 8)
	m.waitVerdict(core.VerdictQuarantined, m.all()...)
	m.keeper(11).RecordAnswer(corepoison.NewHash(deadly).Fingerprint())
	m.waitVerdict(core.VerdictNone, m.all()...)
}

// TestLearnDespiteFaults guards against what one daemon knows not reaching others while some are down,
// cut off from each other, have just started or were out of reach for a time.
func TestLearnDespiteFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(m *mesh)
	}{
		{name: "most daemons are down", play: func(m *mesh) {
			// Whichever is the head of its zone, it is down in some of the zones.
			for i := range meshZones * (meshPerZone - 2) {
				m.stop(i)
			}
			m.lose(9, 10, 11)
			m.waitVerdict(core.VerdictQuarantined, 9, 10, 11, 12, 13, 14)
		}},
		{name: "two zones cannot reach each other", play: func(m *mesh) {
			m.cut(func(from, to core.Host) bool {
				return from.AvailabilityZone != to.AvailabilityZone && from.AvailabilityZone != "zone2" && to.AvailabilityZone != "zone2"
			})
			m.lose(0, 1, 4)
			m.waitVerdict(core.VerdictQuarantined, m.all()...)
		}},
		{name: "daemons start again", play: func(m *mesh) {
			m.lose(0, 1, 2)
			m.waitVerdict(core.VerdictQuarantined, m.all()...)
			m.start(m.all(3, 4)...)
			m.waitVerdict(core.VerdictQuarantined, m.all()...)
		}},
		{name: "a daemon is cut off meanwhile", play: func(m *mesh) {
			alone := m.hosts[7]
			m.cut(func(from, to core.Host) bool { return from.Name == alone.Name || to.Name == alone.Name })
			m.lose(0, 1, 2)
			m.waitVerdict(core.VerdictQuarantined, m.all(7)...)
			m.cut(nil)
			m.waitVerdict(core.VerdictQuarantined, 7)
		}},
		{name: "a daemon that is cut off knows most", play: func(m *mesh) {
			alone := m.hosts[7]
			m.cut(func(from, to core.Host) bool { return from.Name == alone.Name || to.Name == alone.Name })
			m.lose(7, 7, 7)
			m.waitVerdict(core.VerdictQuarantined, 7)
			m.cut(nil)
			m.waitVerdict(core.VerdictQuarantined, m.all()...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t)
			m.startAll()
			time.Sleep(200 * time.Millisecond)
			tc.play(m)
		})
	}
}
