package admit

import (
	"slices"
	"time"

	"verbenaway/core"
)

// senderCloses is the reason of a refusal because the sender leaves.
const senderCloses = "the sender closes its connections before an answer"

// CloseSender records that a sender closes the connections of its callers at a given time. Its waiting
// requests that will not be answered by then are refused, so that their callers learn that they have not
// run. The result is valid until the next call.
func (c *Controller) CloseSender(now time.Time, sender core.HostName, closesAt time.Time) []Wake {
	c.wakes = c.wakes[:0]
	// The latest requests come first, since each refusal shortens the queue time of those before it.
	for _, ticket := range slices.Backward(slices.Clone(c.queue)) {
		if ticket.request.Sender != sender {
			continue
		}
		ticket.request.SenderClosesAt = closesAt
		ticket.request.boundByClosing()
		ticket.claim.Target, ticket.claim.Deadline = ticket.request.Target, ticket.request.Deadline
		ticket.waitDeadline = earlier(ticket.waitDeadline, closesAt.Add(-ticket.claim.Margin))
		if !ticket.isAnsweredBeforeClosing(now.Add(c.remainingQueueTime(now, ticket))) {
			c.refuseOne(now, ticket, c.busyKind(now), senderCloses)
		}
	}
	return c.wakes
}

// boundByClosing brings the target and the deadline forward to the time at which the sender closes its
// connections.
func (r *Request) boundByClosing() {
	if r.SenderClosesAt.IsZero() {
		return
	}
	r.Deadline = earlier(r.Deadline, r.SenderClosesAt)
	if !r.Target.IsZero() {
		r.Target = earlier(r.Target, r.SenderClosesAt)
	}
}

// isAnsweredBeforeClosing reports whether a request that starts at a given time is likely to be answered
// before its sender closes its connections.
func (t *Ticket) isAnsweredBeforeClosing(startsAt time.Time) bool {
	closesAt := t.request.SenderClosesAt
	return closesAt.IsZero() || startsAt.Add(t.claim.Margin).Before(closesAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
