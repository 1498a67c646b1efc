package dedup

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// MaxKeyLength is the maximum length of Key.Text in bytes; it bounds the memory of the table.
const MaxKeyLength = 256

// unixMilliDigits is the number of digits of Unix milliseconds from 2001 to 2286. Shorter
// numbers are not parsed as a time, since a UUID may also begin with 8 digits and a hyphen.
const unixMilliDigits = 13

// Key identifies a request. It includes tenant and route, so that a tenant cannot get the
// answer of another one by guessing its key.
type Key struct {
	Tenant core.TenantName
	Route  core.RouteName
	// Text is the value of the header Idempotency-Key.
	Text string
}

// CreationTime returns the time in a key of the form {unix milliseconds}-{random}; ok is false
// for any other form.
func CreationTime(text string) (created time.Time, ok bool) {
	digits, random, found := strings.Cut(text, "-")
	if !found || random == "" || len(digits) != unixMilliDigits {
		return time.Time{}, false
	}
	milliseconds, err := strconv.ParseUint(digits, 10, 63)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(milliseconds)), true
}

// Owner returns the host that owns the keys with this text: the first by rendezvous hashing among
// the members that were eligible when the key was created. Since ownership depends on the time in
// the key, a joining or leaving member takes over or hands over keys at a time that all daemons
// know in advance. Suspect members remain owners until they are declared dead, since they may
// still run requests. ok is false if no member is eligible.
func Owner(text string, members []core.Member) (owner core.Host, ok bool) {
	created, hasTime := CreationTime(text)
	best := -1
	for i := range members {
		if !isEligible(members[i], created, hasTime) {
			continue
		}
		if best < 0 || outranks(text, members[i].Host.Name, members[best].Host.Name) {
			best = i
		}
	}
	if best < 0 {
		return core.Host{}, false
	}
	return members[best].Host, true
}

// isEligible reports whether a member may own a key created at the given time. For a key without
// a time only the current state of the member counts: the owner accepts such a key only if
// Ownership.Since is at least a Retention ago, see Table.checkNew.
func isEligible(m core.Member, created time.Time, hasTime bool) bool {
	if m.EligibleAt == 0 || m.State >= core.MemberDead {
		return false
	}
	if !hasTime {
		return m.State != core.MemberLeaving
	}
	return m.EligibleAt <= created.UnixMilli() && (m.LeavingAt == 0 || created.UnixMilli() < m.LeavingAt)
}

// OwnedSince returns the time since which self has owned a key with regard to departures: the
// latest one of a process that outranks self. From a planned one, which needs no allowance for
// clocks, it deducts the ownershipMargin that the table adds.
func OwnedSince(text string, self core.HostName, departures []core.Departure) time.Time {
	var since time.Time
	for _, departure := range departures {
		if !outranks(text, departure.Host, self) {
			continue
		}
		at := departure.At
		if departure.IsPlanned {
			at = at.Add(-ownershipMargin)
		}
		if at.After(since) {
			since = at
		}
	}
	return since
}

// outranks reports whether host takes precedence over other as owner of a key.
func outranks(text string, host, other core.HostName) bool {
	hostScore, otherScore := score(text, host), score(text, other)
	if hostScore != otherScore {
		return hostScore > otherScore
	}
	return host < other
}

func score(text string, host core.HostName) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(host))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(text)
	return digest.Sum64()
}
