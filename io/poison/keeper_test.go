package poison_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	corepoison "verbenaway/core/poison"
	"verbenaway/io/kernel"
	"verbenaway/io/poison"
)

const (
	// learnTime is the time within which all daemons in touch have to know what one of them has learned.
	learnTime   = 3 * time.Second
	meshZones   = 3
	meshPerZone = 5
)

// mesh is a number of daemons in some zones, which share through it.
type mesh struct {
	c     *qt.C
	hosts []core.Host

	mu      sync.Mutex
	keepers map[string]*poison.Keeper
	// isCut tells which daemons cannot reach each other.
	isCut func(from, to core.Host) bool
	// shares counts the exchanges.
	shares int
}

// meshClient is the core.ShareClient of one daemon.
type meshClient struct {
	*mesh
	from core.Host
}

// Share implements core.ShareClient.
func (m meshClient) Share(ctx context.Context, address string, request core.ShareRequest) (core.ShareAnswer, error) {
	to := m.hosts[slices.IndexFunc(m.hosts, func(host core.Host) bool { return host.PeerAddress == address })]
	m.mu.Lock()
	m.shares++
	keeper, isCut := m.keepers[address], m.isCut(m.from, to)
	m.mu.Unlock()
	switch {
	case isCut:
		// Nothing comes back from behind a cut.
		<-ctx.Done()
		return core.ShareAnswer{}, ctx.Err()
	case keeper == nil:
		return core.ShareAnswer{}, errors.New("connection refused")
	}
	time.Sleep(2 * time.Millisecond)
	return keeper.Share(ctx, request)
}

// Record implements core.Journal.
func (meshClient) Record(core.Event) {}

func newMesh(t *testing.T) *mesh {
	m := &mesh{
		c:       qt.New(t),
		keepers: map[string]*poison.Keeper{},
	}
	m.cut(func(_, _ core.Host) bool { return false })
	for i := range meshZones * meshPerZone {
		m.hosts = append(m.hosts, core.Host{
			Name:             core.HostName(fmt.Sprintf("10.%d.0.%d:8301", i%meshZones, i)),
			AvailabilityZone: core.AvailabilityZone(fmt.Sprint("zone", i%meshZones)),
			PeerAddress:      fmt.Sprintf("10.%d.0.%d:7621", i%meshZones, i),
		})
	}
	m.start(m.but()...)
	time.Sleep(200 * time.Millisecond)
	return m
}

// start starts daemons, in place of those that run; nobody reaches these any more.
func (m *mesh) start(indexes ...int) {
	for _, i := range indexes {
		client := meshClient{mesh: m, from: m.hosts[i]}
		keeper := poison.New(poison.Config{
			Self:    m.hosts[i],
			Hosts:   func() []core.Host { return m.hosts },
			Peers:   client,
			Clock:   kernel.SystemClock{},
			Journal: client,
		})
		m.mu.Lock()
		m.keepers[m.hosts[i].PeerAddress] = keeper
		m.mu.Unlock()
		m.c.Assert(keeper.Start(m.c.Context()), qt.IsNil)
		m.c.Cleanup(func() { _ = keeper.Stop(context.Background()) })
	}
}

func (m *mesh) stop(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.keepers, m.hosts[i].PeerAddress)
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

// cutOff cuts one daemon off from all others.
func (m *mesh) cutOff(i int) {
	m.cut(func(from, to core.Host) bool { return from == m.hosts[i] || to == m.hosts[i] })
}

func (m *mesh) heal() { m.cut(func(_, _ core.Host) bool { return false }) }

var deadly = corepoison.Head{Method: "GET", Host: "mesh.test", Target: "/deadly", Caller: "netbook"}

// lose reports crashes, each at another daemon.
func (m *mesh) lose(daemons ...int) {
	for i, daemon := range daemons {
		m.keeper(daemon).RecordLoss(corepoison.NewHash(deadly).Fingerprint(), deadly.Shape(), fmt.Sprint("i-", i))
	}
}

// await waits until daemons have a verdict, learnTime at most.
func (m *mesh) await(want core.Verdict, daemons ...int) {
	m.c.Helper()
	end := time.Now().Add(learnTime)
	for _, i := range daemons {
		for m.keeper(i).Verdict(corepoison.NewHash(deadly).Fingerprint()) != want {
			m.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("daemon %d does not have the verdict %d after %v", i, want, learnTime))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// but returns all daemons but some.
func (m *mesh) but(without ...int) []int {
	var all []int
	for i := range m.hosts {
		if !slices.Contains(without, i) {
			all = append(all, i)
		}
	}
	return all
}

// TestLearning guards against what one daemon knows not reaching others: in calm, and while some are
// down, cut off from each other, have just started or were out of reach for a time.
func TestLearning(t *testing.T) {
	const quarantined = core.VerdictQuarantined
	for _, tc := range []struct {
		name string
		play func(m *mesh)
	}{
		{name: "calm", play: func(m *mesh) {
			m.lose(0, 4, 8)
			m.await(quarantined, m.but()...)
			m.keeper(11).RecordAnswer(corepoison.NewHash(deadly).Fingerprint())
			m.await(core.VerdictNone, m.but()...)
		}},
		{name: "most daemons are down", play: func(m *mesh) {
			// Whichever is the head of its zone, it is down in some of the zones.
			for i := range meshZones * (meshPerZone - 2) {
				m.stop(i)
			}
			m.lose(9, 10, 11)
			m.await(quarantined, 9, 10, 11, 12, 13, 14)
		}},
		{name: "two zones cannot reach each other", play: func(m *mesh) {
			m.cut(func(from, to core.Host) bool {
				return from.AvailabilityZone != to.AvailabilityZone && from.AvailabilityZone != "zone2" && to.AvailabilityZone != "zone2"
			})
			m.lose(0, 1, 4)
			m.await(quarantined, m.but()...)
		}},
		{name: "daemons start again", play: func(m *mesh) {
			m.lose(0, 1, 2)
			m.await(quarantined, m.but()...)
			m.start(m.but(3, 4)...)
			m.await(quarantined, m.but()...)
		}},
		{name: "a daemon is cut off meanwhile", play: func(m *mesh) {
			m.cutOff(7)
			m.lose(0, 1, 2)
			m.await(quarantined, m.but(7)...)
			m.heal()
			m.await(quarantined, 7)
		}},
		{name: "a daemon that is cut off knows most", play: func(m *mesh) {
			m.cutOff(7)
			m.lose(7, 7, 7)
			m.await(quarantined, 7)
			m.heal()
			m.await(quarantined, m.but()...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.play(newMesh(t))
		})
	}
}

// TestNothingIsSentInCalm guards against exchanges while nothing is known.
func TestNothingIsSentInCalm(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	time.Sleep(time.Second)
	m.mu.Lock()
	before := m.shares
	m.mu.Unlock()
	time.Sleep(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.c.Assert(m.shares, qt.Equals, before)
}
