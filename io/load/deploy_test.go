package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
	"verbenaway/core/snap"
	"verbenaway/io/conf"
)

// TestNotesAreAccepted checks that the notes of the demo and of the benchmarks are accepted,
// and that the invalid note of the demo is refused.
func TestNotesAreAccepted(t *testing.T) {
	c := qt.New(t)
	d := &demo{
		version: 1,
	}
	first := FirstNote(tussockCapacity)
	first.Add.Routes = append(first.Add.Routes, probeRoute(1, "netbook"))
	withdraw := d.nextNote("withdraw")
	withdraw.Withdraw.Routes = []core.RouteName{probeName(1)}
	invalid := core.Note{
		Version: 3,
		Against: 2,
	}
	invalid.Add.Routes = []core.RouteSpec{probeRoute(3, "nobody")}
	takeOut := core.Note{
		Version: 4,
		Against: 3,
		TakeOut: []core.AvailabilityZone{outZone},
	}
	full := snap.Empty("")
	for _, test := range []struct {
		note    core.Note
		verdict core.ErrorKind
	}{
		{note: first},
		{note: withdraw},
		{note: invalid, verdict: core.NoteReference},
		{note: takeOut},
	} {
		data, err := toml.Marshal(test.note)
		c.Assert(err, qt.IsNil)
		next, slice := snap.Fold(full, test.note.Version, data, time.Time{})
		c.Check(slice.Verdict, qt.Equals, test.verdict, qt.Commentf("note %d: %s", test.note.Version, slice.Reason))
		full = next
	}
	c.Check(full.Out[outZone], qt.IsTrue)
}

// TestPlan checks that a plan has each service in each availability zone, uses no address
// twice and yields settings that a daemon accepts.
func TestPlan(t *testing.T) {
	c := qt.New(t)
	plan, err := NewPlan(tussockServices)
	c.Assert(err, qt.IsNil)
	c.Check(plan.Hosts, qt.HasLen, 18)
	seen := map[string]bool{}
	for _, host := range plan.Hosts {
		for _, address := range []string{host.PeerAddress, host.GateAddress, host.AdminAddress, host.CallerAddress, host.UpstreamAddress} {
			c.Check(seen[address], qt.IsFalse, qt.Commentf("%s is used twice", address))
			seen[address] = true
		}
		c.Check(plan.InZone(host.AvailabilityZone), qt.HasLen, len(tussockServices))
		data, err := toml.Marshal(plan.settings(host))
		c.Assert(err, qt.IsNil)
		settings, err := conf.Parse("settings", data)
		c.Assert(err, qt.IsNil)
		c.Check(settings.Spread.Seeds, qt.HasLen, 3)
	}
}
