package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

const (
	// quarantineCrashes is the number of processes that a request has to have crashed.
	quarantineCrashes = 3
	// sureCrashes is the number from which a request is quarantined although another one was running each
	// time too.
	sureCrashes = 5
	// suspectLifetime is how long the loss of a request counts that is not quarantined.
	suspectLifetime = 10 * time.Minute
	// quarantineLifetime is how long that of one counts which is. After it, a request is tried again, and
	// the next crash puts it back.
	quarantineLifetime = time.Hour
	// clearedLifetime is how long it is remembered that a loss does not count, so that daemons which were
	// out of reach learn it.
	clearedLifetime = 2 * time.Minute
	// maxLost and maxLosses bound the memory and the size of a message: the number of lost requests in all,
	// and that of the crashes remembered for one request.
	maxLost   = 512
	maxLosses = 16
	// maxInstanceBytes bounds the name of a process that another daemon sends.
	maxInstanceBytes = 256
)

// Table holds the lost requests that a daemon knows and derives the verdicts from them. Tables that know
// the same lost requests have the same verdicts, in whichever order they learned them. It is not safe for
// concurrent use.
type Table struct {
	requests map[core.Fingerprint]*lostRequest
	// sequence counts the changes.
	sequence uint64
	verdicts map[core.Fingerprint]core.Verdict
	shapes   map[core.RequestShape]bool
	digest   uint64
}

// lostRequest is one request and the processes that ended while they ran it.
type lostRequest struct {
	shape  core.RequestShape
	losses map[string]loss
}

type loss struct {
	at        time.Time
	isCleared bool
	// sequence is that of the latest change.
	sequence uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		requests: map[core.Fingerprint]*lostRequest{},
	}
	t.evaluate()
	return t
}

// Merge adds lost requests and returns whether any of them was new.
func (t *Table) Merge(now time.Time, lost []core.LostRequest) bool {
	isChanged := false
	for i := range lost {
		isChanged = t.merge(now, &lost[i]) || isChanged
	}
	if isChanged {
		t.evaluate()
		t.bound()
	}
	return isChanged
}

func (t *Table) merge(now time.Time, lost *core.LostRequest) bool {
	if lost.Instance == "" || len(lost.Instance) > maxInstanceBytes || lost.Age < 0 || lost.Age >= quarantineLifetime {
		return false
	}
	request := t.requests[lost.Fingerprint]
	if request == nil {
		request = &lostRequest{
			shape:  lost.Shape,
			losses: map[string]loss{},
		}
	}
	known, ok := request.losses[lost.Instance]
	if ok && (known.isCleared || !lost.IsCleared) {
		return false
	}
	if !ok {
		if !request.makeRoom(lost.Instance) {
			return false
		}
		known.at = now.Add(-lost.Age)
	}
	if lost.IsCleared {
		known.isCleared = true
	}
	t.sequence++
	known.sequence = t.sequence
	request.losses[lost.Instance] = known
	t.requests[lost.Fingerprint] = request
	return true
}

// makeRoom makes room for one more loss if there are maxLosses. All tables keep those with the lowest
// names of processes, so that they come to agree. It returns false if the given one is not among them.
func (r *lostRequest) makeRoom(instance string) bool {
	if len(r.losses) < maxLosses {
		return true
	}
	highest := slices.Max(slices.Collect(maps.Keys(r.losses)))
	if instance > highest {
		return false
	}
	delete(r.losses, highest)
	return true
}

// Clear records that an upstream has answered a request, so that it did not crash the processes that
// ended with it so far. It returns whether that is news.
func (t *Table) Clear(fingerprint core.Fingerprint) bool {
	request := t.requests[fingerprint]
	if request == nil {
		return false
	}
	isChanged := false
	for instance, known := range request.losses {
		if !known.isCleared {
			t.sequence++
			known.isCleared, known.sequence = true, t.sequence
			request.losses[instance] = known
			isChanged = true
		}
	}
	if isChanged {
		t.evaluate()
	}
	return isChanged
}

// Verdict returns what is known of a request.
func (t *Table) Verdict(fingerprint core.Fingerprint) core.Verdict {
	return t.verdicts[fingerprint]
}

// Shapes returns the shapes of all requests with a verdict. The result must not be modified.
func (t *Table) Shapes() map[core.RequestShape]bool {
	return t.shapes
}

// Digest returns a hash of all that is known. It is 0 for an empty table.
func (t *Table) Digest() uint64 {
	return t.digest
}

// Sequence returns the number of changes so far.
func (t *Table) Sequence() uint64 {
	return t.sequence
}

// Since returns the lost requests that have changed after a number of changes.
func (t *Table) Since(now time.Time, sequence uint64) []core.LostRequest {
	var lost []core.LostRequest
	for fingerprint, request := range t.requests {
		for instance, known := range request.losses {
			if known.sequence <= sequence {
				continue
			}
			lost = append(lost, core.LostRequest{
				Fingerprint: fingerprint,
				Shape:       request.shape,
				Instance:    instance,
				IsCleared:   known.isCleared,
				Age:         max(now.Sub(known.at), 0),
			})
		}
	}
	return lost
}

// Quarantined returns the requests that are quarantined.
func (t *Table) Quarantined() map[core.Fingerprint]bool {
	found := map[core.Fingerprint]bool{}
	for fingerprint, verdict := range t.verdicts {
		if verdict == core.VerdictQuarantined {
			found[fingerprint] = true
		}
	}
	return found
}

// Suspects returns the number of suspected requests.
func (t *Table) Suspects() int {
	return len(t.verdicts) - len(t.Quarantined())
}

// Expire forgets what no longer counts and returns whether there was any.
func (t *Table) Expire(now time.Time) bool {
	isChanged := false
	for fingerprint, request := range t.requests {
		for instance, known := range request.losses {
			lifetime := suspectLifetime
			switch {
			case known.isCleared:
				lifetime = clearedLifetime
			case t.verdicts[fingerprint] == core.VerdictQuarantined:
				lifetime = quarantineLifetime
			}
			if now.Sub(known.at) >= lifetime {
				delete(request.losses, instance)
				isChanged = true
			}
		}
		if len(request.losses) == 0 {
			delete(t.requests, fingerprint)
		}
	}
	if isChanged {
		t.evaluate()
	}
	return isChanged
}

// bound forgets requests beyond maxLost: first those that are not suspected any more, last those that
// are quarantined, and among these the ones that were lost least recently.
func (t *Table) bound() {
	total := 0
	for _, request := range t.requests {
		total += len(request.losses)
	}
	for total > maxLost {
		var worst core.Fingerprint
		var worstAt time.Time
		var worstVerdict core.Verdict
		isFound := false
		for fingerprint, request := range t.requests {
			at, verdict := request.latest(), t.verdicts[fingerprint]
			if !isFound || verdict < worstVerdict || verdict == worstVerdict && at.Before(worstAt) {
				worst, worstAt, worstVerdict, isFound = fingerprint, at, verdict, true
			}
		}
		total -= len(t.requests[worst].losses)
		delete(t.requests, worst)
		t.evaluate()
	}
}

func (r *lostRequest) latest() time.Time {
	var latest time.Time
	for _, known := range r.losses {
		if known.at.After(latest) {
			latest = known.at
		}
	}
	return latest
}

// evaluate derives verdicts, shapes and digest from the lost requests.
func (t *Table) evaluate() {
	t.verdicts = verdicts(t.requests)
	t.shapes = make(map[core.RequestShape]bool, len(t.verdicts))
	for fingerprint := range t.verdicts {
		t.shapes[t.requests[fingerprint].shape] = true
	}
	t.digest = 0
	for fingerprint, request := range t.requests {
		for instance, known := range request.losses {
			text := append(fingerprint[:], instance...)
			if known.isCleared {
				text = append(text, 1)
			}
			t.digest ^= xxhash.Sum64(text)
		}
	}
}

// candidate is a request with crashes that nothing else explains yet.
type candidate struct {
	fingerprint core.Fingerprint
	instances   []string
}

// verdicts quarantines requests in the order of the crashes that they explain: what ran beside a
// quarantined request when a process ended is not blamed for that.
func verdicts(requests map[core.Fingerprint]*lostRequest) map[core.Fingerprint]core.Verdict {
	result := map[core.Fingerprint]core.Verdict{}
	var open []candidate
	for fingerprint, request := range requests {
		c := candidate{
			fingerprint: fingerprint,
		}
		for instance, known := range request.losses {
			if !known.isCleared {
				c.instances = append(c.instances, instance)
			}
		}
		if len(c.instances) > 0 {
			open = append(open, c)
		}
	}
	for {
		slices.SortFunc(open, func(a, b candidate) int {
			return cmp.Or(-cmp.Compare(len(a.instances), len(b.instances)), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
		})
		found := slices.IndexFunc(open, func(c candidate) bool { return isCause(c, open) })
		if found < 0 {
			break
		}
		cause := open[found]
		result[cause.fingerprint] = core.VerdictQuarantined
		open = slices.Delete(open, found, found+1)
		for i := range open {
			open[i].instances = slices.DeleteFunc(open[i].instances, func(instance string) bool {
				return slices.Contains(cause.instances, instance)
			})
		}
		open = slices.DeleteFunc(open, func(c candidate) bool { return len(c.instances) == 0 })
	}
	for _, c := range open {
		result[c.fingerprint] = core.VerdictSuspect
	}
	return result
}

// isCause reports whether a request crashed the processes that ended with it: there are enough of them,
// and no other request was running on all of them, or there are more than chance explains.
func isCause(c candidate, all []candidate) bool {
	if len(c.instances) < quarantineCrashes {
		return false
	}
	if len(c.instances) >= sureCrashes {
		return true
	}
	return !slices.ContainsFunc(all, func(other candidate) bool {
		return other.fingerprint != c.fingerprint && containsAll(other.instances, c.instances)
	})
}

func containsAll(all, some []string) bool {
	for _, instance := range some {
		if !slices.Contains(all, instance) {
			return false
		}
	}
	return true
}
