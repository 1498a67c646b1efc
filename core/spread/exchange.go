package spread

import (
	"time"

	"verbenaway/core"
)

const (
	// Every otherRegionEvery-th digest exchange goes to another region.
	otherRegionEvery = 10
	// Every missingHostEvery-th digest exchange goes to a listed host that is not alive in
	// this view, so that the two sides of a partition find each other again.
	missingHostEvery = 4
	// invalidPeerAvoidTime is how long a daemon that sent an invalid slice is not pulled from.
	invalidPeerAvoidTime = 5 * time.Second
	// failedPeerAvoidTime is how long a daemon that could not serve a pull is not pulled from.
	failedPeerAvoidTime = 500 * time.Millisecond
)

// antiEntropy is the state of the periodic digest exchanges, each with a random member. Fixed
// partners would save a connection every 5 s, but two daemons that only exchange with each
// other could both stay behind.
type antiEntropy struct {
	exchanges int
	nextAt    time.Time
}

// exchangeTick exchanges digests with one member about every ExchangeInterval.
func (m *Machine) exchangeTick() {
	a := &m.antiEntropy
	if !m.start.ready || m.now.Before(a.nextAt) {
		return
	}
	if a.nextAt.IsZero() {
		a.nextAt = m.now.Add(m.jitter(m.timings.ExchangeInterval))
		return
	}
	a.nextAt = m.now.Add(m.timings.ExchangeInterval*9/10 + m.jitter(m.timings.ExchangeInterval/5))
	a.exchanges++
	if host, ok := m.nextExchangePeer(); ok {
		m.exchange(host, PurposeAntiEntropy)
	}
}

// nextExchangePeer returns the host of the next digest exchange.
func (m *Machine) nextExchangePeer() (core.Host, bool) {
	a := &m.antiEntropy
	if a.exchanges%otherRegionEvery == 0 && len(m.ranking.otherRegionPeers) > 0 {
		return *m.ranking.otherRegionPeers[m.random.IntN(len(m.ranking.otherRegionPeers))], true
	}
	if a.exchanges%missingHostEvery == 0 || len(m.ranking.regionPeers) == 0 {
		if host, ok := m.randomMissingHost(); ok {
			return host, true
		}
	}
	peers := m.ranking.regionPeers
	if len(peers) == 0 {
		return core.Host{}, false
	}
	return *peers[m.random.IntN(len(peers))], true
}

// randomMissingHost returns a random host of the host list that is not alive in this view. It
// samples, since a search of the whole list on each tick would be too expensive.
func (m *Machine) randomMissingHost() (core.Host, bool) {
	listed := m.hosts.list.Hosts
	if len(listed) < len(m.ranking.byName) && len(m.ranking.byName) > 1 {
		return core.Host{}, false
	}
	for range min(len(listed), 16) {
		host := listed[m.random.IntN(len(listed))]
		if _, alive := m.ranking.byName[host.Name]; !alive {
			return host, true
		}
	}
	return core.Host{}, false
}

func (m *Machine) exchange(to core.Host, purpose ExchangePurpose) {
	m.emit(SendExchange{
		To:      to,
		Purpose: purpose,
		Sent:    m.now,
	})
}

// handleExchangeResult handles the outcome of a digest exchange.
func (m *Machine) handleExchangeResult(result ExchangeResult) {
	request := result.Request
	if result.Err == nil {
		host := m.senderHost(result.Digest)
		if host.PeerAddress == "" {
			host.PeerAddress = request.To.PeerAddress
		}
		m.recordContact(result.Digest, request.Sent)
		m.compareVersions(host, result.Digest)
		m.handleAnswer(result.Digest, request)
	}
	if request.Purpose == PurposeAnnounce {
		m.handleAnnounceResult(result)
	}
}

// handleDigest handles the digest of a message other than the answer to an exchange.
func (m *Machine) handleDigest(digest core.Digest) {
	if digest.Sender == "" || digest.Sender == m.config.Self.Name {
		return
	}
	m.recordContact(digest, m.now)
	m.compareVersions(m.senderHost(digest), digest)
}

// senderHost returns the known data of a digest's sender; its address may be unknown.
func (m *Machine) senderHost(digest core.Digest) core.Host {
	if host, ok := m.findHost(digest.Sender); ok {
		return host
	}
	return core.Host{
		Name:             digest.Sender,
		AvailabilityZone: digest.AvailabilityZone,
		Region:           digest.Region,
	}
}

func (m *Machine) findHost(name core.HostName) (core.Host, bool) {
	if host, ok := m.ranking.byName[name]; ok {
		return *host, true
	}
	index, ok := m.hosts.index[name]
	if !ok {
		return core.Host{}, false
	}
	return m.hosts.list.Hosts[index], true
}

// compareVersions compares the version and host list of another daemon with the local ones.
func (m *Machine) compareVersions(host core.Host, digest core.Digest) {
	if digest.HostsRevision > m.hosts.list.Revision {
		m.recordNewerHosts(host, digest.HostsRevision)
	}
	if !m.start.ready && m.start.floor < digest.Version {
		m.start.floor = digest.Version
	}
	if digest.Version <= m.served.Version {
		if m.conflicts(digest.Version, digest.Hash) {
			m.reportHistoryRefused(core.PeerFork, digest.Version, string(digest.Sender))
		}
		return
	}
	m.recordNewerVersion(host, digest.Version)
}

// handleVersionObserved handles a version from a request or response. It comes without a hash
// and does not raise the floor.
func (m *Machine) handleVersionObserved(in VersionObserved) {
	if in.Version <= m.served.Version {
		return
	}
	if host, ok := m.findHost(in.Host); ok {
		m.recordNewerVersion(host, in.Version)
	}
}

// handleAnswer uses the answer to an exchange for the start and for the check after a pause.
func (m *Machine) handleAnswer(digest core.Digest, request SendExchange) {
	m.handleStartAnswer(digest)
	m.handleConfirmAnswer(digest, request.Sent)
}

// pickPeers returns up to floorPeers members, in different availability zones if possible.
func (m *Machine) pickPeers() []core.Host {
	picked := make([]core.Host, 0, floorPeers)
	zones := sortedKeys(m.ranking.zones)
	m.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for _, zone := range zones {
		hosts := m.ranking.zones[zone]
		host := hosts[m.random.IntN(len(hosts))]
		if host.Name == m.config.Self.Name {
			host = hosts[(m.ranking.zoneIndex+1)%len(hosts)]
		}
		if host.Name != m.config.Self.Name && len(picked) < floorPeers {
			picked = append(picked, *host)
		}
	}
	others := m.ranking.regionPeers
	if len(others) == 0 {
		others = m.ranking.otherRegionPeers
	}
	for i := 0; len(picked) < floorPeers && i < floorPeers && len(others) > 0; i++ {
		host := others[m.random.IntN(len(others))]
		if !containsHost(picked, host.Name) {
			picked = append(picked, *host)
		}
	}
	return picked
}

func containsHost(hosts []core.Host, name core.HostName) bool {
	for _, host := range hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}
