package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/io/admin"
	"verbenaway/io/daemon"
	"verbenaway/io/fleet"
	"verbenaway/io/stand"
)

// versionFault is a failure during which notes are published.
type versionFault struct {
	name string
	// begin is called before two notes are published, end after them.
	begin func(c *qt.C, f *fleet.Fleet)
	end   func(c *qt.C, f *fleet.Fleet)
}

var versionFaults = []versionFault{
	{
		name: "daemons are killed and restarted",
		begin: func(c *qt.C, f *fleet.Fleet) {
			for i := range 4 {
				c.Assert(f.Kill(i), qt.IsNil)
			}
		},
		end: func(c *qt.C, f *fleet.Fleet) {
			for i := range 4 {
				c.Assert(f.StartAgain(i), qt.IsNil)
			}
		},
	},
	{
		name: "a region is cut off",
		begin: func(_ *qt.C, f *fleet.Fleet) {
			f.CutRegions("north", "south", true)
		},
		end: func(_ *qt.C, f *fleet.Fleet) {
			f.CutRegions("north", "south", false)
		},
	},
	{
		name: "the store is down and its readers are replaced",
		begin: func(c *qt.C, f *fleet.Fleet) {
			f.Store.SetFaults(stand.StoreFaults{
				Down: true,
			})
			restartReaders(c, f)
		},
		end: func(_ *qt.C, f *fleet.Fleet) {
			f.Store.SetFaults(stand.StoreFaults{})
		},
	},
	{
		name: "the store is stale and its readers are replaced",
		begin: func(c *qt.C, f *fleet.Fleet) {
			f.Store.SetFaults(stand.StoreFaults{
				StaleBy: 1,
			})
			restartReaders(c, f)
		},
		end: func(_ *qt.C, f *fleet.Fleet) {
			f.Store.SetFaults(stand.StoreFaults{})
		},
	},
}

// statusOf returns the status of a daemon, whose agent may answer late on a busy machine.
func statusOf(c *qt.C, d *daemon.Daemon) admin.Status {
	for end := time.Now().Add(inForceBound); ; {
		status, err := d.Status()
		if err == nil {
			return status
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// restartReaders restarts the daemons that read the store.
func restartReaders(c *qt.C, f *fleet.Fleet) {
	readers := 0
	for i, d := range f.Daemons {
		if slices.Contains(statusOf(c, d).Roles, "reader") {
			readers++
			c.Assert(f.Restart(i), qt.IsNil)
		}
	}
	c.Assert(readers > 0, qt.IsTrue)
}

// TestPromiseVersionsUnderFailure checks promises 1, 3 and 12: if a failure occurs while notes are
// published, no process goes back to an older version, all have the same history, and within 12 s
// after the end of the failure the newest version is in force everywhere. The test guards against a
// process that applies a stale or delayed copy, and against one that never catches up after it
// missed a note.
func TestPromiseVersionsUnderFailure(t *testing.T) {
	for _, fault := range versionFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, fleet.Config{
				Daemons: 10,
			}, fleet.BaseNote())
			s := startSampler(t, f)
			before := f.Publish(fleet.RouteNote(600))
			_, err := f.AwaitVersion(before, 10, inForceBound)
			c.Assert(err, qt.IsNil)
			s.setMinVersion(before)
			fault.begin(c, f)
			s.track(f)
			f.Publish(fleet.RouteNote(700))
			newest := f.Publish(fleet.RouteNote(800))
			fault.end(c, f)
			s.track(f)
			_, err = f.AwaitVersion(newest, 10, inForceBound)
			c.Assert(err, qt.IsNil)
			for _, d := range f.Daemons {
				c.Check(routeTimeout(d), qt.Equals, 800*time.Millisecond)
			}
		})
	}
}

// anyReportsStoreError returns whether any daemon reports the given error of the store.
func anyReportsStoreError(f *fleet.Fleet, kind core.ErrorKind) bool {
	for _, d := range f.Daemons {
		if status, err := d.Status(); err == nil && status.StoreError == kind {
			return true
		}
	}
	return false
}

// TestPromiseStoreRolledBackOrForked checks promises 1 and 12: a store that lost notes, or shows a
// different note under a number that is in force, is reported and its contents are not applied;
// once it is restored, the next note is in force within 12 s. The test guards against a reader that
// trusts the current contents of the store.
func TestPromiseStoreRolledBackOrForked(t *testing.T) {
	cases := []struct {
		name   string
		faults stand.StoreFaults
		kind   core.ErrorKind
	}{
		{
			name: "rolled back",
			faults: stand.StoreFaults{
				RollBackTo: 1,
			},
			kind: core.StoreStale,
		},
		{
			name: "forked",
			faults: stand.StoreFaults{
				ForkAt: 3,
			},
			kind: core.StoreFork,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, fleet.Config{
				Daemons: 10,
			}, fleet.BaseNote())
			s := startSampler(t, f)
			f.Publish(fleet.RouteNote(600))
			newest := f.Publish(fleet.RouteNote(700))
			_, err := f.AwaitVersion(newest, 10, inForceBound)
			c.Assert(err, qt.IsNil)
			s.setMinVersion(newest)
			f.Store.SetFaults(test.faults)
			c.Assert(f.Restart(0), qt.IsNil)
			s.track(f)
			// A reader compares its newest note with the store only after each watch, which takes
			// seconds.
			await(t, 3*inForceBound, "a reader reports "+string(test.kind), func() bool {
				return anyReportsStoreError(f, test.kind)
			})
			_, err = f.AwaitVersion(newest, 10, inForceBound)
			c.Assert(err, qt.IsNil)
			for _, d := range f.Daemons {
				c.Check(routeTimeout(d), qt.Equals, 700*time.Millisecond)
			}
			f.Store.SetFaults(stand.StoreFaults{})
			f.RestoreNotes()
			_, err = f.AwaitVersion(f.Publish(fleet.RouteNote(800)), 10, inForceBound)
			c.Assert(err, qt.IsNil)
		})
	}
}

// TestHostListAfterRestoration guards against daemons that ignore a host list which the platform writes
// after its store was restored from a copy, because its revision was given out before.
func TestHostListAfterRestoration(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons: 10,
	}, fleet.BaseNote())
	_, err := f.AwaitVersion(f.Publish(fleet.RouteNote(600)), 10, inForceBound)
	c.Assert(err, qt.IsNil)
	list := core.HostList{
		Revision: uint64(time.Now().UnixMilli()),
	}
	for _, d := range f.Daemons {
		list.Hosts = append(list.Hosts, d.Self())
	}
	f.Store.SetHosts(list)
	copied := list.Revision
	list.Revision = 0
	for range 3 {
		f.Store.SetHosts(list)
	}
	awaitHost(t, f, list, "lost")
	f.Store.SetFaults(stand.StoreFaults{
		RollBackHostsTo: copied,
	})
	awaitHost(t, f, list, "new")
}

// awaitHost adds a host to the list of the platform and waits until all daemons know it.
func awaitHost(t *testing.T, f *fleet.Fleet, list core.HostList, name core.HostName) {
	t.Helper()
	extra := f.Daemons[0].Self()
	extra.Name, extra.PeerAddress = name, "127.0.0.1:1"
	list.Hosts = append(slices.Clone(list.Hosts), extra)
	f.Store.SetHosts(list)
	client := admin.NewClient(time.Second)
	await(t, inForceBound, "all daemons know "+string(name), func() bool {
		for _, d := range f.Daemons {
			hosts, err := client.Hosts(d.Self().AdminAddress)
			if err != nil || !slices.ContainsFunc(hosts, func(host core.Host) bool { return host.Name == name }) {
				return false
			}
		}
		return true
	})
}

// invalidNotes are bodies that the fold rejects. Each also contains a valid change.
var invalidNotes = []struct {
	kind core.ErrorKind
	body string
}{
	{kind: core.NoteSyntax, body: fleet.RouteNote(900) + "\n[[add.tenant\n"},
	{kind: core.NoteField, body: fleet.RouteNote(900) + "colour = \"red\"\n"},
	{kind: core.NoteExists, body: fleet.RouteNote(900) + "\n[[add.region]]\nname = \"north\"\navailabilityZones = [\"north1\"]\n"},
	{kind: core.NoteMissing, body: fleet.RouteNote(900) + "\n[withdraw]\ntenant = [\"nobody\"]\n"},
	{kind: core.NoteReference, body: fleet.RouteNote(900) + "\n[withdraw]\nservice = [\"netbook\"]\n"},
}

// TestPromiseInvalidNoteChangesNothing checks promises 2 and 3: an invalid note uses up its number,
// changes nothing on any daemon, and is reported with a reason in the status of every daemon. The
// test guards against a note that is applied in part.
func TestPromiseInvalidNoteChangesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons: 10,
	}, fleet.BaseNote())
	startSampler(t, f)
	f.Publish(fleet.RouteNote(600))
	want := map[core.Version]core.ErrorKind{}
	var newest core.Version
	for _, invalid := range invalidNotes {
		newest = f.Publish(invalid.body)
		want[newest] = invalid.kind
	}
	_, err := f.AwaitVersion(newest, 10, inForceBound)
	c.Assert(err, qt.IsNil)
	for _, d := range f.Daemons {
		c.Check(routeTimeout(d), qt.Equals, 600*time.Millisecond)
		got := map[core.Version]core.ErrorKind{}
		for _, refused := range statusOf(c, d).Refused {
			got[refused.Version] = refused.Kind
			c.Check(refused.Reason, qt.Not(qt.Equals), "")
		}
		c.Check(got, qt.DeepEquals, want)
	}
}

// publishRacingNote writes a note under the next free number after against, like an operator whose
// number was taken and who does not update the field against.
func publishRacingNote(f *fleet.Fleet, against core.Version, milliseconds int) error {
	for version := against + 1; ; version++ {
		text := fmt.Sprintf("version = %d\nagainst = %d\ncomment = \"race\"\n%s", version, against, fleet.RouteNote(milliseconds))
		created, err := f.PutIfAbsent(note.Key(version), []byte(text))
		if err != nil || created {
			return err
		}
	}
}

// TestPromiseOperatorsRace checks promises 3 and 12: of two notes written against the same version
// exactly one is accepted, the same on all daemons, one of which restarts meanwhile. The test
// guards against an operator who overwrites a change without having seen it.
func TestPromiseOperatorsRace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, fleet.Config{
		Daemons: 10,
	}, fleet.BaseNote())
	s := startSampler(t, f)
	errs := make(chan error, 2)
	for _, milliseconds := range []int{601, 602} {
		go func() {
			errs <- publishRacingNote(f, 1, milliseconds)
		}()
	}
	c.Assert(f.Restart(4), qt.IsNil)
	s.track(f)
	c.Assert(<-errs, qt.IsNil)
	c.Assert(<-errs, qt.IsNil)
	_, err := f.AwaitVersion(3, 10, inForceBound)
	c.Assert(err, qt.IsNil)
	winner := routeTimeout(f.Daemons[0])
	c.Check(winner == 601*time.Millisecond || winner == 602*time.Millisecond, qt.IsTrue)
	for _, d := range f.Daemons {
		c.Check(routeTimeout(d), qt.Equals, winner)
		refused := statusOf(c, d).Refused
		c.Assert(refused, qt.HasLen, 1)
		c.Check(refused[0].Version, qt.Equals, core.Version(3))
		c.Check(refused[0].Kind, qt.Equals, core.NoteConflict)
	}
}
