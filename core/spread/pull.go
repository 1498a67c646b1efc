package spread

import (
	"slices"
	"time"

	"verbenaway/core"
	"verbenaway/core/snap"
)

// maxSources bounds the known sources of a newer version.
const maxSources = 4

// pull is the state of pulling newer versions from peers.
type pull struct {
	// newest is the highest version seen in a digest, request or response.
	newest   core.Version
	sources  []source
	inFlight bool
	// dueAt is the time of the next pull, zero if none is due.
	dueAt time.Time
	// avoidedUntil holds the daemons that are not pulled from until the given time.
	avoidedUntil map[core.HostName]time.Time
}

// source is a daemon that has a newer version.
type source struct {
	host    core.Host
	version core.Version
}

// dropOutdated removes the sources that have nothing newer than version.
func (p *pull) dropOutdated(version core.Version) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool {
		return s.version <= version
	})
}

// remove removes a daemon from the sources.
func (p *pull) remove(name core.HostName) {
	p.sources = slices.DeleteFunc(p.sources, func(s source) bool {
		return s.host.Name == name
	})
}

func (p *pull) add(host core.Host, version core.Version) {
	for i := range p.sources {
		if p.sources[i].host.Name == host.Name {
			p.sources[i].version = max(version, p.sources[i].version)
			return
		}
	}
	if len(p.sources) >= maxSources {
		p.sources = slices.Delete(p.sources, 0, 1)
	}
	p.sources = append(p.sources, source{
		host:    host,
		version: version,
	})
}

// avoid excludes a daemon from pulls for a period. Otherwise one with another history, or one
// that cannot serve this region, would be asked again after each of its digests.
func (m *Machine) avoid(name core.HostName, period time.Duration) {
	if m.pull.avoidedUntil == nil || len(m.pull.avoidedUntil) >= 64 {
		m.pull.avoidedUntil = map[core.HostName]time.Time{}
	}
	until := m.now.Add(period)
	if until.After(m.pull.avoidedUntil[name]) {
		m.pull.avoidedUntil[name] = until
	}
	m.pull.remove(name)
}

// recordNewerVersion adds a source of a newer version and schedules a pull in case no push
// delivers the version.
func (m *Machine) recordNewerVersion(host core.Host, version core.Version) {
	if version > m.pull.newest {
		m.pull.newest = version
		m.emit(Report{
			Kind:    core.EventVersionSeen,
			Version: version,
			Subject: string(host.Name),
		})
	}
	if host.PeerAddress == "" || m.now.Before(m.pull.avoidedUntil[host.Name]) {
		return
	}
	delay := m.jitter(m.timings.PullDelay) + m.timings.PullDelay/2
	if host.Region != m.config.Self.Region {
		if host.Region != "" {
			host = m.readerOf(host)
		}
		if m.reader.role == roleNone {
			delay += m.timings.RegionPullDelay
		}
	}
	if m.Refusal() != "" {
		delay = 0
	}
	m.pull.add(host, version)
	m.schedulePull(delay)
}

// readerOf returns one of the first two readers of a member's region in place of the member,
// since only readers hold the parts for other regions.
func (m *Machine) readerOf(host core.Host) core.Host {
	candidates := m.ranking.readerCandidates[host.Region]
	if len(candidates) == 0 {
		return host
	}
	return *candidates[m.random.IntN(min(permanentReaders, len(candidates)))]
}

// schedulePull makes a pull due after the delay, unless one is due earlier.
func (m *Machine) schedulePull(delay time.Duration) {
	at := m.now.Add(delay)
	if m.pull.dueAt.IsZero() || at.Before(m.pull.dueAt) {
		m.pull.dueAt = at
	}
	m.pullTick()
}

// pullTick pulls from the source with the highest version once a pull is due.
func (m *Machine) pullTick() {
	p := &m.pull
	if p.inFlight || p.dueAt.IsZero() || m.now.Before(p.dueAt) {
		return
	}
	p.dueAt = time.Time{}
	p.dropOutdated(m.served.Version)
	if len(p.sources) == 0 {
		return
	}
	best := p.sources[0]
	for _, s := range p.sources[1:] {
		if s.version > best.version {
			best = s
		}
	}
	p.inFlight = true
	m.emit(SendPull{
		To:    best.host,
		After: m.served.Version,
	})
}

// handlePullResult applies the outcome of a pull and tries the next source while behind.
func (m *Machine) handlePullResult(result PullResult) {
	m.pull.inFlight = false
	from := result.Request.To
	if result.Err != nil {
		m.avoid(from.Name, failedPeerAvoidTime)
		if core.KindOf(result.Err) == core.PeerMalformed {
			m.avoid(from.Name, invalidPeerAvoidTime)
			m.reportHistoryRefused(core.PeerMalformed, result.Request.After+1, string(from.Name))
		}
		m.schedulePull(m.timings.PullDelay)
		return
	}
	advanced := false
	if result.Snapshot != nil {
		advanced = m.applySnapshot(from.Name, result.Snapshot, fromPull)
	}
	if len(result.Slices) > 0 {
		advanced = m.applySlices(from.Name, result.Slices, fromPull) || advanced
	}
	if !advanced {
		m.avoid(from.Name, failedPeerAvoidTime)
	}
	m.handleDigest(result.Digest)
	if len(m.pull.sources) > 0 {
		delay := time.Duration(0)
		if !advanced {
			delay = m.timings.PullDelay
		}
		m.schedulePull(delay)
	}
}

// PullContents is the answer to a pull before its snapshot is encoded.
type PullContents struct {
	Slices []core.Slice
	// Snapshot is set if the slices that the requester lacks are too many or no longer kept.
	Snapshot *core.Snapshot
}

// AnswerPull answers a pull with what the requester's region may see. The answer is empty if
// the requester is not behind or has another history, or if this daemon does not have the
// requested parts.
func (m *Machine) AnswerPull(request core.PullRequest) PullContents {
	region := request.Digest.Region
	if request.After >= m.served.Version || m.conflicts(request.Digest.Version, request.Digest.Hash) {
		return PullContents{}
	}
	full := request.Full && region == m.config.Self.Region
	if m.served.Version-request.After <= maxSliceLag {
		if found := m.answerSlices(region, request.After, full); found != nil {
			return PullContents{Slices: found}
		}
	}
	switch {
	case full:
		return PullContents{}
	case region == m.config.Self.Region:
		return PullContents{Snapshot: m.served}
	case m.reader.full != nil && m.reader.full.Hash == m.served.Hash:
		return PullContents{Snapshot: snap.ForRegion(m.reader.full, region)}
	}
	return PullContents{}
}

// answerSlices returns the slices after a version, up to the first one that is not available
// or until pullAnswerBytes are reached. The first slice may be of any size.
func (m *Machine) answerSlices(region core.Region, after core.Version, full bool) []core.Slice {
	var found []core.Slice
	size := 0
	for v := after + 1; v <= m.served.Version && size < pullAnswerBytes; v++ {
		e, ok := m.recent.at(v)
		if !ok || !e.allRegions && (full || region != m.config.Self.Region) {
			return found
		}
		slice := e.slice
		if !full {
			slice = snap.Restrict(slice, region)
		}
		found = append(found, slice)
		size += sliceBytes(slice)
	}
	return found
}
