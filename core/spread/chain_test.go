package spread_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
	"verbenaway/tools/fixed"
)

// TestMain fixes the random seed, so that every run gives the same result; command-line flags
// take precedence.
func TestMain(m *testing.M) {
	fixed.ConfigureRapid(1, fixed.Flag{Name: "rapid.checks", Value: "30"})
	os.Exit(m.Run())
}

var startTime = time.UnixMilli(1_800_000_000_000)

// chain is a history of notes with the full configuration at each version.
type chain struct {
	notes  [][]byte
	fulls  []*core.Snapshot
	slices []core.Slice
}

func newChain() *chain {
	return &chain{fulls: []*core.Snapshot{snap.Empty("")}}
}

func (c *chain) head() core.Version {
	return core.Version(len(c.notes))
}

func (c *chain) add(text string) {
	full, slice := snap.Fold(c.fulls[c.head()], c.head()+1, []byte(text), startTime)
	c.notes = append(c.notes, []byte(text))
	c.fulls = append(c.fulls, full)
	c.slices = append(c.slices, slice)
}

// branch returns a history that is equal up to a version.
func (c *chain) branch(at core.Version) *chain {
	return &chain{
		notes:  c.notes[:at:at],
		fulls:  c.fulls[: at+1 : at+1],
		slices: c.slices[:at:at],
	}
}

func (c *chain) checkpoint(at core.Version) []byte {
	data, err := note.EncodeCheckpoint(snap.ToCheckpoint(c.fulls[at]))
	if err != nil {
		panic(err)
	}
	return data
}

// values returns the notes after a version as the store returns them.
func (c *chain) values(after core.Version) []core.KeyValue {
	var values []core.KeyValue
	for v := after + 1; v <= c.head(); v++ {
		values = append(values, core.KeyValue{
			Key:   note.Key(v),
			Value: c.notes[v-1],
		})
	}
	return values
}

// regional returns the slices of a range as a region gets them.
func (c *chain) regional(region core.Region, first, last core.Version) []core.Slice {
	var found []core.Slice
	for v := first; v <= last; v++ {
		found = append(found, snap.Restrict(c.slices[v-1], region))
	}
	return found
}

const baseText = `version = 1
against = 0
comment = "base"
[[add.region]]
name = "north"
availabilityZones = ["north-0", "north-1"]
[[add.region]]
name = "south"
availabilityZones = ["south-0", "south-1"]
[[add.service]]
name = "nets"
slots = 2
connections = 3
coldSlots = 1
warmUp = "1s"
`

// routeText adds a route with a home region, so that each region has another configuration.
// The mark distinguishes forks; a comment would not, since the hash does not cover it.
func routeText(version core.Version, home, mark string) string {
	homes := ""
	if home != "" {
		homes = fmt.Sprintf("homeRegions = [%q]\n", home)
	}
	return fmt.Sprintf(`version = %d
against = %d
comment = "route"
[[add.route]]
name = "route%d"
host = "nets.example"
pathPrefix = "/%s/%d"
methods = ["GET"]
service = "nets"
class = "lookup"
idempotent = true
timeout = "1s"
%s`, version, version-1, version, mark, version, homes)
}

// longChain returns a history with routes for all regions, north and south in turn.
func longChain(length int) *chain {
	c := newChain()
	c.add(baseText)
	for v := core.Version(2); int(v) <= length; v++ {
		c.add(routeText(v, []string{"", "north", "south"}[v%3], "added"))
	}
	return c
}

func hostAt(index int) core.Host {
	region := []core.Region{"north", "south"}[index%2]
	return core.Host{
		Name:             core.HostName(fmt.Sprintf("h%02d", index)),
		AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("%s-%d", region, index/2%2)),
		Region:           region,
		PeerAddress:      fmt.Sprintf("peer:%d", index),
		State:            core.HostLive,
	}
}

// snapshot returns the configuration of a region at a version.
func (c *chain) snapshot(region core.Region, at core.Version) *core.Snapshot {
	return snap.ForRegion(c.fulls[at], region)
}
