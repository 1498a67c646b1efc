package snap_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/tools/fixed"
)

// TestMain fixes the random seed, so that every run has the same result; command-line flags take
// precedence.
func TestMain(m *testing.M) {
	fixed.ConfigureRapid(20)
	os.Exit(m.Run())
}

// require runs a quicktest checker with rapid.T, which does not implement testing.TB.
func require(t *rapid.T, got any, checker qt.Checker, args ...any) {
	if err := checker.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v\ngot  %+v\nwant %+v", err, got, args)
	}
}
