package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/poison"
)

var start = time.Unix(1_700_000_000, 0)

// lost returns the loss of a request with a process.
func lost(request, instance string) core.LostRequest {
	head := poison.Head{
		Method: "GET",
		Host:   "mesh.test",
		Target: request,
		Caller: "netbook",
	}
	return core.LostRequest{
		Fingerprint: poison.NewHash(head).Fingerprint(),
		Shape:       head.Shape(),
		Instance:    instance,
	}
}

// TestVerdicts guards against a request that crashes upstreams without being quarantined, and one that
// is although it merely ran beside such a request, or beside several.
func TestVerdicts(t *testing.T) {
	const (
		none        = core.VerdictNone
		suspect     = core.VerdictSuspect
		quarantined = core.VerdictQuarantined
	)
	for _, tc := range []struct {
		name string
		// crashes has the requests that ran on each process as it ended.
		crashes [][]string
		// answered are requests that an upstream has answered after all crashes.
		answered []string
		want     map[string]core.Verdict
	}{
		{name: "one crash", crashes: [][]string{{"a", "b"}}, want: map[string]core.Verdict{"a": suspect, "b": suspect, "c": none}},
		{name: "two crashes", crashes: [][]string{{"a"}, {"a"}}, want: map[string]core.Verdict{"a": suspect}},
		{name: "three crashes", crashes: [][]string{{"a"}, {"a"}, {"a"}}, want: map[string]core.Verdict{"a": quarantined}},
		{name: "beside it once", crashes: [][]string{{"a", "x"}, {"a", "y"}, {"a", "z"}}, want: map[string]core.Verdict{"a": quarantined, "x": none, "y": none}},
		{name: "beside it twice", crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a"}}, want: map[string]core.Verdict{"a": quarantined, "x": none}},
		{name: "always together", crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, want: map[string]core.Verdict{"a": suspect, "x": suspect}},
		{name: "told apart by an answer", crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}}, answered: []string{"x"}, want: map[string]core.Verdict{"a": quarantined, "x": none}},
		{name: "told apart by a further crash", crashes: [][]string{{"a", "x"}, {"a", "x"}, {"a", "x"}, {"a"}}, want: map[string]core.Verdict{"a": quarantined, "x": none}},
		{name: "beside two of them", crashes: [][]string{{"a", "x"}, {"a"}, {"a"}, {"b", "x"}, {"b", "x"}, {"b"}, {"b"}}, want: map[string]core.Verdict{"a": quarantined, "b": quarantined, "x": none}},
		{name: "another crash as well", crashes: [][]string{{"a", "x"}, {"a"}, {"a"}, {"x"}}, want: map[string]core.Verdict{"a": quarantined, "x": suspect}},
		{name: "answered", crashes: [][]string{{"a"}, {"a"}, {"a"}}, answered: []string{"a"}, want: map[string]core.Verdict{"a": none}},
		{name: "two at once for long", crashes: [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}, {"a", "b"}}, want: map[string]core.Verdict{"c": none}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var all []core.LostRequest
			for i, requests := range tc.crashes {
				for _, request := range requests {
					all = append(all, lost(request, fmt.Sprint(i)))
				}
			}
			// Whatever the order in which they are learned, the verdicts are the same.
			for seed := range uint64(5) {
				table := poison.NewTable()
				rand.New(rand.NewPCG(seed, 0)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
				for i := range all {
					c.Assert(table.Merge(start, all[i:i+1]), qt.IsTrue)
				}
				for _, request := range tc.answered {
					c.Assert(table.Clear(lost(request, "").Fingerprint), qt.IsTrue)
				}
				for request, want := range tc.want {
					c.Check(table.Verdict(lost(request, "").Fingerprint), qt.Equals, want, qt.Commentf("%s", request))
					c.Check(table.Shapes()[lost(request, "").Shape], qt.Equals, want != none)
				}
			}
		})
	}
}

// TestTablesAgree guards against daemons that know the same and differ in what they do: whichever way
// losses and answers reach them, equal digests mean equal verdicts.
func TestTablesAgree(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	tables := []*poison.Table{poison.NewTable(), poison.NewTable(), poison.NewTable()}
	for range 400 {
		table := tables[random.IntN(len(tables))]
		request := lost(fmt.Sprint(random.IntN(8)), fmt.Sprint(random.IntN(12)))
		switch random.IntN(3) {
		case 0:
			table.Merge(start, []core.LostRequest{request})
		case 1:
			table.Clear(request.Fingerprint)
		default:
			table.Merge(start, tables[random.IntN(len(tables))].Since(start, 0))
		}
	}
	for range 2 {
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(start, from.Since(start, 0))
			}
		}
	}
	for _, table := range tables[1:] {
		c.Assert(table.Digest(), qt.Equals, tables[0].Digest())
		c.Assert(table.Quarantined(), qt.DeepEquals, tables[0].Quarantined())
	}
}

// TestTableIsBounded guards against memory that grows with the number of lost requests, a quarantined
// request that is forgotten because of it, and losses that count for good.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := poison.NewTable()
	for i := range 3 {
		table.Merge(start, []core.LostRequest{lost("a", fmt.Sprint(i))})
	}
	for i := range 1500 {
		table.Merge(start.Add(time.Duration(i)*time.Millisecond), []core.LostRequest{lost(fmt.Sprint("x", i), fmt.Sprint("i", i))})
	}
	now := start.Add(5 * time.Second)
	c.Assert(len(table.Since(now, 0)) <= 512, qt.IsTrue, qt.Commentf("%d", len(table.Since(now, 0))))
	c.Assert(table.Verdict(lost("a", "").Fingerprint), qt.Equals, core.VerdictQuarantined)
	c.Assert(table.Verdict(lost("x1499", "").Fingerprint), qt.Equals, core.VerdictSuspect)
	table.Expire(now.Add(30 * time.Minute))
	c.Assert(len(table.Since(now, 0)), qt.Equals, 3)
	c.Assert(table.Verdict(lost("a", "").Fingerprint), qt.Equals, core.VerdictQuarantined)
	table.Expire(now.Add(time.Hour))
	c.Assert(table.Digest(), qt.Equals, uint64(0))
}

// TestFingerprint guards against requests that are taken for others, and one that is not recognized
// because its body comes in other pieces.
func TestFingerprint(t *testing.T) {
	c := qt.New(t)
	of := func(head poison.Head, pieces ...string) core.Fingerprint {
		hash := poison.NewHash(head)
		for _, piece := range pieces {
			_, _ = hash.Write([]byte(piece))
		}
		return hash.Fingerprint()
	}
	head := poison.Head{Method: "POST", Host: "h", Target: "/p?q=1", Caller: "s"}
	c.Assert(of(head, "body"), qt.Equals, of(head, "b", "", "ody"))
	seen := map[core.Fingerprint]bool{of(head, "body"): true}
	for _, other := range []poison.Head{
		{Method: "PUT", Host: "h", Target: "/p?q=1", Caller: "s"},
		{Method: "POST", Host: "h2", Target: "/p?q=1", Caller: "s"},
		{Method: "POST", Host: "h", Target: "/p?q=2", Caller: "s"},
		{Method: "POST", Host: "h", Target: "/p?q=1", Caller: "t"},
		{Method: "POST", Host: "h/p", Target: "?q=1", Caller: "s"},
	} {
		c.Assert(other.Shape() == head.Shape(), qt.IsFalse)
		c.Assert(seen[of(other, "body")], qt.IsFalse)
		seen[of(other, "body")] = true
	}
	c.Assert(seen[of(head, "bodz")], qt.IsFalse)
	c.Assert(seen[of(head)], qt.IsFalse)
	long := make([]byte, poison.MaxBodyBytes+10)
	c.Assert(of(head, string(long)), qt.Equals, of(head, string(long[:poison.MaxBodyBytes])))
}
