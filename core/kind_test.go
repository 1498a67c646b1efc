package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
)

// TestErrorKindsTable guards against a kind that is listed twice, a kind without meaning or action,
// and a kind with an unknown outcome that claims "not run".
func TestErrorKindsTable(t *testing.T) {
	c := qt.New(t)
	seen := map[core.ErrorKind]bool{}
	for _, info := range core.ErrorKinds {
		c.Check(seen[info.Kind], qt.IsFalse, qt.Commentf("%s", info.Kind))
		seen[info.Kind] = true
		c.Check(info.Meaning, qt.Not(qt.Equals), "", qt.Commentf("%s", info.Kind))
		c.Check(info.Action, qt.Not(qt.Equals), "", qt.Commentf("%s", info.Kind))
	}
	unknownOutcome := []core.ErrorKind{
		core.DeadlineInRun,
		core.OutcomeUnknown,
		core.UpstreamFailed,
		core.Canceled,
		core.Internal,
	}
	for _, kind := range unknownOutcome {
		c.Check(kind.Info().NotRun, qt.IsFalse, qt.Commentf("%s", kind))
	}
}

// TestKindOf guards against an error that loses its kind when it is wrapped.
func TestKindOf(t *testing.T) {
	c := qt.New(t)
	c.Check(core.KindOf(core.Errorf(core.Leaving, "draining")), qt.Equals, core.Leaving)
	c.Check(core.KindOf(nil), qt.Equals, core.ErrorKind(""))
}
