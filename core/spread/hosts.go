package spread

import (
	"maps"
	"slices"
	"time"

	"verbenaway/core"
)

// maxHostChanges is the number of host list differences kept for answers to other daemons.
const maxHostChanges = 64

// hosts is the state of distributing the host list.
type hosts struct {
	list core.HostList
	// index maps host names to positions in list.Hosts.
	index map[core.HostName]int
	// changes lead to the revision of the list without a gap, oldest first.
	changes []hostsChange
	// reading is true while the store is read, asking while a peer is asked.
	reading  bool
	failures int
	nextRead time.Time
	asking   bool
	// source is a daemon with the newer revision newestRevision, askAt the time to ask it.
	source         core.Host
	newestRevision uint64
	askAt          time.Time
}

// hostsChange is the difference between two revisions.
type hostsChange struct {
	from, to uint64
	put      []core.Host
	drop     []core.HostName
}

// hostsTick reads or watches the platform's host list and requests newer ones from peers.
func (m *Machine) hostsTick() {
	h := &m.hosts
	if !h.asking && h.newestRevision > h.list.Revision && !m.now.Before(h.askAt) && h.source.PeerAddress != "" {
		h.asking = true
		m.emit(SendHosts{
			To:            h.source,
			AfterRevision: h.list.Revision,
		})
	}
	if h.reading || m.now.Before(h.nextRead) {
		return
	}
	wait := time.Duration(0)
	switch m.reader.role {
	case roleReader, roleStandIn:
		wait = m.timings.HostsWatchWait
	case roleIsolated:
		h.nextRead = m.now.Add(3 * m.pollPeriod())
	case roleNone:
		if m.start.ready || m.start.peerAnswered || m.now.Before(m.start.firstReadAt) {
			return
		}
		h.nextRead = m.now.Add(m.timings.IsolatedInterval)
	}
	h.reading = true
	m.emit(WatchHosts{
		AfterRevision: h.list.Revision,
		Wait:          wait,
	})
}

// handleStoreHostsResult applies the platform's host list. An older revision is ignored.
func (m *Machine) handleStoreHostsResult(result StoreHostsResult) {
	h := &m.hosts
	h.reading = false
	if result.Err != nil {
		h.failures++
		h.nextRead = m.now.Add(m.backoff(h.failures))
		return
	}
	h.failures = 0
	if result.Changed && result.List.Revision > h.list.Revision {
		m.setHosts(result.List)
		return
	}
	// A store that returns the same or an older list would otherwise be read on every tick.
	if earliest := m.now.Add(m.timings.ReaderAgeStep); result.Changed && h.nextRead.Before(earliest) {
		h.nextRead = earliest
	}
}

// setHosts replaces the list, keeps the difference and announces the new revision.
func (m *Machine) setHosts(list core.HostList) {
	h := &m.hosts
	change := diffHosts(h.list, list)
	if h.list.Revision > 0 {
		h.changes = append(h.changes, change)
		if len(h.changes) > maxHostChanges {
			h.changes = slices.Delete(h.changes, 0, 1)
		}
	}
	h.list = list
	h.index = make(map[core.HostName]int, len(list.Hosts))
	for i, host := range list.Hosts {
		h.index[host.Name] = i
	}
	m.emit(UpdateHosts{List: list})
	m.announceNewer()
}

func diffHosts(before, after core.HostList) hostsChange {
	change := hostsChange{
		from: before.Revision,
		to:   after.Revision,
	}
	old := make(map[core.HostName]core.Host, len(before.Hosts))
	for _, host := range before.Hosts {
		old[host.Name] = host
	}
	for _, host := range after.Hosts {
		if known, ok := old[host.Name]; !ok || known != host {
			change.put = append(change.put, host)
		}
		delete(old, host.Name)
	}
	change.drop = slices.Sorted(maps.Keys(old))
	return change
}

// recordNewerHosts records a daemon that has a newer host list and when to ask it.
func (m *Machine) recordNewerHosts(host core.Host, revision uint64) {
	h := &m.hosts
	if host.PeerAddress == "" || revision < h.newestRevision {
		return
	}
	if h.newestRevision <= h.list.Revision {
		h.askAt = m.now.Add(m.jitter(m.timings.PullDelay))
	}
	h.newestRevision = revision
	h.source = host
}

// handleHostsResult applies a difference from the local revision, or a full list.
func (m *Machine) handleHostsResult(result HostsResult) {
	h := &m.hosts
	h.asking = false
	answer := result.Answer
	if result.Err != nil || answer.Revision <= h.list.Revision {
		h.newestRevision = 0
		return
	}
	if !answer.Full && result.Request.AfterRevision != h.list.Revision {
		return
	}
	m.setHosts(core.HostList{
		Revision: answer.Revision,
		Hosts:    mergeHosts(h.list.Hosts, answer),
	})
}

func mergeHosts(known []core.Host, answer core.HostsAnswer) []core.Host {
	byName := map[core.HostName]core.Host{}
	if !answer.Full {
		for _, host := range known {
			byName[host.Name] = host
		}
	}
	for _, host := range answer.Put {
		byName[host.Name] = host
	}
	for _, name := range answer.Drop {
		delete(byName, name)
	}
	list := make([]core.Host, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, byName[name])
	}
	return list
}

// AnswerHosts returns the difference from a revision, or the full list if the difference is
// not kept. The driver sets the digest.
func (m *Machine) AnswerHosts(after uint64) core.HostsAnswer {
	h := &m.hosts
	answer := core.HostsAnswer{Revision: h.list.Revision}
	if after >= h.list.Revision {
		return answer
	}
	first := slices.IndexFunc(h.changes, func(c hostsChange) bool { return c.from == after })
	if first < 0 {
		answer.Full = true
		answer.Put = h.list.Hosts
		return answer
	}
	touched := map[core.HostName]bool{}
	for _, change := range h.changes[first:] {
		for _, host := range change.put {
			touched[host.Name] = true
		}
		for _, name := range change.drop {
			touched[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		if index, ok := h.index[name]; ok {
			answer.Put = append(answer.Put, h.list.Hosts[index])
		} else {
			answer.Drop = append(answer.Drop, name)
		}
	}
	return answer
}

// listHasOthers reports whether the host list has hosts other than the local one.
func (m *Machine) listHasOthers() bool {
	_, self := m.hosts.index[m.config.Self.Name]
	return len(m.hosts.list.Hosts) > 1 || len(m.hosts.list.Hosts) == 1 && !self
}

// HostList returns the newest host list, which callers must not modify.
func (m *Machine) HostList() core.HostList {
	return m.hosts.list
}
