package route_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDecisionsUseMonotonicTime guards against decisions by the wall clock, which may step by
// seconds. A test cannot construct a time whose wall and monotonic parts disagree, so it searches
// the source.
func TestDecisionsUseMonotonicTime(t *testing.T) {
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
