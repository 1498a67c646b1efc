package spread

import (
	"bytes"
	"fmt"
	"time"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

const (
	// storeSubject is the subject of reports about the store.
	storeSubject = "store"
	// watchSpacing and watchBurst limit the rate of watches while notes arrive in quick
	// succession: a burst without delay, then 20 per second. With the reads that verify them,
	// 18 readers of three regions stay below half of the store's 2,000 operations per second.
	watchSpacing = 50 * time.Millisecond
	watchBurst   = 10
	// gapDelay is the time until the next watch if the store returned a later note without
	// the one that is due. Another watch would return at once.
	gapDelay = 500 * time.Millisecond
	// refusedHistoryDelay is the time until a store whose history is refused is read again.
	refusedHistoryDelay = time.Second
	// rebuildDelay is the time after a fork until the full configuration is read again.
	rebuildDelay = 5 * time.Second
	// staleReportDelay is how long the store may be behind the peers before that is reported.
	// Peers may have a note before the watch of this daemon returns it.
	staleReportDelay = 2 * time.Second
)

// readTick starts the next read of the store if it is due.
func (m *Machine) readTick() {
	r := &m.reader
	if r.role == roleNone || r.reading || m.now.Before(r.nextRead) {
		return
	}
	if r.role == roleIsolated && r.caughtUp {
		m.discardUnverified()
	}
	if r.full == nil {
		r.reading = true
		m.emit(ReadCheckpoint{Epoch: r.epoch})
		return
	}
	m.watchNotes(0)
}

// discardUnverified is called before a delayed read. It discards a full configuration whose
// newest note has never been read: if the store is restored from a backup during the delay,
// nothing would show that the later notes do not belong to this checkpoint.
func (m *Machine) discardUnverified() {
	if m.reader.newest == nil {
		m.reader.full = nil
		m.reader.caughtUp = false
	}
}

// watchNotes starts a watch. This is a long poll only if a read has reached the end of the
// notes, the store has not forked and the daemon is not isolated. The watch always verifies
// the newest note, except between reading a checkpoint and the first read of notes: this
// saves one operation per reader when a whole fleet restarts.
func (m *Machine) watchNotes(delay time.Duration) {
	r := &m.reader
	wait := time.Duration(0)
	if r.caughtUp && r.fault != core.StoreFork && r.role != roleIsolated {
		wait = m.timings.WatchWait
	}
	r.reading = true
	m.emit(WatchNotes{
		Epoch:  r.epoch,
		After:  r.full.Version,
		Wait:   wait,
		Delay:  delay,
		Verify: r.full.Version > 0 && (r.caughtUp || r.newest != nil),
	})
}

// handleCheckpointResult starts the full configuration from the checkpoint, or from
// version 0 if there is no readable one.
func (m *Machine) handleCheckpointResult(result CheckpointResult) {
	r := &m.reader
	if result.Epoch != r.epoch {
		return
	}
	r.reading = false
	if result.Err != nil {
		m.recordStoreFailure(result.Err)
		return
	}
	r.full = snap.Empty("")
	if result.Found {
		full, err := fromCheckpoint(result.Value)
		if err != nil {
			m.reportHistoryRefused(core.StoreMalformed, 0, storeSubject)
		} else {
			r.full = full
		}
	}
	m.recordStoreSuccess()
	if m.detectFork(r.full.Version, r.full.Hash) {
		return
	}
	if r.full.Version > m.served.Version {
		before := m.served
		m.replaceServed(snap.ForRegion(r.full, m.config.Self.Region))
		m.finishUpdate(before, fromStore)
	}
	m.watchNotes(0)
}

func fromCheckpoint(data []byte) (*core.Snapshot, error) {
	checkpoint, err := note.ParseCheckpoint(data)
	if err != nil {
		return nil, err
	}
	return snap.FromCheckpoint(checkpoint)
}

// detectFork reports whether the store has another hash for a version that is known here. If
// so, it discards the full configuration and schedules a new read.
func (m *Machine) detectFork(version core.Version, hash core.Hash) bool {
	r := &m.reader
	if !m.conflicts(version, hash) {
		return false
	}
	m.reportHistoryRefused(core.StoreFork, version, storeSubject)
	r.fault = core.StoreFork
	r.full, r.newest = nil, nil
	r.caughtUp = false
	r.nextRead = m.now.Add(rebuildDelay)
	return true
}

// handleNotesResult folds the notes of a watch, unless the newest note folded before is
// missing in the store or has changed there.
func (m *Machine) handleNotesResult(result NotesResult) {
	r := &m.reader
	if result.Request.Epoch != r.epoch {
		return
	}
	r.reading = false
	if r.full == nil {
		return
	}
	if result.Err != nil {
		m.recordStoreFailure(result.Err)
		return
	}
	m.recordStoreSuccess()
	if !m.verifyNewest(result) {
		r.nextRead = m.now.Add(refusedHistoryDelay)
		return
	}
	folded, err := m.foldAll(result.Values)
	if err != nil {
		m.reportHistoryRefused(core.StoreMalformed, r.full.Version+1, storeSubject)
		m.recordStoreFailure(err)
		return
	}
	if r.full == nil {
		return
	}
	if len(result.Values) == 0 || m.readToEnd(result.Values, folded) {
		r.caughtUp = true
		m.confirmByStore(result.Started)
	}
	m.checkStale()
	m.scheduleRead(result, folded)
}

// readToEnd reports whether an isolated daemon has read all notes. This spares it a read that
// would only confirm that none is left.
// The store truncates a result below this size only before a note of nearly the maximum size,
// which the next poll reads.
func (m *Machine) readToEnd(values []core.KeyValue, folded int) bool {
	size := 0
	for _, value := range values {
		size += len(value.Value)
	}
	return m.reader.role == roleIsolated && folded == len(values) && size < core.MaxNoteBytes/4
}

// verifyNewest reports whether the newest folded note is unchanged in the store. If it is
// missing there, the store was rolled back; if its value differs, the store has forked.
func (m *Machine) verifyNewest(result NotesResult) bool {
	r := &m.reader
	if !result.Request.Verify {
		return true
	}
	kind := core.ErrorKind("")
	switch {
	case !result.NewestFound && r.newest != nil:
		kind = core.StoreStale
	case r.newest != nil && !bytes.Equal(r.newest, result.Newest):
		kind = core.StoreFork
	}
	if kind != "" {
		m.reportHistoryRefused(kind, r.full.Version, storeSubject)
		r.fault = kind
		return false
	}
	if result.NewestFound {
		r.newest = result.Newest
	}
	if r.fault == core.StoreFork {
		r.fault = ""
	}
	return true
}

// foldAll folds the values that follow the full configuration without a gap. The store
// may show updates out of order, so a later watch reads the notes after a gap again.
func (m *Machine) foldAll(values []core.KeyValue) (int, error) {
	r := &m.reader
	byVersion := make(map[core.Version][]byte, len(values))
	for _, value := range values {
		version, err := note.KeyVersion(value.Key)
		if err != nil {
			return 0, fmt.Errorf("key %q: %w", value.Key, err)
		}
		byVersion[version] = value.Value
	}
	before := m.served
	folded := 0
	for folded < maxFoldBatch {
		value, ok := byVersion[r.full.Version+1]
		if !ok || !m.foldOne(r.full.Version+1, value) {
			break
		}
		folded++
	}
	m.finishUpdate(before, fromStore)
	return folded, nil
}

// foldOne folds the next note of the store. It returns false if the note belongs to another
// history than the version in force.
func (m *Machine) foldOne(version core.Version, value []byte) bool {
	r := &m.reader
	full, slice := snap.Fold(r.full, version, value, m.now)
	if m.detectFork(version, full.Hash) {
		return false
	}
	if version == m.served.Version+1 && !m.apply(storeSubject, slice) {
		m.reportHistoryRefused(core.StoreFork, version, storeSubject)
		r.fault = core.StoreFork
		return false
	}
	r.full, r.newest = full, value
	m.recent.replaceRegional(slice)
	return true
}

// checkStale reports a store that stays behind the version in force. It clears the fault if
// the store is not known to be behind.
func (m *Machine) checkStale() {
	r := &m.reader
	if !r.caughtUp || r.full.Version >= m.served.Version {
		r.staleSince = time.Time{}
		r.fault = ""
		return
	}
	if r.staleSince.IsZero() {
		r.staleSince = m.now
	}
	if m.now.Sub(r.staleSince) >= staleReportDelay {
		r.fault = core.StoreStale
		m.reportHistoryRefused(core.StoreStale, r.full.Version, storeSubject)
	}
}

// scheduleRead starts the next watch at once where that is cheap, or else sets its time. A
// store that ends long polls early is read at most twice a second.
func (m *Machine) scheduleRead(result NotesResult, folded int) {
	r := &m.reader
	r.nextRead = m.now
	switch {
	case r.role == roleIsolated && r.caughtUp:
		period := m.pollPeriod()
		r.nextRead = m.now.Add(period + m.jitter(period/10))
	case folded > 0:
		m.watchNotes(m.nextWatchDelay())
	case len(result.Values) > 0:
		r.nextRead = m.now.Add(gapDelay)
	case result.Request.Wait == 0:
		m.readTick()
	case r.role == roleStandIn:
		// The jitter desynchronizes the watches of stand-ins and readers. A stand-in stops
		// when it learns of a reader's contact that is newer than its own.
		r.nextRead = m.now.Add(m.jitter(m.timings.WatchWait / 2))
	default:
		r.nextRead = result.Started.Add(m.timings.WatchWait / 2)
		m.readTick()
	}
}

// nextWatchDelay returns the delay that keeps watches after new notes within watchSpacing
// and watchBurst.
func (m *Machine) nextWatchDelay() time.Duration {
	r := &m.reader
	if r.spacedUntil.Before(m.now) {
		r.spacedUntil = m.now
	}
	r.spacedUntil = r.spacedUntil.Add(watchSpacing)
	return max(0, r.spacedUntil.Add(-watchBurst*watchSpacing).Sub(m.now))
}

// recordStoreFailure backs off with full jitter, so that readers do not return all at once.
func (m *Machine) recordStoreFailure(err error) {
	r := &m.reader
	r.failures++
	if r.failures == 1 {
		m.emit(Report{
			Kind:    core.EventStoreFailed,
			Subject: string(core.KindOf(err)),
			Detail:  err.Error(),
		})
	}
	r.nextRead = m.now.Add(m.backoff(r.failures))
	m.discardUnverified()
}

func (m *Machine) backoff(failures int) time.Duration {
	limit := m.timings.BackoffBase << min(failures, 16)
	return m.timings.BackoffBase/4 + m.jitter(min(limit, m.timings.BackoffMax))
}

func (m *Machine) recordStoreSuccess() {
	r := &m.reader
	if r.failures > 0 {
		m.emit(Report{Kind: core.EventStoreRecovered})
	}
	r.failures = 0
	r.ownContact = m.now
	r.regionContact = m.now
}
