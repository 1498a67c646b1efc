package note_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
	"verbenaway/core/note"
)

// TestKey guards against keys that do not sort by version and against several keys for one note.
func TestKey(t *testing.T) {
	c := qt.New(t)
	c.Check(note.Key(42), qt.Equals, "notes/0000000042")
	for _, version := range []core.Version{1, 42, note.MaxVersion} {
		got, err := note.KeyVersion(note.Key(version))
		c.Check(err, qt.IsNil)
		c.Check(got, qt.Equals, version)
	}
	for _, key := range []string{"", "notes/", "notes/42", "notes/0000000000", "notes/+000000042", "notes/00000000042", "notes/000000004x", "checkpoints/latest"} {
		_, err := note.KeyVersion(key)
		c.Check(core.KindOf(err), qt.Equals, core.NoteNumber, qt.Commentf("%q", key))
	}
}

// TestParseAllFields guards against a field that is decoded into the wrong place and against
// lists that are not sorted.
func TestParseAllFields(t *testing.T) {
	c := qt.New(t)
	parsed, err := note.Parse(7, []byte(`
version = 7
against = 5
comment = "nets"
takeOut = ["c2", "c1"]
bringBack = ["o1"]

[[add.region]]
name = "canterbury"
availabilityZones = ["c2", "c1"]
crossRegionBytesPerSecond = 5000000

[[add.service]]
name = "netbook"
slots = 18
connections = 130
coldSlots = 2
warmUp = "20s"
reservedSlots = 4
homeRegions = ["otago", "canterbury"]

[[change.route]]
name = "lookupNets"
host = "netbook.example"
pathPrefix = "/nets"
methods = ["HEAD", "GET"]
tenant = "crew"
service = "netbook"
class = "lookup"
idempotent = true
timeout = "800ms"
homeRegions = ["otago", "canterbury"]

[[change.tenant]]
name = "crew"
homeRegions = ["otago", "canterbury"]

[[change.limit]]
name = "nets"
route = "lookupNets"
requestsPerSecond = 50
burst = 10
concurrent = 8

[withdraw]
limit = ["old"]
`))
	c.Assert(err, qt.IsNil)
	homeRegions := []core.Region{"canterbury", "otago"}
	c.Assert(parsed, qt.DeepEquals, core.Note{
		Version: 7,
		Against: 5,
		Comment: "nets",
		Add: core.Resources{
			Regions:  []core.RegionSpec{{Name: "canterbury", AvailabilityZones: []core.AvailabilityZone{"c1", "c2"}, CrossRegionBytesPerSecond: 5_000_000}},
			Services: []core.ServiceSpec{{Name: "netbook", Slots: 18, Connections: 130, ColdSlots: 2, WarmUp: core.Duration(20 * time.Second), ReservedSlots: 4, HomeRegions: homeRegions}},
		},
		Change: core.Resources{
			Routes: []core.RouteSpec{{Name: "lookupNets", Host: "netbook.example", PathPrefix: "/nets", Methods: []string{"GET", "HEAD"}, Tenant: "crew", Service: "netbook",
				Class: core.ClassLookup, Idempotent: true, Timeout: core.Duration(800 * time.Millisecond), HomeRegions: homeRegions}},
			Tenants: []core.TenantSpec{{Name: "crew", HomeRegions: homeRegions}},
			Limits:  []core.LimitSpec{{Name: "nets", Route: "lookupNets", RequestsPerSecond: 50, Burst: 10, Concurrent: 8}},
		},
		Withdraw:  core.ResourceNames{Limits: []string{"old"}},
		TakeOut:   []core.AvailabilityZone{"c1", "c2"},
		BringBack: []core.AvailabilityZone{"o1"},
	})
}

// TestInvalidCheckpoint guards against a store reader that starts from a damaged checkpoint, and
// against a checkpoint that is too large for the store.
func TestInvalidCheckpoint(t *testing.T) {
	c := qt.New(t)
	hash := "hash = '" + strings.Repeat("00", 32) + "'\n"
	for _, test := range []struct {
		text string
		want string
	}{
		{"version = 1\n", "noteField: hash: is required"},
		{"version = 1\nhash = 'x'\n", `noteField: hash: "x": must be 64 hexadecimal digits`},
		{"version = 1\n" + hash + "changed = ['route/a']\n", `noteField: changed\[0\]: "route/a": must be a resource and its version.*`},
		{"version = 1\n" + hash + "changed = ['road/a 1']\n", `noteField: changed\[0\]: "road/a 1".*`},
		{"version = 1\n" + hash + "resources.tenant = [{name = 'a'}, {name = 'a'}]\n", `noteField: resources.tenant\[1\].name: "a": must not repeat resources.tenant\[0\].name`},
	} {
		_, err := note.ParseCheckpoint([]byte(test.text))
		c.Check(err, qt.ErrorMatches, test.want)
	}
	var large note.Checkpoint
	for range 1 << 16 {
		large.ZonesOut = append(large.ZonesOut, "someAvailabilityZone")
	}
	_, err := note.EncodeCheckpoint(large)
	c.Check(core.KindOf(err), qt.Equals, core.NoteSize)
}

// TestParseCost guards against a note that blocks a store reader: the TOML decoder's run time
// is quadratic in the number of distinct keys, 18 s at 1 MB. Allocations serve as the measure.
func TestParseCost(t *testing.T) {
	c := qt.New(t)
	var keys, tables strings.Builder
	for i := range 60_000 {
		key := strings.Repeat("k", 1+i%5) + strings.Repeat("x", i%7) + "-" + string(rune('a'+i%26)) + time.Duration(i).String()
		keys.WriteString("\"" + key + "\" = 1\n")
		tables.WriteString("[\"" + key + "\"]\n")
	}
	for _, text := range []string{keys.String(), tables.String()} {
		text = text[:min(len(text), core.MaxNoteBytes-100)]
		allocations := testing.AllocsPerRun(1, func() {
			_, err := note.Parse(1, []byte("version = 1\nagainst = 0\n"+text))
			c.Check(err, qt.ErrorMatches, "noteField: must have at most 100 different keys")
		})
		c.Check(allocations < 10_000, qt.IsTrue, qt.Commentf("%v allocations", allocations))
	}
	deep := "version = 1\nagainst = 0\ncomment = " + strings.Repeat("[", core.MaxNoteBytes/2)
	_, err := note.Parse(1, []byte(deep))
	c.Check(core.KindOf(err), qt.Equals, core.NoteSyntax)
}

// FuzzParse guards against a note that crashes the parser, an error that is not one line of a
// known kind, an accepted rate of NaN, and an accepted note that changes when it is encoded and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("version = 1\nagainst = 0\nadd.tenant = [{name = 'a', homeRegions = ['b', 'a']}]\n"))
	f.Add([]byte("version = 1\nagainst = 0\n[[add.limit]]\nname = 'a'\ntenant = 'b'\nrequestsPerSecond = nan\nburst = 1\nconcurrent = 1\n"))
	f.Add([]byte("version = 1\nagainst = 0\n[[change.route]]\nname = 'a'\nhost = 'b'\npathPrefix = '/'\nmethods = ['GET']\nservice = 's'\nclass = 'lookup'\ntimeout = '1s'\n"))
	f.Add([]byte("version = 1\nagainst = 0\n\"\\u2028\" = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := note.Parse(1, data)
		if err != nil {
			checkError(t, err)
			return
		}
		for _, limit := range parsed.Add.Limits {
			if math.IsNaN(limit.RequestsPerSecond) {
				t.Fatal("accepted a limit of NaN requests per second")
			}
		}
		written, err := toml.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := note.Parse(1, written)
		if err != nil {
			t.Fatalf("an accepted note is refused when it is encoded and parsed again: %v\n%s", err, written)
		}
		rewritten, err := toml.Marshal(again)
		if err != nil || string(rewritten) != string(written) {
			t.Fatalf("an accepted note changes when it is encoded and parsed again: %v\n%s\n%s", err, written, rewritten)
		}
	})
}

// FuzzParseCheckpoint guards against a checkpoint that crashes the parser and against an error
// that is not one line of a known kind.
func FuzzParseCheckpoint(f *testing.F) {
	f.Add([]byte("version = 1\nhash = '" + strings.Repeat("00", 32) + "'\nchanged = ['tenant/a 1']\nresources.tenant = [{name = 'a'}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := note.ParseCheckpoint(data); err != nil {
			checkError(t, err)
		}
	})
}

func checkError(t *testing.T, err error) {
	var noteErr *note.Error
	if !errors.As(err, &noteErr) || core.KindOf(err) != noteErr.Kind {
		t.Fatalf("not a *note.Error of the same kind: %v", err)
	}
	if strings.ContainsAny(err.Error(), "\n\r") || len(err.Error()) > 700 || len(noteErr.Reason()) > 512 {
		t.Fatalf("not one short line: %q", err)
	}
}
