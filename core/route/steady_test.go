package route_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDecisionsUseTheSteadyClock guards against decisions by the time of day, which may step by
// seconds. A time whose parts disagree cannot be made in a test, so the source is searched.
func TestDecisionsUseTheSteadyClock(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") || path == "steady.go" {
			continue
		}
		text, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, strings.Contains(string(text), ".UnixNano()"), qt.IsFalse, qt.Commentf("%s", path))
	}
}
