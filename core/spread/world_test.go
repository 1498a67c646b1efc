package spread_test

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"pgregory.net/rapid"

	"verbenaway/core"
	"verbenaway/core/snap"
	"verbenaway/core/spread"
)

// daemon is a simulated daemon with the state that the invariants are checked against.
type daemon struct {
	index       int
	machine     *spread.Machine
	incarnation int
	side        int
	// pausedAt is zero unless the process is paused.
	pausedAt time.Time
	view     map[int]bool

	highestVersion core.Version
	hostsRevision  uint64
	hashes         map[core.Version]core.Hash
	floor          core.Version
	wasReady       bool
}

// message is a pending message: a request until reply is set, then its answer.
type message struct {
	from, to, incarnation int
	deadline              time.Time
	serve                 func(receiver *daemon) spread.Input
	fail                  spread.Input
	reply                 spread.Input
	lost                  bool
	corrupt               bool
}

// read is a pending read of the store.
type read struct {
	from, incarnation int
	issued            time.Time
	action            spread.Action
}

// simulation holds the daemons, the pending messages and the store. It checks the invariants
// after each input.
type simulation struct {
	t        *rapid.T
	now      time.Time
	random   *rand.Rand
	daemons  []*daemon
	messages []*message
	reads    []*read
	official *chain
	// visible is what the store returns; it differs from official after a rollback or fork.
	visible    *chain
	checkpoint core.Version
	// changedAt is the time of the last change of visible, which aborts pending reads.
	changedAt time.Time
	// forkCount makes the notes of every fork different.
	forkCount  int
	down, slow bool
	hosts      core.HostList
	// oracle holds the full configurations of all histories by hash.
	oracle map[core.Hash]*core.Snapshot
	// operations counts the store operations by second and region.
	operations map[int64]map[core.Region]float64
}

// longHistory has more notes than a pull answers with slices.
var longHistory = sync.OnceValue(func() *chain { return longChain(70) })

func newSimulation(t *rapid.T, size, notes int, seed uint64) *simulation {
	s := &simulation{
		t:          t,
		now:        startTime,
		random:     rand.New(rand.NewPCG(seed, 1)),
		official:   longHistory().branch(core.Version(notes)),
		oracle:     map[core.Hash]*core.Snapshot{},
		operations: map[int64]map[core.Region]float64{},
	}
	s.visible = s.official
	s.addToOracle(s.official)
	s.hosts.Revision = 1
	for i := range size {
		s.hosts.Hosts = append(s.hosts.Hosts, hostAt(i))
		s.daemons = append(s.daemons, &daemon{index: i})
		s.restart(s.daemons[i])
	}
	return s
}

func (s *simulation) addToOracle(c *chain) {
	for _, full := range c.fulls {
		s.oracle[full.Hash] = full
	}
}

// restart begins a new incarnation with empty memory.
func (s *simulation) restart(d *daemon) {
	*d = daemon{
		index:       d.index,
		incarnation: d.incarnation + 1,
		side:        d.side,
		view:        map[int]bool{},
		hashes:      map[core.Version]core.Hash{},
		machine: spread.New(spread.Config{
			Self:   hostAt(d.index),
			Seeds:  []string{hostAt(0).PeerAddress, hostAt(1).PeerAddress},
			Random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
		}),
	}
}

func (s *simulation) crash(d *daemon) {
	d.machine = nil
	d.incarnation++
	d.pausedAt = time.Time{}
}

// handle gives one input to a daemon, queues its actions and checks the invariants.
func (s *simulation) handle(d *daemon, input spread.Input) {
	for _, action := range d.machine.Handle(s.now, input) {
		s.perform(d, action)
	}
	s.checkInvariants(d)
}

func (s *simulation) checkInvariants(d *daemon) {
	served := d.machine.Served()
	if served.Version < d.highestVersion {
		s.t.Fatalf("daemon %d went back from version %d to %d", d.index, d.highestVersion, served.Version)
	}
	d.highestVersion = served.Version
	if known, ok := d.hashes[served.Version]; ok && known != served.Hash {
		s.t.Fatalf("daemon %d has two hashes for version %d", d.index, served.Version)
	}
	if _, ok := d.hashes[served.Version]; !ok {
		d.hashes[served.Version] = served.Hash
		s.checkContents(d, served)
	}
	if revision := d.machine.Digest(s.now).HostsRevision; revision < d.hostsRevision {
		s.t.Fatalf("daemon %d went back to host list revision %d", d.index, revision)
	} else {
		d.hostsRevision = revision
	}
	if ready := d.machine.Refusal() != core.Starting; ready && !d.wasReady {
		d.wasReady = true
		if served.Version < d.floor {
			s.t.Fatalf("daemon %d is ready at version %d, but a live peer had reported version %d", d.index, served.Version, d.floor)
		}
	}
}

// checkContents compares the version in force with the fold of its history, restricted to the
// region.
func (s *simulation) checkContents(d *daemon, served *core.Snapshot) {
	full, ok := s.oracle[served.Hash]
	if !ok {
		s.t.Fatalf("daemon %d serves version %d, which is in no known history", d.index, served.Version)
	}
	want := snap.ForRegion(full, hostAt(d.index).Region)
	if !reflect.DeepEqual(want.Routes, served.Routes) || !reflect.DeepEqual(want.Services, served.Services) ||
		!reflect.DeepEqual(want.Regions, served.Regions) || !reflect.DeepEqual(want.Tenants, served.Tenants) {
		s.t.Fatalf("daemon %d: version %d differs from the fold of the history", d.index, served.Version)
	}
	for name, route := range served.Routes {
		if _, ok := served.Services[route.Service]; !ok {
			s.t.Fatalf("daemon %d: route %s without its service", d.index, name)
		}
	}
}

// perform queues an action as a pending message or read.
func (s *simulation) perform(d *daemon, action spread.Action) {
	digest := d.machine.Digest(s.now)
	switch act := action.(type) {
	case spread.SendExchange:
		s.send(d, act.To, time.Second, spread.ExchangeResult{Request: act, Err: errLost}, func(to *daemon) spread.Input {
			s.exchangeViews(d, to)
			s.handle(to, spread.DigestReceived{Digest: digest})
			return spread.ExchangeResult{Request: act, Digest: to.machine.Digest(s.now)}
		})
	case spread.SendPush:
		s.send(d, act.To, 400*time.Millisecond, spread.PushResult{Request: act, Err: errLost}, func(to *daemon) spread.Input {
			message := core.PushMessage{Digest: digest, Slices: act.Slices, Subtree: act.Subtree}
			accepted := to.machine.AcceptsPushes()
			s.handle(to, spread.PushReceived{Message: message})
			if !accepted {
				return spread.PushResult{Request: act, Err: errLost}
			}
			return spread.PushResult{Request: act, Digest: to.machine.Digest(s.now)}
		})
	case spread.SendPull:
		s.send(d, act.To, 5*time.Second, spread.PullResult{Request: act, Err: errLost}, func(to *daemon) spread.Input {
			contents := to.machine.AnswerPull(core.PullRequest{Digest: digest, After: act.After})
			return spread.PullResult{Request: act, Digest: to.machine.Digest(s.now), Slices: contents.Slices, Snapshot: contents.Snapshot}
		})
	case spread.SendHosts:
		s.send(d, act.To, time.Second, spread.HostsResult{Request: act, Err: errLost}, func(to *daemon) spread.Input {
			return spread.HostsResult{Request: act, Answer: to.machine.AnswerHosts(act.AfterRevision)}
		})
	case spread.ReadCheckpoint, spread.WatchNotes, spread.WatchHosts:
		s.reads = append(s.reads, &read{from: d.index, incarnation: d.incarnation, issued: s.now, action: action})
	}
}

var errLost = core.Errorf(core.PeerUnreachable, "message lost")

func (s *simulation) send(from *daemon, to core.Host, timeout time.Duration, fail spread.Input, serve func(*daemon) spread.Input) {
	index := slices.IndexFunc(s.hosts.Hosts, func(h core.Host) bool { return h.PeerAddress == to.PeerAddress })
	s.messages = append(s.messages, &message{
		from:        from.index,
		incarnation: from.incarnation,
		to:          index,
		deadline:    s.now.Add(timeout),
		serve:       serve,
		fail:        fail,
	})
}

// exchangeViews gives the sender and receiver of an exchange a view of each other, as
// membership events do.
func (s *simulation) exchangeViews(a, b *daemon) {
	if a.machine == nil || len(a.view) > 0 && a.view[b.index] {
		return
	}
	b.view[a.index] = true
	for index := range b.view {
		a.view[index] = index != a.index
	}
	a.view[b.index] = true
	s.updateMembers(b)
}

func (s *simulation) updateMembers(d *daemon) {
	var members []core.Member
	for index := range s.daemons {
		if d.view[index] {
			members = append(members, core.Member{Host: hostAt(index)})
		}
	}
	s.handle(d, spread.MembersChanged{Members: members})
}

// refreshView gives a daemon the view of all running daemons on its side of the partition.
func (s *simulation) refreshView(d *daemon) {
	d.view = map[int]bool{}
	for _, other := range s.daemons {
		if other.machine != nil && other.pausedAt.IsZero() && other.side == d.side {
			d.view[other.index] = other.index != d.index
		}
	}
	s.updateMembers(d)
}

// deliver processes one message; it returns false if the message has to wait or was lost.
func (s *simulation) deliver(m *message, duplicate bool) bool {
	from, to := s.daemons[m.from], s.daemons[m.to]
	if from.incarnation != m.incarnation {
		return s.remove(m)
	}
	if m.lost {
		return false
	}
	if m.reply != nil {
		if !from.pausedAt.IsZero() {
			return false
		}
		s.remove(m)
		s.deliverAnswer(from, m.reply)
		return true
	}
	switch {
	case to.machine == nil:
		m.reply = m.fail
	case to.side != from.side:
		m.lost = true
	case !to.pausedAt.IsZero():
		return false
	case duplicate:
		m.serve(to)
	default:
		m.reply = corruptAnswer(m.serve(to), m.corrupt)
	}
	return true
}

func (s *simulation) deliverAnswer(d *daemon, input spread.Input) {
	if result, ok := input.(spread.ExchangeResult); ok && result.Err == nil {
		if !d.wasReady {
			d.floor = max(d.floor, result.Digest.Version)
		}
		s.updateMembers(d)
	}
	s.handle(d, input)
}

// corruptAnswer changes one byte in the answer to a pull if corrupt is set.
func corruptAnswer(input spread.Input, corrupt bool) spread.Input {
	result, ok := input.(spread.PullResult)
	if !corrupt || !ok || len(result.Slices) == 0 {
		return input
	}
	result.Slices = slices.Clone(result.Slices)
	result.Slices[0].Hash[3] ^= 1
	return result
}

func (s *simulation) remove(m *message) bool {
	s.messages = slices.DeleteFunc(s.messages, func(other *message) bool { return other == m })
	return true
}

// advance lets time pass in ticks, times out messages and serves reads of the store.
func (s *simulation) advance(by time.Duration) {
	for end := s.now.Add(by); s.now.Before(end); {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, m := range slices.Clone(s.messages) {
			from := s.daemons[m.from]
			if !s.now.Before(m.deadline) && (from.incarnation != m.incarnation || from.pausedAt.IsZero()) {
				s.remove(m)
				if from.incarnation == m.incarnation {
					s.handle(from, m.fail)
				}
			}
		}
		s.serveReads()
		for _, d := range s.daemons {
			if d.machine != nil && d.pausedAt.IsZero() {
				s.handle(d, spread.Tick{})
			}
		}
	}
}

// resume ends a pause; the driver reports one of more than 2 s before anything else.
func (s *simulation) resume(d *daemon) {
	paused := s.now.Sub(d.pausedAt)
	d.pausedAt = time.Time{}
	if paused > 2*time.Second {
		s.handle(d, spread.Resumed{})
	}
}

func (s *simulation) serveReads() {
	pending := s.reads
	s.reads = nil
	for _, r := range pending {
		d := s.daemons[r.from]
		if d.incarnation != r.incarnation {
			continue
		}
		if !d.pausedAt.IsZero() || !s.serveRead(d, r) {
			s.reads = append(s.reads, r)
		}
	}
}

// serveRead answers a read unless it is parked or the store is slow.
func (s *simulation) serveRead(d *daemon, r *read) bool {
	waited := s.now.Sub(r.issued)
	err := error(nil)
	switch {
	case s.down, !r.issued.After(s.changedAt):
		err = core.Errorf(core.StoreDown, "store is down")
	case s.slow && waited < 3*time.Second:
		return false
	case s.slow:
		err = core.Errorf(core.StoreDown, "no response")
	}
	switch act := r.action.(type) {
	case spread.ReadCheckpoint:
		s.countOperations(d, r.issued)
		result := spread.CheckpointResult{Epoch: act.Epoch, Err: err}
		// A store that was rolled back has no checkpoint of the lost versions.
		at := s.checkpoint
		if at > 0 && at <= s.visible.head() && s.visible.fulls[at].Hash == s.official.fulls[at].Hash {
			result.Value, result.Found = s.official.checkpoint(at), true
		}
		s.handle(d, result)
	case spread.WatchNotes:
		values := s.visible.values(min(act.After, s.visible.head()))
		if err == nil && waited < act.Delay || err == nil && len(values) == 0 && waited < act.Delay+act.Wait {
			return false
		}
		result := spread.NotesResult{Request: act, Values: values, Started: r.issued.Add(act.Delay), Err: err}
		if act.Verify && act.After <= s.visible.head() {
			result.Newest, result.NewestFound = s.visible.notes[act.After-1], true
		}
		s.countOperations(d, result.Started)
		if act.Verify {
			s.countOperations(d, s.now)
		}
		s.handle(d, result)
	case spread.WatchHosts:
		changed := act.AfterRevision != s.hosts.Revision
		if err == nil && !changed && waited < act.Wait {
			return false
		}
		s.countOperations(d, r.issued)
		s.handle(d, spread.StoreHostsResult{Request: act, List: s.hosts, Changed: changed, Err: err})
	}
	return true
}

// countOperations counts a read as one operation, and a parked watch as one for each second.
func (s *simulation) countOperations(d *daemon, issued time.Time) {
	for second := issued.Unix(); second <= max(issued.Unix(), s.now.Add(-time.Second).Unix()); second++ {
		if s.operations[second] == nil {
			s.operations[second] = map[core.Region]float64{}
		}
		s.operations[second][hostAt(d.index).Region]++
	}
}

// publish adds a note to the store, unless the store currently shows another history.
func (s *simulation) publish(kind int) {
	if s.visible != s.official {
		return
	}
	next := s.official.head() + 1
	switch kind {
	case 0:
		s.official.add("this is no note")
	case 1:
		s.official.add(baseText)
	default:
		s.official.add(routeText(next, []string{"", "north", "south"}[kind%3], "added"))
	}
	s.addToOracle(s.official)
}
