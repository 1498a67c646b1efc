package follow

import (
	"slices"

	"verbenaway/core"
)

// replacedStart is a start of an upstream after which another one under the same key was seen.
type replacedStart struct {
	// lastWrite has the highest sequence of the records that were seen of it.
	lastWrite writeMark
	// isDoubted is set if the latest record was ignored although its sequence was new.
	isDoubted bool
}

// maxReplacedStarts bounds the earlier starts that are kept of each key.
const maxReplacedStarts = 4

// judgeWrite reports whether a record of the upstream is late: written before the known one. The store
// may do a write seconds after it was sent, when the upstream has written again, has left or has started
// again; its revisions do not tell. Starts are not compared by time alone, since clocks may step. What a
// restored store writes replaces what is known of its previous epoch. The latest record of an earlier
// start is remembered.
func (e *entry) judgeWrite(mark writeMark) (isLate bool) {
	if e.isKept || e.copied != nil || mark.startedMs == 0 || e.lastWrite.startedMs == 0 {
		return false
	}
	if mark.startedMs == e.lastWrite.startedMs {
		return mark.isBefore(e.lastWrite)
	}
	index := e.replacedIndex(mark.startedMs)
	if index < 0 {
		return false
	}
	earlier := &e.replaced[index]
	switch {
	case mark.sequence <= earlier.lastWrite.sequence:
		return true
	case mark.startedMs > e.lastWrite.startedMs:
		return false
	}
	// The last write of a start may come late. If another one follows, this start is the one that runs.
	isFirst := !earlier.isDoubted
	earlier.lastWrite, earlier.isDoubted = mark, true
	return isFirst
}

func (e *entry) replacedIndex(startedMs int64) int {
	return slices.IndexFunc(e.replaced, func(start replacedStart) bool {
		return start.lastWrite.startedMs == startedMs
	})
}

// inheritWrites takes over what the entry that e replaces knows of the upstream's records.
func (e *entry) inheritWrites(known *entry) {
	if e.Upstream == nil {
		e.lastWrite = known.lastWrite
	}
	e.replaced = known.replaced
	if e.lastWrite.startedMs == known.lastWrite.startedMs {
		return
	}
	e.replaced = slices.DeleteFunc(slices.Clone(known.replaced), func(start replacedStart) bool {
		return start.lastWrite.startedMs == e.lastWrite.startedMs
	})
	if len(e.replaced) == maxReplacedStarts {
		e.replaced = slices.Delete(e.replaced, 0, 1)
	}
	e.replaced = append(e.replaced, replacedStart{
		lastWrite: known.lastWrite,
	})
}

// recordLateWrite records that a late write was ignored.
func (s *State) recordLateWrite(change core.RegistryChange) {
	s.events = append(s.events, Event{
		Kind:     core.EventMemberChanged,
		Subject:  change.Upstream.Host.Instance,
		Revision: change.Revision,
		Detail:   "a late write of an earlier record was ignored",
	})
}
