package snap_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

const firstNote = `version = 1
against = 0
add.region = [
  {name = "canterbury", availabilityZones = ["c1", "c2"]},
  {name = "otago", availabilityZones = ["o1"]},
]
add.service = [
  {name = "netbook", slots = 18, connections = 130, coldSlots = 2},
  {name = "vault", slots = 18, connections = 130, coldSlots = 2, homeRegions = ["otago"]},
]
add.tenant = [{name = "crew", homeRegions = ["otago"]}]
add.route = [
  {name = "nets", host = "a", pathPrefix = "/nets", methods = ["GET", "HEAD"], service = "netbook", class = "lookup", timeout = "1s"},
  {name = "crewNets", host = "a", pathPrefix = "/nets", methods = ["GET"], tenant = "crew", service = "vault", class = "lookup", timeout = "1s", homeRegions = ["otago"]},
]
add.limit = [{name = "netsLimit", route = "nets", requestsPerSecond = 10, burst = 1, concurrent = 1}]
`

const plainRoute = `host = "b", pathPrefix = "/", methods = ["GET"], class = "lookup", timeout = "1s"`

// foldAll folds notes after firstNote and adds version and against where they are missing. The
// results belong to the last note; cause is the error of ValidateNote.
func foldAll(c *qt.C, notes ...string) (before, after *core.Snapshot, slice core.Slice, cause error) {
	before, _ = snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	c.Assert(before.Refused, qt.HasLen, 0)
	after = before
	for _, text := range notes {
		before = after
		version := before.Version + 1
		if !strings.Contains(text, "version") {
			text = fmt.Sprintf("version = %d\n%s", version, text)
		}
		if !strings.Contains(text, "against") {
			text = fmt.Sprintf("against = %d\n%s", version-1, text)
		}
		cause = snap.ValidateNote(before, version, []byte(text))
		after, slice = snap.Fold(before, version, []byte(text), received)
	}
	return before, after, slice, cause
}

// TestFoldRules guards against a note that violates a rule of section 5.3 of the design page and
// still changes the configuration, and against a valid note that is refused.
func TestFoldRules(t *testing.T) {
	for _, test := range []struct {
		name   string
		notes  []string
		kind   core.ErrorKind
		detail string
	}{
		{"syntax", []string{`add = `}, core.NoteSyntax, `line 3, column 6: `},
		{"unknown field", []string{`add.route = [{nam = "x"}]`}, core.NoteField, `add.route[0].nam: is not a known field`},
		{"out of range", []string{`add.tenant = [{name = "a b"}]`}, core.NoteField, `add.tenant[0].name: "a b": must be 1 to 63 letters`},
		{"size", []string{`comment = "` + strings.Repeat("x", 1<<20) + `"`}, core.NoteSize, `1048612 bytes: must be at most 1048576 bytes`},
		{"version differs from key", []string{`version = 3`}, core.NoteNumber, `version: 3: must be 2, the number in the key`},
		{"against not less", []string{`against = 2`}, core.NoteNumber, `against: 2: must be less than version 2`},
		{"race on one resource", []string{`change.tenant = [{name = "crew"}]`, "against = 1\n" + `change.tenant = [{name = "crew", homeRegions = ["otago"]}]`},
			core.NoteConflict, `change.tenant[0]: "crew": was changed in version 2, after version 1 that the note is written against`},
		{"race on one resource refuses the whole note", []string{`withdraw.limit = ["netsLimit"]`, "against = 1\n" + `add.tenant = [{name = "x"}]` + "\n" + `withdraw.limit = ["netsLimit"]`},
			core.NoteConflict, `withdraw.limit[0]: "netsLimit": was changed in version 2`},
		{"race of two adds", []string{`add.tenant = [{name = "x"}]`, "against = 1\n" + `add.tenant = [{name = "x"}]`},
			core.NoteConflict, `add.tenant[0]: "x": was changed in version 2`},
		{"race with a withdrawal", []string{`withdraw.limit = ["netsLimit"]`, "against = 1\n" + `add.limit = [{name = "netsLimit", tenant = "crew", requestsPerSecond = 1, burst = 1, concurrent = 1}]`},
			core.NoteConflict, `add.limit[0]: "netsLimit": was changed in version 2`},
		{"race on an availability zone", []string{`takeOut = ["c1"]`, "against = 1\n" + `bringBack = ["c1"]`}, core.NoteConflict, `bringBack[0]: "c1": was changed in version 2`},
		{"race on a limit that moved with its tenant", []string{
			`add.limit = [{name = "l", tenant = "crew", requestsPerSecond = 1, burst = 1, concurrent = 1}]`,
			`change.tenant = [{name = "crew", homeRegions = ["canterbury", "otago"]}]`,
			"against = 2\n" + `withdraw.limit = ["l"]`}, core.NoteConflict, `withdraw.limit[0]: "l": was changed in version 3`},
		{"no race on different resources", []string{`change.tenant = [{name = "crew"}]`, "against = 1\n" + `withdraw.limit = ["netsLimit"]`}, "", ""},
		{"no race with a refused note", []string{`withdraw.tenant = ["crew"]`, "against = 1\n" + `change.tenant = [{name = "crew"}]`}, "", ""},
		{"add of an existing resource", []string{`add.tenant = [{name = "crew"}]`}, core.NoteExists, `add.tenant[0]: "crew": exists already; use change instead of add`},
		{"change of a missing resource", []string{`change.tenant = [{name = "x"}]`}, core.NoteMissing, `change.tenant[0]: "x": does not exist`},
		{"withdrawal of a missing resource", []string{`withdraw.route = ["nets2"]`}, core.NoteMissing, `withdraw.route[0]: "nets2": does not exist`},
		{"missing availability zone", []string{`takeOut = ["c9"]`}, core.NoteMissing, `takeOut[0]: "c9": does not exist`},
		{"route to a missing service", []string{`add.route = [{name = "r", service = "x", ` + plainRoute + `}]`}, core.NoteReference, `add.route[0].service: "x": must be a service of the configuration`},
		{"route to a missing tenant", []string{`add.route = [{name = "r", service = "netbook", tenant = "x", ` + plainRoute + `}]`}, core.NoteReference, `add.route[0].tenant: "x": must be a tenant`},
		{"route to a missing region", []string{`add.route = [{name = "r", service = "netbook", homeRegions = ["x"], ` + plainRoute + `}]`}, core.NoteRegion, `add.route[0].homeRegions: "x": must be a region`},
		{"service in a missing region", []string{`change.service = [{name = "netbook", slots = 1, connections = 1, coldSlots = 1, homeRegions = ["x"]}]`}, core.NoteRegion, `change.service[0].homeRegions: "x"`},
		{"limit of a missing route", []string{`add.limit = [{name = "l", route = "x", requestsPerSecond = 1, burst = 1, concurrent = 1}]`}, core.NoteReference, `add.limit[0].route: "x": must be a route`},
		{"limit of a missing tenant", []string{`add.limit = [{name = "l", tenant = "x", requestsPerSecond = 1, burst = 1, concurrent = 1}]`}, core.NoteReference, `add.limit[0].tenant: "x": must be a tenant`},
		{"service still used", []string{`withdraw.service = ["netbook"]`}, core.NoteReference, `withdraw.service[0]: route/nets: must stay while other resources refer to it`},
		{"tenant still used", []string{`withdraw.tenant = ["crew"]`}, core.NoteReference, `withdraw.tenant[0]: route/crewNets: must stay`},
		{"route still used", []string{`withdraw.route = ["nets"]`}, core.NoteReference, `withdraw.route[0]: limit/netsLimit: must stay`},
		{"region still used", []string{`withdraw.region = ["otago"]`}, core.NoteReference, `withdraw.region[0]: service/vault: must stay`},
		{"availability zone still out when its region is withdrawn", []string{`takeOut = ["c1"]`, `withdraw.region = ["canterbury"]`}, core.NoteReference, `withdraw.region[0]: availabilityZone/c1: must keep availability zones`},
		{"availability zone still out when it is removed from its region", []string{`takeOut = ["c1"]`, `change.region = [{name = "canterbury", availabilityZones = ["c2"]}]`}, core.NoteReference, `change.region[0]: availabilityZone/c1: must keep availability zones`},
		{"availability zone in two regions", []string{`add.region = [{name = "x", availabilityZones = ["o1"]}]`}, core.NoteOverlap, `add.region[0].availabilityZones: "otago": must not list`},
		{"route outside the home regions of its service", []string{`add.route = [{name = "r", service = "vault", homeRegions = ["canterbury", "otago"], ` + plainRoute + `}]`}, core.NoteRegion, `add.route[0].homeRegions: "vault": must be within the home regions of the route's service`},
		{"route in all regions, service in one", []string{`add.route = [{name = "r", service = "vault", ` + plainRoute + `}]`}, core.NoteRegion, `add.route[0].homeRegions: "vault"`},
		{"route outside the home regions of its tenant", []string{`add.route = [{name = "r", service = "netbook", tenant = "crew", homeRegions = ["canterbury"], ` + plainRoute + `}]`}, core.NoteRegion, `add.route[0].homeRegions: "crew": must be within the home regions of the route's tenant`},
		{"service without the home regions of its route", []string{`change.service = [{name = "vault", slots = 1, connections = 1, coldSlots = 1, homeRegions = ["canterbury"]}]`}, core.NoteRegion, `change.service[0]: route/crewNets: must keep the home regions`},
		{"route that overlaps another", []string{`add.route = [{name = "r", service = "netbook", host = "a", pathPrefix = "/nets", methods = ["POST", "HEAD"], class = "bulk", timeout = "1s"}]`}, core.NoteOverlap, `add.route[0]: "nets": must not match the same requests`},
		{"route that differs in the method only", []string{`add.route = [{name = "r", service = "netbook", host = "a", pathPrefix = "/nets", methods = ["POST"], class = "bulk", timeout = "1s"}]`}, "", ""},
		{"withdrawal together with what refers to it", []string{`withdraw = {limit = ["netsLimit"], route = ["nets"], service = ["netbook"]}`}, "", ""},
		{"availability zone brought back and removed", []string{`takeOut = ["c1"]`, `bringBack = ["c1"]` + "\n" + `change.region = [{name = "canterbury", availabilityZones = ["c2"]}]`}, "", ""},
		{"availability zone added and taken out", []string{`takeOut = ["x1"]` + "\n" + `add.region = [{name = "x", availabilityZones = ["x1"]}]`}, "", ""},
		{"availability zone removed and taken out", []string{`takeOut = ["c1"]` + "\n" + `change.region = [{name = "canterbury", availabilityZones = ["c2"]}]`}, core.NoteReference, `takeOut[0]: `},
		{"taking out twice", []string{`takeOut = ["c1"]`, `takeOut = ["c1"]`}, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			before, after, slice, cause := foldAll(c, test.notes...)
			c.Assert(slice.Verdict, qt.Equals, test.kind, qt.Commentf("%v", cause))
			c.Assert(after.Version, qt.Equals, before.Version+1)
			c.Assert(after.Hash, qt.Equals, slice.Hash)
			if test.kind == "" {
				c.Assert(cause, qt.IsNil)
				return
			}
			c.Assert(cause.Error(), qt.Contains, string(test.kind)+": "+test.detail)
			c.Assert(after.Refused[len(after.Refused)-1], qt.Equals, core.RefusedNote{Version: after.Version, Kind: test.kind, Reason: slice.Reason})
			unchanged := *after
			unchanged.Version, unchanged.Hash, unchanged.Refused = before.Version, before.Hash, before.Refused
			c.Assert(&unchanged, qt.DeepEquals, before)
		})
	}
}

// TestReasonOmitsNames guards against a reason that reveals the name of a resource with home
// regions to other regions.
func TestReasonOmitsNames(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		`add.tenant = [{name = "secret crew"}]`,
		`change.tenant = [{name = "secret"}]`,
		`add.route = [{name = "r", service = "secret", ` + plainRoute + `}]`,
		`add.route = [{name = "r", service = "netbook", homeRegions = ["secret"], ` + plainRoute + `}]`,
		`add.tenant = [{name = "secret"}, {name = "secret"}]`,
		`withdraw.tenant = ["crew"]`,
	} {
		_, _, slice, _ := foldAll(c, text)
		c.Check(slice.Verdict, qt.Not(qt.Equals), core.ErrorKind(""))
		c.Check(slice.Reason, qt.Not(qt.Matches), ".*(secret|crew).*")
	}
}

// TestReasonIsDeterministic guards against two store readers that give different reasons for a
// note with several errors, because the iteration order of maps is random.
func TestReasonIsDeterministic(t *testing.T) {
	c := qt.New(t)
	full, _ := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	text := "version = 2\nagainst = 1\nadd.tenant = ["
	for i := range 8 {
		text += fmt.Sprintf("{name = 't%d', homeRegions = ['x']},", 7-i)
	}
	for range 20 {
		_, slice := snap.Fold(full, 2, []byte(text+"]"), received)
		c.Assert(slice.Reason, qt.Equals, "add.tenant[7].homeRegions: must be a region of the configuration")
	}
}

// TestInputsNotModified guards against a Fold or Apply that modifies its snapshot, which readers
// share without locks.
func TestInputsNotModified(t *testing.T) {
	c := qt.New(t)
	full, _ := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	encoded, err := snap.Encode(full)
	c.Assert(err, qt.IsNil)
	for _, text := range []string{
		"version = 2\nagainst = 1\n" + `withdraw = {limit = ["netsLimit"], route = ["nets"]}` + "\n" + `takeOut = ["c1"]`,
		"version = 2\nagainst = 1\n" + `change.tenant = [{name = "crew", homeRegions = ["otago", "canterbury"]}]`,
		"broken",
	} {
		_, slice := snap.Fold(full, 2, []byte(text), received)
		_, err = snap.Apply(full, slice)
		c.Assert(err, qt.IsNil)
		unchanged, err := snap.Decode(encoded)
		c.Assert(err, qt.IsNil)
		c.Assert(full, qt.DeepEquals, unchanged)
	}
}

// TestMoveBetweenRegions guards against a resource that stays visible in its former home regions,
// and against an encoding that daemons of another release cannot read.
func TestMoveBetweenRegions(t *testing.T) {
	c := qt.New(t)
	before, after, slice, _ := foldAll(c,
		`add.tenant = [{name = "t", homeRegions = ["canterbury"]}]
add.route = [{name = "r", tenant = "t", service = "netbook", homeRegions = ["canterbury"], host = "b", pathPrefix = "/a&b", methods = ["GET"], class = "bulk", timeout = "1s"}]
add.limit = [{name = "l", route = "r", requestsPerSecond = 0.5, burst = 1, concurrent = 1}, {name = "m", tenant = "t", requestsPerSecond = 1, burst = 1, concurrent = 1}]`,
		`change.tenant = [{name = "t", homeRegions = ["otago"]}]
change.route = [{name = "r", tenant = "t", service = "netbook", homeRegions = ["otago"], host = "b", pathPrefix = "/a&b", methods = ["GET"], class = "bulk", timeout = "1s"}]`)
	c.Assert(slice.Verdict, qt.Equals, core.ErrorKind(""))
	contents := map[string]string{}
	for _, part := range slice.Parts {
		contents[fmt.Sprint(part.HomeRegions)] = string(part.Contents)
	}
	c.Assert(contents, qt.DeepEquals, map[string]string{
		"[canterbury]": `{"put":{},"drop":{"route":["r"],"tenant":["t"],"limit":["l","m"]}}`,
		"[otago]": `{"put":{` +
			`"route":[{"name":"r","host":"b","pathPrefix":"/a&b","methods":["GET"],"tenant":"t","service":"netbook","class":"bulk","idempotent":false,"timeout":"1s","homeRegions":["otago"]}],` +
			`"tenant":[{"name":"t","homeRegions":["otago"]}],` +
			`"limit":[{"name":"l","route":"r","requestsPerSecond":0.5,"burst":1,"concurrent":1},{"name":"m","tenant":"t","requestsPerSecond":1,"burst":1,"concurrent":1}]},"drop":{}}`,
	})
	for region, visible := range map[core.Region][2]int{"canterbury": {1, 0}, "otago": {0, 1}} {
		for i, s := range []*core.Snapshot{before, after} {
			restricted := snap.ForRegion(s, region)
			_, hasRoute := restricted.Routes["r"]
			_, hasTenant := restricted.Tenants["t"]
			_, hasLimit := restricted.Limits["l"]
			_, hasVersion := restricted.Changed["route/r"]
			want := visible[i] == 1
			c.Check([]bool{hasRoute, hasTenant, hasLimit, hasVersion}, qt.DeepEquals, []bool{want, want, want, want}, qt.Commentf("%s, version %d", region, s.Version))
		}
	}
}

// TestRestoredZone guards against an availability zone that is removed from its region and added
// again and then has another version in full snapshots than in restricted ones.
func TestRestoredZone(t *testing.T) {
	c := qt.New(t)
	full, slice := snap.Fold(snap.Empty(""), 1, []byte(firstNote), received)
	follower, err := snap.Apply(snap.Empty("otago"), snap.Restrict(slice, "otago"))
	c.Assert(err, qt.IsNil)
	for i, text := range []string{
		`takeOut = ["c1"]`,
		`bringBack = ["c1"]` + "\n" + `change.region = [{name = "canterbury", availabilityZones = ["c2"]}]`,
		`change.region = [{name = "canterbury", availabilityZones = ["c1", "c2"]}]`,
	} {
		full, slice = snap.Fold(full, full.Version+1, fmt.Appendf(nil, "version = %d\nagainst = %d\n%s", i+2, i+1, text), received)
		c.Assert(slice.Verdict, qt.Equals, core.ErrorKind(""))
		follower, err = snap.Apply(follower, snap.Restrict(slice, "otago"))
		c.Assert(err, qt.IsNil)
		c.Assert(follower, qt.DeepEquals, snap.ForRegion(full, "otago"))
	}
}

// TestRefusedList guards against a list of refused notes that grows without bound or whose
// backing array is shared by two snapshots that append to it.
func TestRefusedList(t *testing.T) {
	c := qt.New(t)
	full, _ := snap.Fold(snap.Empty(""), 1, []byte("broken"), received)
	for version := core.Version(2); version <= 40; version++ {
		next, _ := snap.Fold(full, version, []byte("broken"), received)
		_, _ = snap.Fold(full, version, []byte("version = 1"), received)
		c.Assert(next.Refused[len(next.Refused)-1].Kind, qt.Equals, core.NoteSyntax)
		full = next
	}
	c.Assert(full.Refused, qt.HasLen, snap.MaxRefused)
	c.Assert(full.Refused[0].Version, qt.Equals, core.Version(9))
	c.Assert(snap.Check(full), qt.IsNil)
}

// TestFoldFromCheckpoint guards against a store reader that starts from a checkpoint and gets
// other verdicts or hashes than one that folded every note.
func TestFoldFromCheckpoint(t *testing.T) {
	c := qt.New(t)
	_, full, _, _ := foldAll(c, `takeOut = ["c1"]`, `withdraw.limit = ["netsLimit"]`, `broken`)
	encoded, err := note.EncodeCheckpoint(snap.ToCheckpoint(full))
	c.Assert(err, qt.IsNil)
	checkpoint, err := note.ParseCheckpoint(encoded)
	c.Assert(err, qt.IsNil)
	resumed, err := snap.FromCheckpoint(checkpoint)
	c.Assert(err, qt.IsNil)
	c.Assert(resumed, qt.DeepEquals, full)
	late := []byte("version = 5\nagainst = 2\n" + `add.limit = [{name = "netsLimit", tenant = "crew", requestsPerSecond = 1, burst = 1, concurrent = 1}]`)
	_, slice := snap.Fold(resumed, 5, late, received)
	c.Assert(slice.Verdict, qt.Equals, core.NoteConflict)
}
