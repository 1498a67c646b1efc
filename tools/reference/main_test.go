package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestPageOnDisk guards against a reference page that was not generated again after a change.
func TestPageOnDisk(t *testing.T) {
	onDisk, err := os.ReadFile("../../docs/reference.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(onDisk), qt.Equals, page(), qt.Commentf("run go generate ./..."))
}

// TestPageTables guards against an error kind that is missing from the page, and against a row with
// too many cells because a text contains an unescaped bar.
func TestPageTables(t *testing.T) {
	c := qt.New(t)
	text := page()
	for _, info := range core.ErrorKinds {
		c.Check(strings.Count(text, `<a id="`+string(info.Kind)+`"></a>`), qt.Equals, 1, qt.Commentf("%s", info.Kind))
	}
	columns := 0
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "|") {
			columns = 0
			continue
		}
		bars := strings.Count(strings.ReplaceAll(line, `\|`, ""), "|")
		if columns == 0 {
			columns = bars
		}
		c.Check(bars, qt.Equals, columns, qt.Commentf("%s", line))
	}
}

// TestLinks guards against a link from the operators' page to a row that no longer exists, and
// against an error kind that the operators' page does not explain.
func TestLinks(t *testing.T) {
	c := qt.New(t)
	linkPattern := regexp.MustCompile(`reference\.md#(\w+)\)`)
	operators, err := os.ReadFile("../../docs/operators.md")
	c.Assert(err, qt.IsNil)
	linked := map[string]bool{}
	for _, match := range linkPattern.FindAllStringSubmatch(string(operators), -1) {
		linked[match[1]] = true
		c.Check(page(), qt.Contains, `<a id="`+match[1]+`"></a>`)
	}
	for _, info := range core.ErrorKinds {
		if info.Status != 0 || strings.HasPrefix(string(info.Kind), "note") {
			c.Check(linked[string(info.Kind)], qt.IsTrue, qt.Commentf("docs/operators.md does not explain %s", info.Kind))
		}
	}
}
