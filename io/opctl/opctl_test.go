package opctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/io/opctl"
)

const baseNote = `version = 1
against = 0
comment = "first"
add.region = [{name = "otago", availabilityZones = ["o1"]}]
add.tenant = [{name = "crew"}, {name = "desk"}]
`

func tenantNote(version, against int, tenant string) string {
	return fmt.Sprintf("version = %d\nagainst = %d\ncomment = \"homes of %s\"\nchange.tenant = [{name = %q, homeRegions = [\"otago\"]}]\n", version, against, tenant, tenant)
}

// run runs verbenactl and returns its exit code, standard output and standard error.
func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = opctl.Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeDraft writes a note to a temporary file and returns its path.
func writeDraft(c *qt.C, text string) string {
	path := filepath.Join(c.TempDir(), "draft.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// TestHelp guards against check, publish or checkpoint missing from --help or lacking an example,
// and against an invalid command line that is accepted.
func TestHelp(t *testing.T) {
	c := qt.New(t)
	code, overview, _ := run("--help")
	c.Assert(code, qt.Equals, 0)
	for _, name := range []string{"check", "publish", "checkpoint"} {
		c.Check(overview, qt.Contains, "\n  "+name)
		code, out, errOut := run(name, "--help")
		c.Check(code, qt.Equals, 0)
		c.Check(out, qt.Contains, "verbenactl "+name)
		c.Check(out, qt.Contains, "Example:\n  verbenactl "+name)
		c.Check(errOut, qt.Equals, "")
	}
	for _, args := range [][]string{{}, {"chek"}, {"check"}, {"check", "--odd"}, {"check", "missing.toml"}, {"publish", "x"}, {"checkpoint", "--store", "http://127.0.0.1:1", "x"}} {
		code, out, errOut := run(args...)
		c.Check(code, qt.Equals, 2, qt.Commentf("%v", args))
		c.Check(out, qt.Equals, "")
		c.Check(errOut, qt.Not(qt.Equals), "")
	}
}

// TestInvalidNotes guards against an invalid note that check accepts or reports with a message
// other than the documented one. Each folder in testdata/notes contains notes and the expected
// output.
func TestInvalidNotes(t *testing.T) {
	root := filepath.Join("..", "..", "testdata", "notes")
	folders, err := os.ReadDir(root)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(folders) > 20, qt.IsTrue)
	for _, folder := range folders {
		t.Run(folder.Name(), func(t *testing.T) {
			c := qt.New(t)
			directory := filepath.Join(root, folder.Name())
			want, err := os.ReadFile(filepath.Join(directory, "expected.txt"))
			c.Assert(err, qt.IsNil)
			code, out, errOut := run("check", directory)
			c.Check(code, qt.Equals, 1)
			c.Check(errOut, qt.Equals, "")
			c.Check(strings.ReplaceAll(out, directory+string(filepath.Separator), ""), qt.Equals, string(want))
		})
	}
}

// TestExamples guards against invalid notes in the examples, which operators copy.
func TestExamples(t *testing.T) {
	for _, name := range []string{"tussockLine", "pelotas"} {
		c := qt.New(t)
		code, out, errOut := run("check", filepath.Join("..", "..", "examples", name, "notes"))
		c.Check(code, qt.Equals, 0, qt.Commentf("%s%s", out, errOut))
		c.Check(out, qt.Matches, `ok: [3-9] notes checked.*\n`)
	}
}

// TestCheckAgainst guards against a draft that is checked against the wrong configuration.
func TestCheckAgainst(t *testing.T) {
	c := qt.New(t)
	draft := writeDraft(c, tenantNote(2, 1, "crew"))
	code, out, _ := run("check", draft)
	c.Check(code, qt.Equals, 0)
	c.Check(out, qt.Contains, "checked by themselves")
	earlier := c.TempDir()
	c.Assert(os.WriteFile(filepath.Join(earlier, "0000000001.toml"), []byte(baseNote), 0o600), qt.IsNil)
	code, out, _ = run("check", "--after", earlier, draft)
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	store, url := newFakeStore(t)
	store.values[note.Key(1)] = []byte(baseNote)
	_, checkpoint, _ := run("checkpoint", "--store", url)
	code, out, _ = run("check", "--checkpoint", writeDraft(c, checkpoint), draft)
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	code, out, _ = run("check", "--checkpoint", writeDraft(c, checkpoint), writeDraft(c, tenantNote(2, 1, "guest")))
	c.Check(code, qt.Equals, 1)
	c.Check(out, qt.Matches, `.*draft.toml: noteMissing: change.tenant\[0\]: "guest": does not exist\n`)
	c.Assert(os.WriteFile(filepath.Join(earlier, "0000000003.toml"), []byte(baseNote), 0o600), qt.IsNil)
	code, out, _ = run("check", earlier)
	c.Check(code, qt.Equals, 1)
	c.Check(out, qt.Matches, `.*0000000003.toml: noteNumber: note 2 is missing before it\n`)
}

// TestPublish guards against a note that overwrites another note, is published although it is
// invalid or is published twice, and against a failure without advice to the operator.
func TestPublish(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*fakeStore)
		draft   string
		code    int
		output  string
	}{
		{"free number", func(*fakeStore) {}, tenantNote(2, 1, "crew"), 0, "published version 2\n"},
		{"refused", func(*fakeStore) {}, tenantNote(2, 1, "guest"), 1, "noteMissing: change.tenant[0]: \"guest\": does not exist\nCheck the name."},
		{"gap", func(*fakeStore) {}, tenantNote(3, 1, "crew"), 1, "noteNumber: version: 3: must be 2"},
		{"already published", func(s *fakeStore) { s.values[note.Key(2)] = []byte(tenantNote(2, 1, "crew")) }, tenantNote(2, 1, "crew"), 0, "version 2 is already published with the same contents\n"},
		{"number in use", func(s *fakeStore) { s.values[note.Key(2)] = []byte(tenantNote(2, 1, "desk")) }, tenantNote(2, 1, "crew"), 1,
			`another operator published version 2 first (comment "homes of desk", touches tenant/desk); yours does not conflict with it: set version = 3 and publish it`},
		{"lost race", func(s *fakeStore) {
			s.beforePut = func() { s.values[note.Key(2)] = []byte(tenantNote(2, 1, "desk")) }
		}, tenantNote(2, 1, "crew"), 1, `yours does not conflict with it: set version = 3 and publish it`},
		{"lost race on the same resource", func(s *fakeStore) {
			s.beforePut = func() { s.values[note.Key(2)] = []byte(tenantNote(2, 1, "crew") + "\n") }
		}, tenantNote(2, 1, "crew"), 1, `write yours against version 2, set version = 3 and publish it`},
		{"lost race against a refused note", func(s *fakeStore) {
			s.beforePut = func() { s.values[note.Key(2)] = []byte("broken") }
		}, tenantNote(2, 1, "crew"), 1, `first (a note that was refused); yours does not conflict`},
		{"busy store", func(s *fakeStore) { s.status = http.StatusTooManyRequests }, tenantNote(2, 1, "crew"), 1, "storeBusy: the store answered 429"},
		{"store down", func(s *fakeStore) { s.status = http.StatusServiceUnavailable }, tenantNote(2, 1, "crew"), 1, "storeDown: the store answered 503"},
		{"note missing in the store", func(s *fakeStore) { s.values[note.Key(3)] = []byte("x") }, tenantNote(2, 1, "crew"), 1, `storeMalformed: key "notes/0000000003" follows note 1`},
		{"lost answer", func(s *fakeStore) { s.loseAnswer = true }, tenantNote(2, 1, "crew"), 1, "may or may not be published, run publish again with the same file"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store, url := newFakeStore(t)
			store.values[note.Key(1)] = []byte(baseNote)
			test.prepare(store)
			draft := writeDraft(c, test.draft)
			code, out, errOut := run("publish", "--store", url, draft)
			c.Check(code, qt.Equals, test.code, qt.Commentf("%s%s", out, errOut))
			c.Check(out+errOut, qt.Contains, test.output)
			published := string(store.get(note.Key(2))) == test.draft
			c.Check(published, qt.Equals, test.code == 0 || test.name == "lost answer")
			if published {
				code, _, _ = run("publish", "--store", url, draft)
				c.Check(code, qt.Equals, 0)
			}
		})
	}
}

// TestCheckpoint guards against a checkpoint to which later notes cannot be applied, and against
// publishing to a store that was rolled back.
func TestCheckpoint(t *testing.T) {
	c := qt.New(t)
	store, url := newFakeStore(t)
	store.values[note.Key(1)] = []byte(baseNote)
	store.values[note.Key(2)] = []byte(tenantNote(2, 1, "crew"))
	store.values[note.Key(3)] = []byte(tenantNote(3, 2, "desk"))
	code, out, errOut := run("checkpoint", "--store", url, "--publish")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", errOut))
	c.Check(out, qt.Matches, "published checkpoint of version 3 with hash [0-9a-f]{12}\n")
	first := store.values[note.CheckpointKey]
	_, out, _ = run("checkpoint", "--store", url)
	c.Check(out, qt.Equals, string(first))
	store.values[note.Key(4)] = []byte(tenantNote(4, 1, "desk"))
	code, _, _ = run("checkpoint", "--store", url, "--publish")
	c.Check(code, qt.Equals, 0)
	latest, err := note.ParseCheckpoint(store.values[note.CheckpointKey])
	c.Assert(err, qt.IsNil)
	c.Check(latest.Version, qt.Equals, core.Version(4))
	c.Check(latest.Refused[0].Kind, qt.Equals, core.NoteConflict)
	delete(store.values, note.Key(4))
	code, _, errOut = run("publish", "--store", url, writeDraft(c, tenantNote(4, 3, "crew")))
	c.Check(code, qt.Equals, 1)
	c.Check(errOut, qt.Contains, "storeStale: the checkpoint has version 4, whose note is missing")
}

// checkNote returns the output of check for a note with the given fields.
func checkNote(c *qt.C, text string) string {
	name := filepath.Join(c.TempDir(), "0000000001.toml")
	c.Assert(os.WriteFile(name, []byte("version = 1\nagainst = 0\n"+text), 0o600), qt.IsNil)
	_, out, errOut := run("check", name)
	return out + errOut
}

// TestNotesPage guards against invalid examples on the documentation page on notes, and against a
// field or an error kind that it omits.
func TestNotesPage(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "notes.md"))
	c.Assert(err, qt.IsNil)
	directory := c.TempDir()
	for i, block := range strings.Split(string(text), "```toml\n")[1:] {
		example, _, _ := strings.Cut(block, "```")
		name := filepath.Join(directory, fmt.Sprintf("%010d.toml", i+1))
		c.Assert(os.WriteFile(name, []byte(example), 0o600), qt.IsNil)
	}
	code, out, _ := run("check", directory)
	c.Check(code, qt.Equals, 0)
	c.Check(out, qt.Matches, "ok: 2 notes checked.*\n")
	for _, info := range core.ErrorKinds {
		if strings.HasPrefix(string(info.Kind), "note") {
			c.Check(string(text), qt.Contains, "| `"+string(info.Kind)+"` |")
		}
	}
	for _, resource := range reflect.VisibleFields(reflect.TypeFor[core.Resources]()) {
		for _, field := range reflect.VisibleFields(resource.Type.Elem()) {
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			if name == "-" {
				// The field is not part of notes; a note that contains it is refused.
				output := checkNote(c, "[[add.route]]\n"+field.Name+" = 1\n")
				c.Check(output, qt.Contains, "is not a known field")
				continue
			}
			c.Check(string(text), qt.Contains, "`"+name+"`")
		}
	}
}

// TestCheckFindings guards against a check that passes a note whose entries contradict each other, and
// against an output that programs cannot read.
func TestCheckFindings(t *testing.T) {
	c := qt.New(t)
	first := filepath.Join(c.TempDir(), "0000000001.toml")
	c.Assert(os.WriteFile(first, []byte(baseNote), 0o600), qt.IsNil)
	draft := writeDraft(c, "version = 2\nagainst = 1\ncomment = \"\"\n"+`
[[add.service]]
name = "spare"
slots = 4
connections = 8
coldSlots = 1
warmUp = "1s"
reservedSlots = 0
`)
	code, out, errOut := run("check", "--changes", "--after", filepath.Dir(first), draft)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s%s", out, errOut))
	c.Check(out, qt.Contains, "warning: service/spare: unusedService: no route has the service\nadded: service/spare\nok: ")
	code, out, _ = run("check", "--json", "--after", filepath.Dir(first), draft)
	c.Check(code, qt.Equals, 0)
	var result struct {
		IsOK     bool
		Findings []struct{ Rule string }
		Changes  []struct{ Action, Subject string }
	}
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Check(result.IsOK, qt.IsTrue)
	c.Check(result.Findings[len(result.Findings)-1].Rule, qt.Equals, "unusedService")
	c.Check(result.Changes, qt.DeepEquals, []struct{ Action, Subject string }{{Action: "added", Subject: "service/spare"}})
}
