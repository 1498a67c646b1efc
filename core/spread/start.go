package spread

import (
	"fmt"
	"time"

	"verbenaway/core"
)

const (
	// roundInterval is the time between attempts to reach peers at start or after a pause.
	roundInterval = 500 * time.Millisecond
	// membershipSettleTime is the time after the first answer until the view of the members
	// is complete. Without it each starting daemon would rank itself first and read the store.
	membershipSettleTime = time.Second
)

// start is the state of a starting daemon, which learns the version floor from its peers.
type start struct {
	startedAt time.Time
	ready     bool
	// floor is the highest version in any digest; the daemon serves none below it.
	floor         core.Version
	peerAnswered  bool
	firstAnswerAt time.Time
	nextRoundAt   time.Time
	// firstReadAt is the time of the first store read if no peer has responded by then.
	firstReadAt time.Time
	// readyPeers holds the availability zones of the peers that are ready themselves.
	readyPeers map[core.HostName]core.AvailabilityZone
}

func (m *Machine) initStart() {
	m.start.startedAt = m.now
	m.start.firstReadAt = m.now.Add(m.jitter(m.timings.StartDelay))
	m.start.readyPeers = map[core.HostName]core.AvailabilityZone{}
}

// startTick asks seeds and known members for their digests.
func (m *Machine) startTick() {
	s := &m.start
	if s.ready || m.now.Before(s.nextRoundAt) {
		return
	}
	s.nextRoundAt = m.now.Add(roundInterval)
	if m.now.Sub(s.startedAt) > 2*m.timings.FloorWait {
		s.nextRoundAt = m.now.Add(roundInterval + m.jitter(2*roundInterval))
	}
	if !s.peerAnswered {
		for _, seed := range m.config.Seeds {
			if seed != m.config.Self.PeerAddress {
				m.exchange(core.Host{PeerAddress: seed}, PurposeStart)
			}
		}
	}
	targets := m.pickPeers()
	if len(targets) < floorPeers {
		targets = m.addMissingHosts(targets)
	}
	for _, host := range targets {
		m.exchange(host, PurposeStart)
	}
}

// addMissingHosts adds random hosts of the host list that are not alive in this view.
func (m *Machine) addMissingHosts(targets []core.Host) []core.Host {
	for range 4 * floorPeers {
		host, ok := m.randomMissingHost()
		if !ok || len(targets) >= floorPeers {
			break
		}
		if host.Name != m.config.Self.Name && !containsHost(targets, host.Name) {
			targets = append(targets, host)
		}
	}
	return targets
}

func (m *Machine) handleStartAnswer(digest core.Digest) {
	s := &m.start
	if s.ready || digest.Sender == "" || digest.Sender == m.config.Self.Name {
		return
	}
	if !s.peerAnswered {
		s.peerAnswered = true
		s.firstAnswerAt = m.now
		s.nextRoundAt = m.now
	}
	if digest.Ready {
		s.readyPeers[digest.Sender] = digest.AvailabilityZone
	}
}

// checkReady completes the start once the floor is known and reached.
func (m *Machine) checkReady() {
	s := &m.start
	if s.ready || m.served.Version < s.floor || !m.floorKnown() {
		return
	}
	s.ready = true
	m.emit(Report{
		Kind:    core.EventReady,
		Version: m.served.Version,
		Detail:  fmt.Sprintf("floor %d, %d peers, after %s", s.floor, len(s.readyPeers), m.now.Sub(s.startedAt)),
	})
}

// floorKnown reports whether the newest version was learned from enough ready peers or, if no
// peer is ready, from the store.
func (m *Machine) floorKnown() bool {
	waited := m.now.Sub(m.start.startedAt) >= m.timings.FloorWait
	if len(m.start.readyPeers) == 0 {
		return m.reader.caughtUp && (waited || m.isSoleDaemon())
	}
	zones := map[core.AvailabilityZone]bool{}
	for _, zone := range m.start.readyPeers {
		zones[zone] = true
	}
	return waited || len(zones) >= m.requiredZones()
}

// requiredZones is the number of availability zones in each of which a peer must be ready.
func (m *Machine) requiredZones() int {
	zones := 0
	for _, hosts := range m.ranking.zones {
		if len(hosts) > 1 || hosts[0].Name != m.config.Self.Name {
			zones++
		}
	}
	return max(1, min(floorPeers, zones))
}

// isSoleDaemon reports whether there is no other daemon: no seed and no other listed host.
func (m *Machine) isSoleDaemon() bool {
	for _, seed := range m.config.Seeds {
		if seed != m.config.Self.PeerAddress {
			return false
		}
	}
	return m.hosts.list.Revision > 0 && !m.listHasOthers()
}

// viewCheck is the state after a pause of the process, in which the view is suspect.
type viewCheck struct {
	active    bool
	resumedAt time.Time
	// confirmed is true once peers or the store have confirmed the view. The check ends when
	// the version in force also reaches floor, the highest version that they provided.
	confirmed   bool
	floor       core.Version
	nextRoundAt time.Time
	// matchingPeers holds peers that are not ready themselves but hold the same version.
	matchingPeers map[core.HostName]bool
}

// handleResumed makes the view suspect until a peer or the store confirms the version.
func (m *Machine) handleResumed() {
	m.viewCheck = viewCheck{
		active:        true,
		resumedAt:     m.now,
		matchingPeers: map[core.HostName]bool{},
	}
	m.emit(Report{
		Kind:    core.EventViewSuspect,
		Version: m.served.Version,
	})
	m.viewCheckTick()
}

func (m *Machine) viewCheckTick() {
	v := &m.viewCheck
	if !v.active || m.now.Before(v.nextRoundAt) {
		return
	}
	v.nextRoundAt = m.now.Add(roundInterval)
	for _, host := range m.pickPeers() {
		m.exchange(host, PurposeConfirm)
	}
}

// handleConfirmAnswer uses only answers to exchanges sent after the pause, since an older
// one may have waited in a socket during the pause. If a whole group of daemons was paused,
// none of them is ready; two peers with the same version, or one if it is the only known
// peer, then confirm it after FloorWait.
func (m *Machine) handleConfirmAnswer(digest core.Digest, sent time.Time) {
	v := &m.viewCheck
	if !v.active || sent.Before(v.resumedAt) || m.now.Before(m.pull.avoidedUntil[digest.Sender]) {
		return
	}
	if digest.Ready {
		v.confirmed = true
		v.floor = max(v.floor, digest.Version)
		return
	}
	if digest.Version == m.served.Version && digest.Hash == m.served.Hash {
		v.matchingPeers[digest.Sender] = true
	}
	if m.now.Sub(v.resumedAt) >= m.timings.FloorWait && len(v.matchingPeers) >= min(2, len(m.ranking.byName)-1) {
		v.confirmed = true
	}
}

// retractConfirmation discards the confirmation by peers after one of them was found to hold
// another history. Its version can never be reached and must not block this daemon.
func (m *Machine) retractConfirmation() {
	m.viewCheck.confirmed = false
	m.viewCheck.floor = 0
}

// confirmByStore confirms the version by a complete read of the store that began after the
// pause. A store that is behind the version in force does not confirm it.
func (m *Machine) confirmByStore(started time.Time) {
	if m.viewCheck.active && !started.Before(m.viewCheck.resumedAt) && m.reader.full.Version >= m.served.Version {
		m.viewCheck.confirmed = true
		m.viewCheck.floor = max(m.viewCheck.floor, m.reader.full.Version)
	}
}

func (m *Machine) checkConfirmed() {
	v := &m.viewCheck
	if !v.active || !v.confirmed || m.served.Version < v.floor {
		return
	}
	v.active = false
	m.emit(Report{
		Kind:    core.EventViewConfirmed,
		Version: m.served.Version,
		Detail:  m.now.Sub(v.resumedAt).String(),
	})
}
