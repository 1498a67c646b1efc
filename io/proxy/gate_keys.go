package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
	"verbenaway/core/dedup"
)

// gateKeys is the table of the idempotency keys that this gatekeeper owns.
type gateKeys struct {
	mu    sync.Mutex
	table *dedup.Table
}

// isKeyed reports whether the idempotency key of the call must be claimed here: the route is not
// idempotent, and no other owner has claimed the key.
func (c *gateCall) isKeyed() bool {
	return c.key.Text != "" && c.route.Name != "" && !c.route.Idempotent &&
		c.route.Service == c.gate.config.Self.Service && firstValue(c.request.Header, keyClaimed) == ""
}

// serveKeyed claims the key before admission: a refusal with outcome "notRun" would be wrong for
// a duplicate of a request that has run.
func (c *gateCall) serveKeyed() {
	g := c.gate
	now := g.config.Clock.Now()
	request := dedup.Request{
		Key:         c.key,
		Fingerprint: gateFingerprint(c.request),
		Waiter:      c,
	}
	ownership := g.ownership(c.key.Text)
	c.firstResult = make(chan dedup.Decision, 1)
	g.keys.mu.Lock()
	decision := g.keys.table.Claim(now, request, ownership)
	g.keys.mu.Unlock()
	switch decision.Verdict {
	case dedup.Run:
		c.runKeyed()
	case dedup.Wait:
		c.awaitFirst()
	default:
		c.answerDuplicate(decision)
	}
}

// ownership returns whether, until when and since when this gatekeeper owns a key.
func (g *Gate) ownership(key string) dedup.Ownership {
	members := g.config.Members
	owner, ok := dedup.Owner(key, members.ServiceMembers(g.config.Self.Service))
	return dedup.Ownership{
		IsOwner: ok && owner.Name == g.config.Self.Name,
		Lease:   members.OwnerLease(),
		Since:   dedup.OwnedSince(key, g.config.Self.Name, members.Departures(g.config.Self.Service)),
	}
}

// gateFingerprint returns a hash that is equal for requests with the same method and URI.
func gateFingerprint(r *http.Request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(r.Method)
	_, _ = digest.WriteString(" ")
	_, _ = digest.WriteString(r.URL.RequestURI())
	return digest.Sum64()
}

// runKeyed runs the first request with a key and completes the key, even after a panic.
func (c *gateCall) runKeyed() {
	kind, detail := core.Internal, "the gatekeeper failed"
	defer func() {
		c.completeKey(kind, detail)
	}()
	c.recorder = &gateRecorder{}
	kind, detail = c.run()
	if c.canDelegate(kind) {
		kind, detail = c.delegate()
	}
	if kind != "" {
		c.completeKey(kind, detail)
		c.refuse(kind, detail)
	}
}

// completeKey reports the result of the request to the table and to the waiting duplicates. Later
// results are ignored, since a completed key is no longer running.
func (c *gateCall) completeKey(kind core.ErrorKind, detail string) {
	if c.isKeyCompleted {
		return
	}
	c.isKeyCompleted = true
	g := c.gate
	g.keys.mu.Lock()
	defer g.keys.mu.Unlock()
	var resolution dedup.Resolution
	switch c.outcome {
	case gateNotRun:
		if !kind.Info().NotRun || isCanceled(kind) {
			kind, detail = core.Overloaded, "the request with this idempotency key was withdrawn"
		}
		resolution = g.keys.table.Release(c.key, kind, detail)
	case gateDone:
		resolution = g.keys.table.Complete(c.key, c.recorder.answer())
	default:
		resolution = g.keys.table.Complete(c.key, nil)
	}
	for _, waiter := range resolution.Waiters {
		waiter.(*gateCall).firstResult <- resolution.Decision
	}
}

// awaitFirst waits until the first request with the key has ended.
func (c *gateCall) awaitFirst() {
	g := c.gate
	c.outcome = gateUnknown
	timer := time.NewTimer(c.admitRequest.Deadline.Sub(g.config.Clock.Now()))
	defer timer.Stop()
	var kind core.ErrorKind
	var detail string
	select {
	case decision := <-c.firstResult:
		c.answerDuplicate(decision)
		return
	case <-timer.C:
		kind, detail = core.DeadlineInRun, "the deadline passed while a request with the same idempotency key was running"
	case <-c.request.Context().Done():
		kind, detail = core.Canceled, "the caller went away"
	}
	g.keys.mu.Lock()
	isWithdrawn := g.keys.table.Abandon(c.key, c)
	g.keys.mu.Unlock()
	if !isWithdrawn {
		c.answerDuplicate(<-c.firstResult)
		return
	}
	c.refuse(kind, detail)
}

// answerDuplicate answers a duplicate with the result of the first request.
func (c *gateCall) answerDuplicate(decision dedup.Decision) {
	// With this outcome, refuse does not replace the kind of the decision.
	c.outcome = gateNotRun
	if decision.Verdict != dedup.Recorded {
		c.refuse(decision.Kind, decision.Detail)
		return
	}
	c.gate.counters.Joined.Add(1)
	header := c.writer.Header()
	c.setOwnHeaders(header)
	answer := decision.Answer
	if !answer.IsComplete {
		// No error kind exists for this case. The status must differ from that of the answer, or
		// the caller would take the body for a complete one.
		header.Set(HeaderOutcome, OutcomeDone)
		header.Set("Content-Type", "text/plain; charset=utf-8")
		c.writer.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprintf(c.writer, "done: the request ran and was answered with status %d; the answer was not kept\n", answer.Status)
		return
	}
	for name, values := range answer.Header {
		header[name] = values
	}
	c.writer.WriteHeader(answer.Status)
	_, _ = c.writer.Write(answer.Body)
}

// gateRecorder stores a small answer for duplicates.
type gateRecorder struct {
	status   int
	header   http.Header
	body     []byte
	overflow bool
	complete bool
}

func (r *gateRecorder) start(status int, header http.Header) {
	r.status = status
	r.header = header
}

func (r *gateRecorder) add(p []byte) {
	if r.overflow || len(r.body)+len(p) > dedup.MaxAnswerBytes {
		r.overflow = true
		r.body = nil
		return
	}
	r.body = append(r.body, p...)
}

func (r *gateRecorder) answer() *dedup.Answer {
	return &dedup.Answer{
		Status:     r.status,
		IsComplete: r.complete && !r.overflow,
		Header:     r.header,
		Body:       r.body,
	}
}
