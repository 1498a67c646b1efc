package dedup

import (
	"container/heap"
	"slices"
	"time"

	"verbenaway/core"
)

// The limits of a table.
const (
	// Retention is how long a key is kept.
	Retention = 10 * time.Minute
	// MaxKeys is the maximum number of keys.
	MaxKeys = 100_000
	// MaxAnswerBytes is the maximum size of a recorded answer, header and body.
	MaxAnswerBytes = 64 << 10
	// DefaultMaxBytes is the maximum size of all recorded answers: 100,000 answers of 64 KB
	// would be 6 GB, and a daemon has 64 MB.
	DefaultMaxBytes = 16 << 20
	// MaxWaiters is the maximum number of waiting duplicates, each of which holds a connection.
	MaxWaiters = 1000
	// ClockSkew is the maximum difference between two clocks.
	ClockSkew = 500 * time.Millisecond
	// JoinDelay is how long after the start of this process another daemon that holds an owner
	// lease may still not know of it and accept the same keys.
	JoinDelay = 6 * time.Second
)

// ownershipMargin is added to the start of an ownership. The previous owner accepted keys up to
// ClockSkew ahead of its clock, which may have been ClockSkew ahead of the clock of this host.
const ownershipMargin = 2 * ClockSkew

// Config sets the limits of a table; zero fields are replaced by the constants above.
type Config struct {
	MaxKeys  int
	MaxBytes int
}

// Ownership describes this daemon's role for a key at the time of a claim. The table relies on
// three guarantees of the membership view: a successor gets the keys of a dead owner only after
// the lease of the dead one has expired; a leaving daemon knows it before the others; and a
// daemon that lost its lease and regained it has a new Since.
type Ownership struct {
	// IsOwner is true if this daemon is the owner in its own view.
	IsOwner bool
	// Lease is the time until which this daemon may act as owner.
	Lease time.Time
	// Since is the time since which this daemon has owned the key, see OwnedSince.
	Since time.Time
}

// Request is one request that claims a key.
type Request struct {
	Key Key
	// Fingerprint is equal for equal requests. A different request with the same key is
	// refused, since it would get the answer of the first one.
	Fingerprint uint64
	// Waiter is opaque to the package; Resolution returns it when a waiting request is resolved.
	Waiter any
}

// Verdict says how to handle a request.
type Verdict int

// The verdicts.
const (
	// Refused means that the request must not run; Decision.Kind and Decision.Detail say why.
	Refused Verdict = iota
	// Run means that the request is the first with its key; Release or Complete must follow.
	Run
	// Wait means that the first request with the key is running; a Resolution or a call of
	// Abandon ends the wait.
	Wait
	// Recorded means that the request has already run and was answered with Decision.Answer.
	Recorded
)

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	Kind    core.ErrorKind
	Detail  string
	Answer  *Answer
}

// Answer is the final answer of a request that ran. It is not modified after Complete.
type Answer struct {
	Status int
	// IsComplete is false if header and body were not recorded, because they are too large
	// or were cut short.
	IsComplete bool
	Header     map[string][]string
	Body       []byte
}

// Resolution lists the duplicates whose wait ends, with their common decision.
type Resolution struct {
	Waiters  []any
	Decision Decision
}

type entryState int

const (
	entryRunning entryState = iota
	entryDone
	entryOutcomeUnknown
)

type entry struct {
	key         Key
	fingerprint uint64
	state       entryState
	answer      *Answer
	answerBytes int
	waiters     []any
	// expires is the end of the retention in Unix milliseconds. A running request is kept
	// beyond it.
	expires int64
	// index is the position in the expiryHeap.
	index int
}

// Table holds the keys of one owner. It is not safe for concurrent use.
type Table struct {
	config        Config
	startedMillis int64
	// latestMillis is the latest time seen, so that a clock that is set back does not make an
	// expired key count as new.
	latestMillis int64
	entries      map[Key]*entry
	byExpiry     expiryHeap
	answerBytes  int
	waiterCount  int
}

// NewTable returns an empty table for a process that starts now.
func NewTable(config Config, now time.Time) *Table {
	if config.MaxKeys <= 0 {
		config.MaxKeys = MaxKeys
	}
	if config.MaxBytes <= 0 {
		config.MaxBytes = DefaultMaxBytes
	}
	return &Table{
		config:        config,
		startedMillis: now.UnixMilli(),
		latestMillis:  now.UnixMilli(),
		entries:       map[Key]*entry{},
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Waiting returns the number of duplicates that wait for another request.
func (t *Table) Waiting() int {
	return t.waiterCount
}

// Claim decides how to handle a request. A known key is answered from its entry even if this
// daemon is no longer its owner, because the result of a request that ran does not change.
func (t *Table) Claim(now time.Time, request Request, ownership Ownership) Decision {
	t.expire(now)
	if known := t.entries[request.Key]; known != nil {
		return t.join(known, request)
	}
	expires, refusal := t.checkNew(now, request.Key.Text, ownership)
	if refusal.Kind != "" {
		return refusal
	}
	added := &entry{
		key:         request.Key,
		fingerprint: request.Fingerprint,
		expires:     expires,
	}
	t.entries[request.Key] = added
	heap.Push(&t.byExpiry, added)
	return Decision{
		Verdict: Run,
	}
}

// checkNew applies the rules for a key that is not in the table. A key without a time is treated
// as created one Retention ago.
func (t *Table) checkNew(now time.Time, text string, ownership Ownership) (expires int64, refusal Decision) {
	if text == "" || len(text) > MaxKeyLength {
		return 0, refuse(core.BadRequest, "the idempotency key is empty or too long")
	}
	if !ownership.IsOwner {
		return 0, refuse(core.NotOwner, "another daemon owns the key")
	}
	if !isBefore(now, ownership.Lease) {
		return 0, refuse(core.NotOwner, "the owner's lease has passed")
	}
	retention := Retention.Milliseconds()
	created, hasTime := CreationTime(text)
	createdAt := created.UnixMilli()
	expires = createdAt + retention
	if !hasTime {
		createdAt = t.latestMillis - retention
		expires = t.latestMillis + retention
	}
	ownedSince := max(ownership.Since.UnixMilli(), t.startedMillis+JoinDelay.Milliseconds()) + ownershipMargin.Milliseconds()
	switch {
	case hasTime && expires <= t.latestMillis:
		return 0, refuse(core.OutcomeUnknown, "the idempotency key is older than the retention")
	case createdAt < ownedSince:
		return 0, refuse(core.OutcomeUnknown, "the idempotency key may be older than the ownership")
	case createdAt > t.latestMillis+ClockSkew.Milliseconds():
		// The previous owner cannot have accepted it, so it certainly has not run.
		return 0, refuse(core.BadRequest, "the time in the idempotency key is in the future")
	case len(t.entries) >= t.config.MaxKeys:
		return 0, refuse(core.Overloaded, "the table of idempotency keys is full")
	}
	return expires, Decision{}
}

// isBefore compares both monotonic and wall clock times, since the monotonic clock stops while
// the machine is suspended.
func isBefore(now, end time.Time) bool {
	return now.Before(end) && now.Round(0).Before(end.Round(0))
}

// join handles a request whose key is in the table: it waits while the first one runs.
func (t *Table) join(known *entry, request Request) Decision {
	if known.fingerprint != request.Fingerprint {
		return refuse(core.BadRequest, "the idempotency key belongs to another request")
	}
	if known.state != entryRunning {
		return known.decision()
	}
	if t.waiterCount >= MaxWaiters {
		return refuse(core.OutcomeUnknown, "too many duplicates wait for their answer")
	}
	t.waiterCount++
	known.waiters = append(known.waiters, request.Waiter)
	return Decision{
		Verdict: Wait,
	}
}

// Abandon withdraws a waiting duplicate; it returns false if the duplicate was already resolved.
func (t *Table) Abandon(key Key, waiter any) bool {
	known := t.entries[key]
	if known == nil {
		return false
	}
	i := slices.Index(known.waiters, waiter)
	if i < 0 {
		return false
	}
	known.waiters = slices.Delete(known.waiters, i, i+1)
	t.waiterCount--
	return true
}

// Release removes a key whose request certainly has not run, so that a retry may run. Its
// duplicates are refused with the same kind and detail.
func (t *Table) Release(key Key, kind core.ErrorKind, detail string) Resolution {
	known := t.entries[key]
	if known == nil || known.state != entryRunning {
		return Resolution{}
	}
	t.remove(known)
	return t.resolve(known, refuse(kind, detail))
}

// Complete records the answer of a request that ran; a nil answer means that it may have run.
func (t *Table) Complete(key Key, answer *Answer) Resolution {
	known := t.entries[key]
	if known == nil || known.state != entryRunning {
		return Resolution{}
	}
	known.state = entryOutcomeUnknown
	if answer != nil {
		known.state = entryDone
		known.answer = t.retainAnswer(known, answer)
	}
	return t.resolve(known, known.decision())
}

// retainAnswer returns the answer if it is within the limits, and only its status otherwise.
func (t *Table) retainAnswer(known *entry, answer *Answer) *Answer {
	size := len(answer.Body)
	for name, values := range answer.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	if !answer.IsComplete || size > MaxAnswerBytes || t.answerBytes+size > t.config.MaxBytes {
		return &Answer{
			Status: answer.Status,
		}
	}
	known.answerBytes = size
	t.answerBytes += size
	return answer
}

func (t *Table) resolve(known *entry, decision Decision) Resolution {
	resolution := Resolution{
		Waiters:  known.waiters,
		Decision: decision,
	}
	t.waiterCount -= len(known.waiters)
	known.waiters = nil
	return resolution
}

// expire removes the keys whose retention has ended. A running request is kept, and its key is
// checked again after another Retention.
func (t *Table) expire(now time.Time) {
	t.latestMillis = max(t.latestMillis, now.UnixMilli())
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= t.latestMillis {
		oldest := t.byExpiry[0]
		if oldest.state == entryRunning {
			oldest.expires = t.latestMillis + Retention.Milliseconds()
			heap.Fix(&t.byExpiry, 0)
			continue
		}
		t.remove(oldest)
	}
}

func (t *Table) remove(known *entry) {
	heap.Remove(&t.byExpiry, known.index)
	delete(t.entries, known.key)
	t.answerBytes -= known.answerBytes
}

func (e *entry) decision() Decision {
	if e.state == entryOutcomeUnknown {
		return refuse(core.OutcomeUnknown, "the outcome of the request with this idempotency key is unknown")
	}
	return Decision{
		Verdict: Recorded,
		Answer:  e.answer,
	}
}

func refuse(kind core.ErrorKind, detail string) Decision {
	return Decision{
		Kind:   kind,
		Detail: detail,
	}
}
