package spread

import (
	"time"

	"verbenaway/core"
)

// readerMode is how a daemon reads the store.
type readerMode int

const (
	modeNone readerMode = iota
	// modeWatch applies to ranks 0 and 1, and to all daemons with WayDirectWatch.
	modeWatch
	// modeStandIn applies to higher ranks while the region has no contact with the store.
	modeStandIn
	// modePoll applies to a daemon that knows no live peer.
	modePoll
)

// String returns the name of the role on the admin page.
func (r readerMode) String() string {
	return [...]string{"member", "reader", "standInReader", "isolatedReader"}[r]
}

const (
	// minStandInTime is the minimum time that a stand-in reads before it may stop.
	minStandInTime = 3 * time.Second
	// readerAskLead is how long before its threshold a rank asks the readers for their age,
	// so that it does not start to read only for lack of recent digests.
	readerAskLead = 600 * time.Millisecond
	// assumedFleetSize is used until the host list has been read.
	assumedFleetSize = 5000
)

// reader is the state of reading the store.
type reader struct {
	mode readerMode
	// modeSince is the time at which mode began.
	modeSince time.Time
	// rankLostAt is the time at which the rank was lost while the mode is kept.
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
	fault      core.Kind
	staleSince time.Time
	// spacedUntil is the time by which the recent watches would have been due if they were
	// watchSpacing apart.
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
	m.switchMode(m.wantedMode())
	m.askReaders()
	m.readTick()
}

func (m *Machine) wantedMode() readerMode {
	r := &m.reader
	rank := m.ranking.rank
	switch {
	case !m.mayRead():
		return modeNone
	case m.config.Way == WayDirectWatch:
		return modeWatch
	case rank < 0:
		return modeNone
	case m.isIsolated():
		return modePoll
	case rank < permanentReaders:
		return modeWatch
	case rank < maxReaders && r.mode == modeStandIn:
		return modeStandIn
	case rank < maxReaders && m.regionAge() > time.Duration(rank)*m.timings.ReaderAgeStep:
		return modeStandIn
	}
	return modeNone
}

// mayRead delays the reads of a starting daemon until it knows its rank, or until it is known
// that no peer responds.
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

// regionAge is the time since the last known contact of any reader of the region with the
// store.
func (m *Machine) regionAge() time.Duration {
	since := m.start.startedAt
	if m.reader.regionContact.After(since) {
		since = m.reader.regionContact
	}
	return m.now.Sub(since)
}

func (m *Machine) switchMode(want readerMode) {
	r := &m.reader
	if want == r.mode {
		r.rankLostAt = time.Time{}
		return
	}
	if r.mode == modeWatch && want == modeNone && m.ranking.rank >= 0 {
		if r.rankLostAt.IsZero() {
			r.rankLostAt = m.now
		}
		if m.now.Sub(r.rankLostAt) < m.timings.RoleLossDelay {
			return
		}
	}
	m.setMode(want)
}

func (m *Machine) setMode(want readerMode) {
	r := &m.reader
	if r.mode != modeNone {
		m.emit(Report{
			Kind:    core.EventRoleLeft,
			Subject: r.mode.String(),
		})
	}
	if want != modeNone {
		m.emit(Report{
			Kind:    core.EventRoleTaken,
			Subject: want.String(),
		})
	}
	r.mode = want
	r.modeSince = m.now
	r.rankLostAt = time.Time{}
	switch {
	case want == modeNone:
		r.epoch++
		r.full, r.newest = nil, nil
		r.caughtUp, r.reading = false, false
		r.fault = ""
		r.staleSince = time.Time{}
		r.failures = 0
	case want == modePoll:
		r.nextRead = m.now.Add(m.jitter(m.pollPeriod()))
	case r.failures == 0:
		r.nextRead = m.now
	}
}

// pollPeriod is the time over which the polls of a fleet of isolated daemons are distributed.
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
	if r.mode != modeStandIn || m.now.Sub(r.modeSince) < minStandInTime {
		return
	}
	better := m.ranking.readerRank(digest.Sender) < m.ranking.rank
	if better && contact.After(r.ownContact.Add(50*time.Millisecond)) {
		m.setMode(modeNone)
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
	if mayStandIn && (r.mode == modeStandIn || m.regionAge() > threshold) {
		r.askCount++
		// The jitter desynchronizes the request and the watches. In step with them, a
		// stand-in would always find its own contact to be the newest.
		r.nextAsk = m.now.Add(m.timings.ReaderAgeStep/2 + m.jitter(m.timings.ReaderAgeStep/2))
		m.exchange(*m.ranking.readers[m.config.Self.Region][r.askCount%permanentReaders], PurposeReaderAge)
	}
	if r.mode != modeNone && (r.failures > 0 || r.fault != "") {
		r.nextAsk = m.now.Add(m.timings.ReaderAgeStep)
		m.askOtherRegion()
	}
}

func (m *Machine) askOtherRegion() {
	regions := sortedKeys(m.ranking.readers)
	m.random.Shuffle(len(regions), func(i, j int) { regions[i], regions[j] = regions[j], regions[i] })
	for _, region := range regions {
		if region == m.config.Self.Region {
			continue
		}
		readers := m.ranking.readers[region]
		m.exchange(*readers[m.random.IntN(min(permanentReaders, len(readers)))], PurposeReaderAge)
		return
	}
}
