package dedup_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/dedup"
)

var start = time.UnixMilli(1_800_000_000_000)

// owned is a time at which a table started at start has been owner for longer than Retention.
var owned = start.Add(time.Hour)

var owner = dedup.Ownership{
	IsOwner: true,
	Lease:   start.Add(24 * time.Hour),
	Since:   start,
}

// keyAt returns a key created at the given offset from owned.
func keyAt(after time.Duration) string {
	return fmt.Sprintf("%d-x", owned.Add(after).UnixMilli())
}

func claim(table *dedup.Table, now time.Time, key string, ownership dedup.Ownership) dedup.Decision {
	request := dedup.Request{
		Key: dedup.Key{Text: key},
	}
	return table.Claim(now, request, ownership)
}

// TestClaimRules guards against an owner that runs a request that another owner may have run,
// and against an old key that counts as new.
func TestClaimRules(t *testing.T) {
	since := func(after time.Duration) dedup.Ownership {
		return dedup.Ownership{IsOwner: true, Lease: owner.Lease, Since: owned.Add(after)}
	}
	cases := []struct {
		name      string
		key       string
		ownership dedup.Ownership
		want      core.ErrorKind
	}{
		{"new key", keyAt(0), owner, ""},
		{"caller's clock ahead", keyAt(dedup.ClockSkew), owner, ""},
		{"key from the future", keyAt(dedup.ClockSkew + time.Millisecond), owner, core.BadRequest},
		{"key at the end of the retention", keyAt(-dedup.Retention), owner, core.OutcomeUnknown},
		{"key just within the retention", keyAt(-dedup.Retention + time.Millisecond), owner, ""},
		{"not the owner", keyAt(0), dedup.Ownership{Lease: owner.Lease, Since: start}, core.NotOwner},
		{"lease expired", keyAt(0), dedup.Ownership{IsOwner: true, Lease: owned, Since: start}, core.NotOwner},
		{"ownership began after the key was created", keyAt(0), since(time.Millisecond), core.OutcomeUnknown},
		{"ownership began before the key, but within the margin for clocks", keyAt(0), since(-2*dedup.ClockSkew + time.Millisecond), core.OutcomeUnknown},
		{"ownership began before the key by the margin for clocks", keyAt(0), since(-2 * dedup.ClockSkew), ""},
		{"future key of a new owner", keyAt(time.Second), since(time.Second), core.OutcomeUnknown},
		{"key without a time, long-standing owner", "6f1c-9a", owner, ""},
		{"UUID that begins with 8 digits", "12345678-1234-4000-8000-123456789abc", owner, ""},
		{"key without a time, owner for no longer than the retention", "6f1c-9a", since(-dedup.Retention), core.OutcomeUnknown},
		{"key longer than MaxKeyLength", strings.Repeat("x", dedup.MaxKeyLength+1), owner, core.BadRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := dedup.NewTable(dedup.Config{}, start)
			decision := claim(table, owned, test.key, test.ownership)
			qt.Check(t, decision.Kind, qt.Equals, test.want)
			qt.Check(t, decision.Verdict == dedup.Run, qt.Equals, test.want == "")
		})
	}
	t.Run("key created no later than JoinDelay after the start of the process", func(t *testing.T) {
		table := dedup.NewTable(dedup.Config{}, owned)
		key := keyAt(dedup.JoinDelay)
		decision := claim(table, owned.Add(dedup.JoinDelay), key, owner)
		qt.Check(t, decision.Kind, qt.Equals, core.OutcomeUnknown)
	})
}

// TestBounds guards against a key that is dropped within its retention, kept forever, or counts
// as new after the clock was set back, and against unbounded memory for keys and answers.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	table := dedup.NewTable(dedup.Config{MaxKeys: 2, MaxBytes: 10}, start)
	first, second := keyAt(0), keyAt(time.Millisecond)
	c.Assert(claim(table, owned, first, owner).Verdict, qt.Equals, dedup.Run)
	c.Assert(claim(table, owned, second, owner).Verdict, qt.Equals, dedup.Run)
	c.Assert(claim(table, owned, keyAt(2*time.Millisecond), owner).Kind, qt.Equals, core.Overloaded)
	table.Complete(dedup.Key{Text: first}, &dedup.Answer{Status: 201, IsComplete: true, Body: make([]byte, 8)})
	table.Complete(dedup.Key{Text: second}, &dedup.Answer{Status: 202, IsComplete: true, Body: make([]byte, 8)})
	kept := claim(table, owned, first, owner)
	c.Assert(kept.Verdict, qt.Equals, dedup.Recorded)
	c.Assert(kept.Answer.Body, qt.HasLen, 8)
	dropped := claim(table, owned, second, dedup.Ownership{})
	c.Assert(dropped.Verdict, qt.Equals, dedup.Recorded)
	c.Assert(*dropped.Answer, qt.DeepEquals, dedup.Answer{Status: 202})

	last := owned.Add(dedup.Retention - time.Millisecond)
	c.Assert(claim(table, last, first, owner).Verdict, qt.Equals, dedup.Recorded)
	end := owned.Add(dedup.Retention + time.Millisecond)
	c.Assert(claim(table, end, first, owner).Kind, qt.Equals, core.OutcomeUnknown)
	c.Assert(table.Len(), qt.Equals, 0)
	c.Assert(claim(table, owned, first, owner).Kind, qt.Equals, core.OutcomeUnknown)
}

// TestJoin guards against a duplicate that runs concurrently with the first request, that keeps
// waiting after it has ended, or that gets the answer of a different request.
func TestJoin(t *testing.T) {
	c := qt.New(t)
	table := dedup.NewTable(dedup.Config{}, start)
	request := dedup.Request{Key: dedup.Key{Tenant: "a", Text: keyAt(0)}, Fingerprint: 1, Waiter: "first"}
	c.Assert(table.Claim(owned, request, owner).Verdict, qt.Equals, dedup.Run)
	other := request
	other.Fingerprint = 2
	c.Assert(table.Claim(owned, other, owner).Kind, qt.Equals, core.BadRequest)
	other = request
	other.Key.Tenant = "b"
	c.Assert(table.Claim(owned, other, owner).Verdict, qt.Equals, dedup.Run)
	for _, waiter := range []string{"second", "third"} {
		request.Waiter = waiter
		c.Assert(table.Claim(owned, request, owner).Verdict, qt.Equals, dedup.Wait)
	}
	c.Assert(table.Abandon(request.Key, "second"), qt.IsTrue)
	c.Assert(table.Abandon(request.Key, "second"), qt.IsFalse)
	resolved := table.Release(request.Key, core.Cold, "")
	c.Assert(resolved.Waiters, qt.DeepEquals, []any{"third"})
	c.Assert(resolved.Decision.Kind, qt.Equals, core.Cold)
	c.Assert(table.Claim(owned, request, owner).Verdict, qt.Equals, dedup.Run)
	c.Assert(table.Complete(request.Key, nil).Decision.Kind, qt.Equals, core.OutcomeUnknown)
	c.Assert(table.Claim(owned, request, owner).Kind, qt.Equals, core.OutcomeUnknown)
	c.Assert(table.Release(request.Key, core.Cold, "").Waiters, qt.HasLen, 0)
	c.Assert(table.Claim(owned, request, owner).Kind, qt.Equals, core.OutcomeUnknown)
}

// TestOwner guards against daemons that disagree on the owner because their member lists are
// ordered differently, against uneven shares, against the removal of a member that moves keys of
// the others, and against keys owned by a leaving member.
func TestOwner(t *testing.T) {
	c := qt.New(t)
	members := []core.Member{
		{Host: core.Host{Name: "h1"}, EligibleAt: 1},
		{Host: core.Host{Name: "h2"}, EligibleAt: 1, State: core.MemberSuspect},
		{Host: core.Host{Name: "h3"}, EligibleAt: 1},
		{Host: core.Host{Name: "h4"}, EligibleAt: 1, State: core.MemberLeaving, LeavingAt: 1},
	}
	counts := map[core.HostName]int{}
	for i := range 3000 {
		key := keyAt(time.Duration(i) * time.Millisecond)
		host, ok := dedup.Owner(key, members)
		c.Assert(ok, qt.IsTrue)
		counts[host.Name]++
		reversed, _ := dedup.Owner(key, []core.Member{members[3], members[2], members[1], members[0]})
		c.Assert(reversed, qt.Equals, host)
		without, _ := dedup.Owner(key, members[:2])
		c.Assert(host.Name == "h3" || without == host, qt.IsTrue)
	}
	c.Assert(counts, qt.HasLen, 3)
	for name, count := range counts {
		c.Assert(count > 900 && count < 1100, qt.IsTrue, qt.Commentf("%s owns %d", name, count))
	}
	_, ok := dedup.Owner("k", members[3:])
	c.Assert(ok, qt.IsFalse)
}

// TestOwnerDependsOnKeyTime guards against two owners of one key while some daemons know of a
// joining or leaving member and others do not yet: for keys created before the announced time,
// the owner must be the same with and without the member.
func TestOwnerDependsOnKeyTime(t *testing.T) {
	c := qt.New(t)
	change := start.Add(time.Minute)
	stable := core.Member{Host: core.Host{Name: "h1"}, EligibleAt: 1}
	joining := core.Member{Host: core.Host{Name: "h2"}, EligibleAt: change.UnixMilli()}
	leaving := core.Member{Host: core.Host{Name: "h2"}, EligibleAt: 1, State: core.MemberLeaving, LeavingAt: change.UnixMilli()}
	handedOver := 0
	for i := range 400 {
		before := fmt.Sprintf("%d-%d", change.UnixMilli()-1, i)
		after := fmt.Sprintf("%d-%d", change.UnixMilli(), i)
		c.Assert(ownerOf(before, stable, joining), qt.Equals, core.HostName("h1"))
		c.Assert(ownerOf(after, stable, leaving), qt.Equals, core.HostName("h1"))
		if ownerOf(after, stable, joining) == "h2" {
			handedOver++
			since := dedup.OwnedSince(after, "h1", []core.Departure{{Host: "h2", At: change}})
			c.Assert(since, qt.Equals, change)
		} else {
			c.Assert(dedup.OwnedSince(after, "h1", []core.Departure{{Host: "h2", At: change}}).IsZero(), qt.IsTrue)
		}
	}
	c.Assert(handedOver > 150 && handedOver < 250, qt.IsTrue)
}

func ownerOf(key string, members ...core.Member) core.HostName {
	host, _ := dedup.Owner(key, members)
	return host.Name
}
