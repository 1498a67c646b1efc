package spread

import (
	"time"

	"verbenaway/core"
)

// readerRole is the role that decides whether and how a daemon reads the store.
type readerRole int

const (
	roleNone readerRole = iota
	// roleReader always watches the store: ranks 0 and 1, and all daemons with WayDirectWatch.
	roleReader
	// roleStandIn watches the store at ranks 2 to 5 while the region has no contact with it.
	roleStandIn
	// roleIsolated polls the store, since the daemon knows no live peer.
	roleIsolated
)

// String returns the name of the role in the admin interface.
func (r readerRole) String() string {
	return [...]string{"member", "reader", "standInReader", "isolatedReader"}[r]
}

const (
	// minStandInTime is the minimum time that a stand-in reads before it may stop.
	minStandInTime = 3 * time.Second
	// readerAskLead is how early a daemon asks the readers for their reader age before it
	// would start to read, so that it does not start only for lack of recent digests.
	readerAskLead = 600 * time.Millisecond
	// assumedFleetSize is used until the host list has been read.
	assumedFleetSize = 5000
)

// reader is the state of reading the store.
type reader struct {
	role readerRole
	// roleSince is the time at which role began.
	roleSince time.Time
	// rankLostAt is the time at which the rank was lost while the role is kept.
	rankLostAt time.Time
	// epoch distinguishes results of the current role from those of an earlier one.
	epoch uint64

	// full is the configuration of all regions as folded from the store, nil if not read.
	full *core.Snapshot
	// newest is the value of the newest folded note, nil if unknown.
	newest []byte
	// caughtUp is true once a read has reached the end of the store's notes.
	caughtUp bool
	// reading is true while a read is in flight.
	reading  bool
	nextRead time.Time
	failures int
	// fault is StoreStale or StoreFork while the store's history is refused.
	fault      core.ErrorKind
	staleSince time.Time
	// spacedUntil is the time at which the next watch would be due if all watches after new
	// notes were watchSpacing apart.
	spacedUntil time.Time

	// ownContact is the time of the last successful read of this daemon, regionContact the
	// last known one of any reader of the region.
	ownContact    time.Time
	regionContact time.Time
	nextAsk       time.Time
	askCount      int
}

// roleTick updates the reader role and starts reads that are due.
func (m *Machine) roleTick() {
	m.switchRole(m.wantedRole())
	m.askReaders()
	m.readTick()
}

func (m *Machine) wantedRole() readerRole {
	r := &m.reader
	rank := m.ranking.rank
	switch {
	case !m.mayRead():
		return roleNone
	case m.config.Way == WayDirectWatch:
		return roleReader
	case rank < 0:
		return roleNone
	case m.isIsolated():
		return roleIsolated
	case rank < permanentReaders:
		return roleReader
	case rank < maxReaders && r.role == roleStandIn:
		return roleStandIn
	case rank < maxReaders && m.readerAge() > time.Duration(rank)*m.timings.ReaderAgeStep:
		return roleStandIn
	}
	return roleNone
}

// mayRead reports whether this daemon may read the store. A starting daemon waits until it
// knows its rank, or until it is known that no peer responds.
func (m *Machine) mayRead() bool {
	s := &m.start
	switch {
	case s.ready, m.isSoleDaemon():
		return true
	case s.peerAnswered:
		return m.now.Sub(s.firstAnswerAt) >= membershipSettleTime
	}
	waited := m.now.Sub(s.startedAt) >= m.timings.FloorWait
	return waited && (m.hosts.list.Revision > 0 || m.hosts.failures >= 2)
}

// isIsolated reports whether no peer is alive although others are listed or may exist.
func (m *Machine) isIsolated() bool {
	if len(m.ranking.byName) > 1 {
		return false
	}
	return m.hosts.list.Revision == 0 || m.listHasOthers()
}

// readerAge is the time since the last known contact of any reader of the region with the
// store, or since the start of this daemon if that was later.
func (m *Machine) readerAge() time.Duration {
	since := m.start.startedAt
	if m.reader.regionContact.After(since) {
		since = m.reader.regionContact
	}
	return m.now.Sub(since)
}

// switchRole changes to the wanted role. A permanent reader that lost its rank keeps reading
// for RoleLossDelay, but a leaving one stops at once.
func (m *Machine) switchRole(want readerRole) {
	r := &m.reader
	if want == r.role {
		r.rankLostAt = time.Time{}
		return
	}
	if r.role == roleReader && want == roleNone && m.ranking.rank >= 0 {
		if r.rankLostAt.IsZero() {
			r.rankLostAt = m.now
		}
		if m.now.Sub(r.rankLostAt) < m.timings.RoleLossDelay {
			return
		}
	}
	m.setRole(want)
}

func (m *Machine) setRole(want readerRole) {
	r := &m.reader
	if r.role != roleNone {
		m.emit(Report{
			Kind:    core.EventRoleLeft,
			Subject: r.role.String(),
		})
	}
	if want != roleNone {
		m.emit(Report{
			Kind:    core.EventRoleTaken,
			Subject: want.String(),
		})
	}
	r.role = want
	r.roleSince = m.now
	r.rankLostAt = time.Time{}
	switch {
	case want == roleNone:
		r.epoch++
		r.full, r.newest = nil, nil
		r.caughtUp, r.reading = false, false
		r.fault = ""
		r.staleSince = time.Time{}
		r.failures = 0
	case want == roleIsolated:
		r.nextRead = m.now.Add(m.jitter(m.pollPeriod()))
	case r.failures == 0:
		r.nextRead = m.now
	}
}

// pollPeriod is the time between the polls of an isolated daemon. It grows with the fleet, so
// that all polls together stay within maxPollsPerSecond.
func (m *Machine) pollPeriod() time.Duration {
	fleet := len(m.hosts.list.Hosts)
	if m.hosts.list.Revision == 0 {
		fleet = assumedFleetSize
	}
	period := time.Duration(fleet) * time.Second / maxPollsPerSecond
	if !m.start.ready {
		return period
	}
	return max(m.timings.IsolatedInterval, period)
}

// recordContact uses the reader age of a digest from the local region. A stand-in stops as
// soon as a better rank reports a contact that is newer than the stand-in's own, since that
// shows that another reader reaches the store.
func (m *Machine) recordContact(digest core.Digest, at time.Time) {
	r := &m.reader
	if digest.Region != m.config.Self.Region || digest.ReaderAge < 0 {
		return
	}
	contact := at.Add(-digest.ReaderAge)
	if contact.After(r.regionContact) {
		r.regionContact = contact
	}
	if r.role != roleStandIn || m.now.Sub(r.roleSince) < minStandInTime {
		return
	}
	better := m.ranking.readerRank(digest.Sender) < m.ranking.rank
	if better && contact.After(r.ownContact.Add(50*time.Millisecond)) {
		m.setRole(roleNone)
	}
}

// askReaders requests digests where waiting for the regular exchanges would be too slow:
// potential stand-ins ask the first two ranks, and readers whose store fails ask readers of
// other regions.
func (m *Machine) askReaders() {
	r := &m.reader
	if m.now.Before(r.nextAsk) || m.config.Way == WayDirectWatch || !m.mayRead() {
		return
	}
	rank := m.ranking.rank
	threshold := time.Duration(rank)*m.timings.ReaderAgeStep - readerAskLead
	mayStandIn := rank >= permanentReaders && rank < maxReaders
	if mayStandIn && (r.role == roleStandIn || m.readerAge() > threshold) {
		r.askCount++
		// The jitter desynchronizes the request and the watches. In step with them, a
		// stand-in would always find its own contact to be the newest.
		r.nextAsk = m.now.Add(m.timings.ReaderAgeStep/2 + m.jitter(m.timings.ReaderAgeStep/2))
		m.exchange(*m.ranking.readerCandidates[m.config.Self.Region][r.askCount%permanentReaders], PurposeReaderAge)
	}
	if r.role != roleNone && (r.failures > 0 || r.fault != "") {
		r.nextAsk = m.now.Add(m.timings.ReaderAgeStep)
		m.askOtherRegion()
	}
}

func (m *Machine) askOtherRegion() {
	regions := sortedKeys(m.ranking.readerCandidates)
	m.random.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	for _, region := range regions {
		if region == m.config.Self.Region {
			continue
		}
		candidates := m.ranking.readerCandidates[region]
		m.exchange(*candidates[m.random.IntN(min(permanentReaders, len(candidates)))], PurposeReaderAge)
		return
	}
}
