package snap_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/zstd"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

// TestApplyRejects guards against applying a slice that was damaged, forged, restricted to
// another region or taken from another history.
func TestApplyRejects(t *testing.T) {
	c := qt.New(t)
	before, _, whole, _ := foldAll(c, `add.tenant = [{name = "a"}, {name = "b", homeRegions = ["canterbury"]}, {name = "c", homeRegions = ["otago"]}]`)
	_, _, refused, _ := foldAll(c, `broken`)
	current := snap.ForRegion(before, "otago")
	restricted := snap.Restrict(whole, "otago")
	c.Assert(restricted.Parts, qt.HasLen, 3)
	for _, valid := range []core.Slice{restricted, refused} {
		_, err := snap.Apply(current, valid)
		c.Assert(err, qt.IsNil)
	}
	for _, test := range []struct {
		name   string
		base   core.Slice
		change func(*core.Slice)
		kind   core.ErrorKind
		detail string
	}{
		{"gap", restricted, func(s *core.Slice) { s.Version = 3 }, core.PeerMalformed, "cannot follow"},
		{"other note under the same version", restricted, func(s *core.Slice) { s.Version = 1 }, core.PeerFork, "version 1 has hash"},
		{"other history", restricted, func(s *core.Slice) { s.PreviousHash[0]++ }, core.PeerFork, "follows hash"},
		{"chain hash", restricted, func(s *core.Slice) { s.Hash[0]++ }, core.PeerMalformed, "chain hash"},
		{"digest", restricted, func(s *core.Slice) { s.Parts[0].Digest[0]++ }, core.PeerMalformed, "chain hash"},
		{"verdict of an accepted note", restricted, func(s *core.Slice) { s.Verdict = core.NoteField }, core.PeerMalformed, "chain hash"},
		{"no parts", restricted, func(s *core.Slice) { s.Parts = nil }, core.PeerMalformed, "chain hash"},
		{"contents differ from the digest", restricted, func(s *core.Slice) { s.Parts[0].Contents = []byte("{}") }, core.PeerMalformed, "does not match its digest"},
		{"contents missing", restricted, func(s *core.Slice) { s.Parts[2].Contents = nil }, core.PeerMalformed, "contents present is false"},
		{"contents of other regions", whole, func(*core.Slice) {}, core.PeerMalformed, "contents present is true"},
		{"verdict of an unknown kind", refused, func(s *core.Slice) { s.Verdict = "noteOdd"; rehash(s) }, core.PeerMalformed, "unknown verdict"},
		{"verdict of another kind", refused, func(s *core.Slice) { s.Verdict = core.Cold; rehash(s) }, core.PeerMalformed, "unknown verdict"},
		{"reason too long", refused, func(s *core.Slice) { s.Reason = strings.Repeat("x", 1<<10) }, core.PeerMalformed, "reason over 512 bytes"},
		{"reason without verdict", restricted, func(s *core.Slice) { s.Reason = "x" }, core.PeerMalformed, "reason without verdict"},
		{"parts out of order", restricted, func(s *core.Slice) { slices.Reverse(s.Parts); rehash(s) }, core.PeerMalformed, "not sorted"},
		{"not canonical", restricted, forge(`{"put":{}, "drop":{}}`), core.PeerMalformed, "canonical"},
		{"two values", restricted, forge(`{"put":{},"drop":{}}{}`), core.PeerMalformed, "more than one"},
		{"unknown field", restricted, forge(`{"put":{},"drop":{},"x":1}`), core.PeerMalformed, "unknown field"},
		{"value out of range", restricted, forge(`{"put":{"tenant":[{"name":"a b"}]},"drop":{}}`), core.PeerMalformed, "must be 1 to 63"},
		{"resource in a part of other home regions", restricted, forge(`{"put":{"tenant":[{"name":"x","homeRegions":["otago"]}]},"drop":{}}`), core.PeerMalformed, "holds a resource of [otago]"},
		{"availability zone in a part with home regions", restricted, forgePart(2, `{"put":{},"drop":{},"takeOut":["c1"]}`), core.PeerMalformed, "holds a region or availability zone"},
		{"drop of a missing resource", restricted, forge(`{"put":{},"drop":{"tenant":["x"]}}`), core.PeerMalformed, "which does not exist"},
		{"dangling reference", restricted, forge(`{"put":{},"drop":{"service":["netbook"]}}`), core.PeerMalformed, "route/nets.service: must be a service"},
		{"availability zone that does not exist", restricted, forge(`{"put":{},"drop":{},"takeOut":["x"]}`), core.PeerMalformed, "availabilityZone/x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			forged := test.base
			forged.Parts = slices.Clone(test.base.Parts)
			test.change(&forged)
			next, err := snap.Apply(current, forged)
			c.Assert(core.KindOf(err), qt.Equals, test.kind, qt.Commentf("%v", err))
			c.Assert(err.Error(), qt.Contains, test.detail)
			c.Assert(next, qt.IsNil)
		})
	}
}

// forge replaces the contents of the part without home regions and recomputes digest and chain
// hash, like a sender with a bug.
func forge(contents string) func(*core.Slice) {
	return forgePart(0, contents)
}

func forgePart(index int, contents string) func(*core.Slice) {
	return func(s *core.Slice) {
		s.Parts[index].Contents = []byte(contents)
		s.Parts[index].Digest = sha256.Sum256(s.Parts[index].Contents)
		rehash(s)
	}
}

func rehash(s *core.Slice) {
	s.Hash = snap.ChainHash(*s)
}

// TestChainHashCoversFields guards against two different slices with the same chain hash.
func TestChainHashCoversFields(t *testing.T) {
	c := qt.New(t)
	base := func() core.Slice {
		return core.Slice{Version: 2, Verdict: core.NoteField, Parts: []core.Part{{HomeRegions: []core.Region{"a", "b"}}, {HomeRegions: []core.Region{"c"}}}}
	}
	seen := map[core.Hash]int{}
	for i, change := range []func(*core.Slice){
		func(*core.Slice) {},
		func(s *core.Slice) { s.Version++ },
		func(s *core.Slice) { s.PreviousHash[31]++ },
		func(s *core.Slice) { s.Verdict = core.NoteSize },
		func(s *core.Slice) { s.Parts = s.Parts[:1] },
		func(s *core.Slice) { s.Parts[1].Digest[31]++ },
		func(s *core.Slice) { s.Parts[1].HomeRegions = []core.Region{"d"} },
		func(s *core.Slice) { s.Parts[0].HomeRegions = []core.Region{"ab"} },
		func(s *core.Slice) { s.Parts[0].HomeRegions = []core.Region{"a"} },
	} {
		changed := base()
		change(&changed)
		hash := snap.ChainHash(changed)
		_, known := seen[hash]
		c.Check(known, qt.IsFalse, qt.Commentf("change %d has the hash of change %d", i, seen[hash]))
		seen[hash] = i
	}
}

// TestRegionIsolation guards against showing the resources of one region to another.
func TestRegionIsolation(t *testing.T) {
	c := qt.New(t)
	full, slice := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	otago := snap.ForRegion(full, "otago")
	c.Assert(snap.ForRegion(otago, "canterbury"), qt.IsNil)
	c.Assert(snap.ForRegion(otago, "otago"), qt.Equals, otago)
	c.Assert(snap.ForRegion(full, "").Tenants, qt.HasLen, 0)
	for _, part := range snap.Restrict(slice, "").Parts {
		c.Assert(part.Contents == nil, qt.Equals, len(part.HomeRegions) > 0)
	}
	mislabelled := *full
	mislabelled.Region = "canterbury"
	c.Assert(snap.Check(&mislabelled), qt.ErrorMatches, "peerMalformed: .*is not for region canterbury")
}

// TestDecodeBounds guards against an input that makes a daemon with 64 MB of memory run out of it.
func TestDecodeBounds(t *testing.T) {
	c := qt.New(t)
	writer, err := zstd.NewWriter(nil)
	c.Assert(err, qt.IsNil)
	for name, plain := range map[string]string{
		"spaces":        strings.Repeat(" ", 64<<20),
		"depth":         strings.Repeat("[", 4<<20-1),
		"objects":       `{"resources":{"route":[{}` + strings.Repeat(",{}", 1<<20) + `]}}`,
		"fewer objects": `{"resources":{"route":[{}` + strings.Repeat(",{}", 32000) + `]}}`,
		"items":         `{"out":[""` + strings.Repeat(`,""`, 1<<20) + `]}`,
		"fewer items":   `{"out":[""` + strings.Repeat(`,""`, 320000) + `]}`,
		"versions":      `{"changed":["limit/a 1"` + strings.Repeat(`,"limit/a 1"`, 300000) + `]}`,
	} {
		input := writer.EncodeAll([]byte(plain), nil)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err = snap.Decode(input)
		runtime.ReadMemStats(&after)
		c.Check(core.KindOf(err), qt.Equals, core.PeerMalformed, qt.Commentf("%s", name))
		// Half of the memory target of a daemon, including garbage.
		allocated := after.TotalAlloc - before.TotalAlloc
		c.Check(allocated < 32<<20, qt.IsTrue, qt.Commentf("decoding %s allocated %d bytes", name, allocated))
	}
	_, err = snap.Decode(bytes.Repeat([]byte("x"), 5<<20))
	c.Check(core.KindOf(err), qt.Equals, core.PeerMalformed)
}

// TestSizeBound guards against a configuration that does not fit into a checkpoint, against a
// bound far below what fits, and against refusing a note that shrinks a configuration at the bound.
func TestSizeBound(t *testing.T) {
	c := qt.New(t)
	_, full, _, _ := foldAll(c)
	var slice core.Slice
	for batch := range 12 {
		next, folded := snap.Fold(full, full.Version+1, routeBatch(full.Version+1, batch), received)
		if folded.Verdict == "" {
			_, err := note.EncodeCheckpoint(snap.ToCheckpoint(next))
			c.Assert(err, qt.IsNil)
			_, err = snap.Encode(next)
			c.Assert(err, qt.IsNil)
		}
		full, slice = next, folded
	}
	c.Assert(slice.Verdict, qt.Equals, core.NoteSize)
	c.Assert(len(full.Routes) > 1500, qt.IsTrue, qt.Commentf("%d routes", len(full.Routes)))
	shrink := fmt.Appendf(nil, "version = %d\nagainst = %d\nwithdraw.route = ['b0r0']\n", full.Version+1, full.Version)
	full, _ = snap.Fold(full, full.Version+1, shrink, received)
	c.Assert(full.Refused[len(full.Refused)-1].Version < full.Version, qt.IsTrue)
}

// routeBatch returns a note that adds 200 routes.
func routeBatch(version core.Version, batch int) []byte {
	written := core.Note{Version: version, Against: version - 1}
	for i := range 200 {
		written.Add.Routes = append(written.Add.Routes, core.RouteSpec{
			Name:       core.RouteName(fmt.Sprintf("b%dr%d", batch, i)),
			Host:       "netbook.example",
			PathPrefix: fmt.Sprintf("/%d/%d/%s", batch, i, strings.Repeat("'", 200)),
			Methods:    []string{"GET", "HEAD"},
			Service:    "netbook",
			Class:      core.ClassLookup,
			Timeout:    core.Duration(3599999000000),
		})
	}
	return encodeNote(written)
}

// TestTombstones guards against a list of withdrawn names that grows without bound, and against
// an accepted add that conflicts with a withdrawal whose tombstone has expired.
func TestTombstones(t *testing.T) {
	c := qt.New(t)
	_, full, _, _ := foldAll(c, `withdraw.limit = ["netsLimit"]`)
	add := func(against core.Version) core.ErrorKind {
		text := fmt.Appendf(nil, "version = %d\nagainst = %d\n", full.Version+1, against)
		text = append(text, `add.limit = [{name = "netsLimit", tenant = "crew", requestsPerSecond = 1, burst = 1, concurrent = 1}]`...)
		_, slice := snap.Fold(full, full.Version+1, text, received)
		return slice.Verdict
	}
	for full.Version < 1100 {
		text := fmt.Appendf(nil, "version = %d\nagainst = %d\ntakeOut = ['c1']\n", full.Version+1, full.Version)
		full, _ = snap.Fold(full, full.Version+1, text, received)
		c.Assert(add(1), qt.Equals, core.NoteConflict)
	}
	c.Assert(full.Changed["limit/netsLimit"], qt.Equals, core.Version(0))
	c.Assert(add(full.Version), qt.Equals, core.ErrorKind(""))
}
