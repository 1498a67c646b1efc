package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaway/core"
	"verbenaway/core/note"
)

// fakeStore is an in-memory configuration store. Watches wait in the virtual time of the test.
type fakeStore struct {
	mutex    sync.Mutex
	notes    map[core.Version][]byte
	hostList core.HostList
	down     bool
	// changed is closed and replaced by each update.
	changed chan struct{}
	// operations counts one per read and per second of a watch, at least one per watch.
	operations float64
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		notes:   map[core.Version][]byte{},
		changed: make(chan struct{}),
	}
}

func (s *fakeStore) update(apply func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) operationCount() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.operations
}

func (s *fakeStore) publish(version core.Version) {
	s.update(func() {
		s.notes[version] = fmt.Appendf(nil, "version = %d\nagainst = %d\ncomment = \"test\"\n[[add.tenant]]\nname = \"t%d\"\n", version, version-1, version)
	})
}

func (s *fakeStore) Value(_ context.Context, key string) ([]byte, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.operations++
	if s.down {
		return nil, false, core.Errorf(core.StoreDown, "fake store is down")
	}
	version, err := note.KeyVersion(key)
	if err != nil {
		return nil, false, nil
	}
	value, found := s.notes[version]
	return value, found, nil
}

// longPoll waits until found returns true, wait has passed, the store is down or ctx ends.
func (s *fakeStore) longPoll(ctx context.Context, wait time.Duration, found func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	began := time.Now()
	for {
		s.mutex.Lock()
		changed, down, ok := s.changed, s.down, found()
		if down || ok || time.Since(began) >= wait {
			s.operations += max(1, time.Since(began).Seconds())
			s.mutex.Unlock()
			if down {
				return core.Errorf(core.StoreDown, "fake store is down")
			}
			return nil
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *fakeStore) Watch(ctx context.Context, after string, wait time.Duration) ([]core.KeyValue, error) {
	version, err := note.KeyVersion(after)
	if err != nil {
		version = 0
	}
	var values []core.KeyValue
	err = s.longPoll(ctx, wait, func() bool {
		for v := version + 1; s.notes[v] != nil; v++ {
			values = append(values, core.KeyValue{
				Key:   note.Key(v),
				Value: s.notes[v],
			})
		}
		return len(values) > 0
	})
	return values, err
}

func (s *fakeStore) Hosts(ctx context.Context, after uint64, wait time.Duration) (list core.HostList, ok bool, err error) {
	err = s.longPoll(ctx, wait, func() bool {
		list = s.hostList
		ok = list.Revision != after
		return ok
	})
	return list, ok, err
}

// fakeNet passes messages between agents in memory. Agents in partitioned reach only each other.
type fakeNet struct {
	mutex       sync.Mutex
	agents      map[string]*Agent
	partitioned map[string]bool
}

// fakePeers is the core.PeerClient of one agent.
type fakePeers struct {
	net     *fakeNet
	address string
}

// callAgent calls the agent at an address unless a partition separates them.
func callAgent[A any](p fakePeers, address string, call func(*Agent) (A, error)) (A, error) {
	p.net.mutex.Lock()
	target, ok := p.net.agents[address]
	separated := p.net.partitioned[address] != p.net.partitioned[p.address]
	p.net.mutex.Unlock()
	if !ok || separated {
		var none A
		return none, core.Errorf(core.PeerUnreachable, "no daemon at %s", address)
	}
	return call(target)
}

func (p fakePeers) Exchange(ctx context.Context, to string, m core.ExchangeMessage) (core.ExchangeMessage, error) {
	return callAgent(p, to, func(a *Agent) (core.ExchangeMessage, error) { return a.Exchange(ctx, m) })
}

func (p fakePeers) Push(ctx context.Context, to string, m core.PushMessage) (core.Digest, error) {
	return callAgent(p, to, func(a *Agent) (core.Digest, error) { return a.Push(ctx, m) })
}

func (p fakePeers) Pull(ctx context.Context, to string, m core.PullRequest) (core.PullAnswer, error) {
	return callAgent(p, to, func(a *Agent) (core.PullAnswer, error) { return a.Pull(ctx, m) })
}

func (p fakePeers) ProbeFor(ctx context.Context, to string, m core.ProbeForRequest) (core.ProbeForAnswer, error) {
	return callAgent(p, to, func(a *Agent) (core.ProbeForAnswer, error) { return a.ProbeFor(ctx, m) })
}

func (p fakePeers) Hosts(ctx context.Context, to string, m core.HostsRequest) (core.HostsAnswer, error) {
	return callAgent(p, to, func(a *Agent) (core.HostsAnswer, error) { return a.Hosts(ctx, m) })
}

// clock is the virtual time of the test plus offset, which simulates a pause of the process.
type clock struct {
	offset atomic.Int64
}

func (c *clock) Now() time.Time {
	return time.Now().Add(time.Duration(c.offset.Load()))
}

// journal counts the recorded events by kind.
type journal struct {
	mutex  sync.Mutex
	counts map[core.EventKind]int
}

func (j *journal) Record(event core.Event) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts[event.Kind]++
}

// fleet is a set of agents that share one store.
type fleet struct {
	configure func(*Config)
	store     *fakeStore
	net       *fakeNet
	agents    []*Agent
	clocks    []*clock
	journals  []*journal
}

func hostAt(index int) core.Host {
	region := []core.Region{"north", "south"}[index%2]
	return core.Host{
		Name:             core.HostName(fmt.Sprintf("h%03d", index)),
		AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("%s-%d", region, index/2%3)),
		Region:           region,
		Service:          "svc",
		PeerAddress:      fmt.Sprintf("peer:%d", index),
		State:            core.HostLive,
	}
}

func newFleet(size int, configure func(*Config)) *fleet {
	f := &fleet{
		configure: configure,
		store:     newFakeStore(),
		agents:    make([]*Agent, size),
		clocks:    make([]*clock, size),
		journals:  make([]*journal, size),
		net: &fakeNet{
			agents:      map[string]*Agent{},
			partitioned: map[string]bool{},
		},
	}
	f.store.hostList.Revision = 1
	for i := range size {
		f.store.hostList.Hosts = append(f.store.hostList.Hosts, hostAt(i))
		f.addAgent(i)
	}
	return f
}

func (f *fleet) addAgent(index int) {
	host := hostAt(index)
	f.clocks[index], f.journals[index] = &clock{}, &journal{counts: map[core.EventKind]int{}}
	config := Config{
		Self:    host,
		Seeds:   []string{hostAt(0).PeerAddress, hostAt(1).PeerAddress},
		Store:   f.store,
		Journal: f.journals[index],
		Clock:   f.clocks[index],
		Random:  rand.New(rand.NewPCG(uint64(index), 7)),
		Peers: fakePeers{
			net:     f.net,
			address: host.PeerAddress,
		},
	}
	if f.configure != nil {
		f.configure(&config)
	}
	agent := New(config)
	f.net.mutex.Lock()
	f.net.agents[host.PeerAddress] = agent
	f.net.mutex.Unlock()
	f.agents[index] = agent
}

// crash stops an agent without an announcement. Its nil view marks it as crashed.
func (f *fleet) crash(index int) {
	f.net.mutex.Lock()
	delete(f.net.agents, hostAt(index).PeerAddress)
	f.net.mutex.Unlock()
	if err := f.agents[index].Stop(context.Background()); err != nil {
		panic(err)
	}
	f.agents[index].view.Store(nil)
}

// restart starts a new process on a host.
func (f *fleet) restart(index int) {
	f.addAgent(index)
	if err := f.agents[index].Start(context.Background()); err != nil {
		panic(err)
	}
}

// partition separates some agents from the others; without arguments it heals the partition.
func (f *fleet) partition(indexes ...int) {
	f.net.mutex.Lock()
	defer f.net.mutex.Unlock()
	clear(f.net.partitioned)
	for _, index := range indexes {
		f.net.partitioned[hostAt(index).PeerAddress] = true
	}
}

func (f *fleet) start() {
	for _, agent := range f.agents {
		if err := agent.Start(context.Background()); err != nil {
			panic(err)
		}
	}
}

func (f *fleet) stop() {
	for _, agent := range f.running() {
		if err := agent.Stop(context.Background()); err != nil {
			panic(err)
		}
	}
}

// running returns the agents that have not crashed.
func (f *fleet) running() []*Agent {
	var running []*Agent
	for _, agent := range f.agents {
		if agent.view.Load() != nil {
			running = append(running, agent)
		}
	}
	return running
}

// versions counts the agents by the version that they serve; -1 stands for none.
func (f *fleet) versions() map[int]int {
	counts := map[int]int{}
	for _, agent := range f.running() {
		snapshot, refusal := agent.Snapshot()
		if refusal != "" {
			counts[-1]++
			continue
		}
		counts[int(snapshot.Version)]++
	}
	return counts
}
