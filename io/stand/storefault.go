package stand

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"verbenaway/core"
)

// StoreFaults are the faults that a store stand-in injects. The zero value means no fault. Each
// POST replaces all faults; RollBackTo, RollBackAll and RollBackHostsTo act once and cannot be undone.
type StoreFaults struct {
	// Down answers every call with 503, including parked ones.
	Down bool `json:"down"`
	// Hang delays every answer until Hang is turned off or the caller closes the connection.
	Hang bool `json:"hang"`
	// Delay delays every call.
	Delay core.Duration `json:"delay"`
	// StaleBy shows the state this many versions before the newest note at the time when the
	// fault is set. Later notes and checkpoints are accepted but not shown.
	StaleBy core.Version `json:"staleBy"`
	// RollBackTo removes all values written after this version; RollBackAll removes those after
	// version 0.
	RollBackTo  core.Version `json:"rollBackTo"`
	RollBackAll bool         `json:"allNotes"`
	// RollBackHostsTo removes all host lists after this revision, as a restoration from a copy does;
	// the epoch of the host list increases.
	RollBackHostsTo uint64 `json:"rollBackHostsTo"`
	// ForkAt shows other bytes for the note with this number: ForkValue, or by default the note
	// with one more tenant.
	ForkAt    core.Version `json:"forkAt"`
	ForkValue string       `json:"forkValue"`
	// HostsLag delays host lists that are set later; nil keeps the current lag.
	HostsLag *core.Duration `json:"hostsLag"`
}

// forkSuffix adds a tenant to a note. The contents have to differ, since the chain hash covers
// the contents and not the bytes.
const forkSuffix = "\n[[add.tenant]]\nname = \"forked\"\n"

// SetFaults replaces the faults and wakes parked calls, to which they then apply.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.asOf = nil
	if faults.RollBackTo > 0 || faults.RollBackAll {
		s.state.rollBack(faults.RollBackTo)
	}
	if faults.RollBackHostsTo > 0 {
		s.state.rollBackHosts(faults.RollBackHostsTo)
	}
	if faults.StaleBy > 0 {
		asOf := s.state.head - min(s.state.head, faults.StaleBy)
		s.asOf = &asOf
	}
	if faults.HostsLag != nil {
		s.hostsLag = time.Duration(*faults.HostsLag)
	}
	s.wakeParked()
}

// applyFaults applies the faults of whole calls: Delay, Hang and Down. It returns false if it has
// answered the call or the caller is gone.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	delay := time.Duration(s.faults.Delay)
	s.mu.Unlock()
	if !sleep(r.Context(), delay) || !s.hang(r.Context()) {
		return false
	}
	s.mu.Lock()
	down := s.faults.Down
	s.mu.Unlock()
	if down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	}
	return !down
}

// hang waits until Hang is turned off; it returns false if ctx ended.
func (s *Store) hang(ctx context.Context) bool {
	return waitWhile(ctx, func() (isHanging bool, changed <-chan struct{}) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.faults.Hang, s.changed
	})
}

// waitWhile waits while state reports hanging, and calls state again whenever changed is closed.
// It returns false if ctx ended.
func waitWhile(ctx context.Context, state func() (isHanging bool, changed <-chan struct{})) bool {
	for {
		isHanging, changed := state()
		if !isHanging {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// withFork returns a value with ForkAt applied. The caller holds the lock.
func (s *Store) withFork(entry core.KeyValue) core.KeyValue {
	if s.faults.ForkAt == 0 || entry.Key != NoteKey(s.faults.ForkAt) {
		return entry
	}
	entry.Value = append(bytes.Clone(entry.Value), forkSuffix...)
	if s.faults.ForkValue != "" {
		entry.Value = []byte(s.faults.ForkValue)
	}
	return entry
}

// sleep waits for a duration; it returns false if ctx ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
