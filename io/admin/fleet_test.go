package admin_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/io/admin"
)

func host(name, zone string) core.Host {
	return core.Host{Name: core.HostName(name), AvailabilityZone: core.AvailabilityZone(zone), Region: "otago"}
}

func answer(name, zone string, status admin.Status) admin.Answer[admin.Status] {
	return admin.Answer[admin.Status]{Host: host(name, zone), Value: status}
}

// TestSummarize guards against a version that is reported as in force on a daemon that lags behind,
// does not serve or does not answer, and against a refused note that is listed twice or omitted.
func TestSummarize(t *testing.T) {
	unresponsive := admin.Answer[admin.Status]{Host: host("b", "o1"), Err: errors.New("timeout")}
	note := func(version core.Version) core.RefusedNote {
		return core.RefusedNote{Version: version, Kind: core.NoteField}
	}
	zone := func(name string, lowest, highest core.Version, inForce, queried, answered int) admin.ZoneStatus {
		return admin.ZoneStatus{AvailabilityZone: core.AvailabilityZone(name), Region: "otago", Lowest: lowest, Highest: highest, InForce: inForce, Queried: queried, Answered: answered}
	}
	for _, test := range []struct {
		name     string
		answers  []admin.Answer[admin.Status]
		required core.Version
		want     admin.FleetStatus
	}{
		{"nobody", nil, 0, admin.FleetStatus{}},
		{"newest required", []admin.Answer[admin.Status]{answer("a", "o2", admin.Status{Version: 4}), answer("b", "o1", admin.Status{Version: 3, LagReason: "cut off"})}, 0, admin.FleetStatus{
			Newest: 4, Zones: []admin.ZoneStatus{zone("o1", 3, 3, 0, 1, 1), zone("o2", 4, 4, 1, 1, 1)},
			Lagging: []admin.LaggingHost{{Host: "b", Version: 3, Reason: "cut off"}},
		}},
		{"older required", []admin.Answer[admin.Status]{answer("a", "o1", admin.Status{Version: 4}), answer("b", "o1", admin.Status{Version: 3})}, 3, admin.FleetStatus{
			Newest: 4, Zones: []admin.ZoneStatus{zone("o1", 3, 4, 2, 2, 2)},
		}},
		{"unresponsive host", []admin.Answer[admin.Status]{answer("a", "o1", admin.Status{Version: 4}), unresponsive}, 0, admin.FleetStatus{
			Newest: 4, Zones: []admin.ZoneStatus{zone("o1", 4, 4, 1, 2, 1)},
			Lagging: []admin.LaggingHost{{Host: "b", Reason: "does not answer: timeout"}},
		}},
		{"not serving", []admin.Answer[admin.Status]{answer("a", "o1", admin.Status{Version: 4, NotServing: core.Starting, LagReason: "no floor"})}, 4, admin.FleetStatus{
			Newest: 4, Zones: []admin.ZoneStatus{zone("o1", 4, 4, 0, 1, 1)},
			Lagging: []admin.LaggingHost{{Host: "a", Version: 4, Reason: "starting no floor"}},
		}},
		{"dead, leaving, store down, zone out", []admin.Answer[admin.Status]{
			{Host: core.Host{Name: "d", AvailabilityZone: "o1", State: core.HostDead}, Err: errors.New("refused")},
			answer("a", "o1", admin.Status{Version: 4, Leaving: true, StoreError: core.StoreDown, ZonesOut: []core.AvailabilityZone{"o2"}}),
		}, 0, admin.FleetStatus{
			Newest: 4, Zones: []admin.ZoneStatus{zone("o1", 4, 4, 1, 1, 1)},
			Dead: []core.HostName{"d"}, Leaving: []core.HostName{"a"},
			StoreFaults: []admin.StoreFault{{Host: "a", Kind: core.StoreDown}}, ZonesOut: []core.AvailabilityZone{"o2"},
		}},
		{"refused notes", []admin.Answer[admin.Status]{answer("a", "o1", admin.Status{Refused: []core.RefusedNote{note(9), note(2)}}), answer("b", "o1", admin.Status{Refused: []core.RefusedNote{note(2), note(5)}})}, 0, admin.FleetStatus{
			Zones: []admin.ZoneStatus{zone("o1", 0, 0, 2, 2, 2)}, Refused: []core.RefusedNote{note(2), note(5), note(9)},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, admin.Summarize(test.answers, test.required), qt.DeepEquals, test.want)
		})
	}
}

// TestSample guards against a sample that omits an availability zone, contains a host twice, grows
// with the fleet or consists of adjacent hosts in the list.
func TestSample(t *testing.T) {
	for _, test := range []struct {
		sizes   []int
		perZone int
		want    string
	}{
		{nil, 3, ""},
		{[]int{1, 2, 3}, 3, "0/0 1/0 1/1 2/0 2/1 2/2"},
		{[]int{9}, 3, "0/0 0/3 0/6"},
		{[]int{4, 1000}, 3, "0/0 0/1 0/2 1/0 1/333 1/666"},
		{[]int{5, 5}, 0, ""},
	} {
		var hosts []core.Host
		for zone, size := range test.sizes {
			for i := range size {
				hosts = append(hosts, host(fmt.Sprintf("%d/%d", zone, i), fmt.Sprint(zone)))
			}
		}
		var names []string
		for _, sampled := range admin.Sample(hosts, test.perZone) {
			names = append(names, string(sampled.Name))
		}
		qt.Check(t, strings.Join(names, " "), qt.Equals, test.want)
	}
}

// TestWriteTimelineHTML guards against a page that omits events, draws them outside the chart or
// interprets text of an event as markup.
func TestWriteTimelineHTML(t *testing.T) {
	at := func(wall int64, name, detail string, kind core.EventKind) core.Event {
		return core.Event{Time: core.Timestamp{Wall: wall}, Host: core.HostName(name), Kind: kind, Detail: detail}
	}
	const hostile = `"><script>alert('x')</script>&amp;`
	many := make([]core.Event, 0, 500)
	for i := range 500 {
		many = append(many, at(int64(1000+i/3), fmt.Sprint("host", i%7), fmt.Sprint("detail-", i, "-"), core.EventKinds[i%len(core.EventKinds)].Kind))
	}
	for _, test := range []struct {
		name   string
		events []core.Event
	}{
		{"none", nil},
		{"one", []core.Event{at(5, "a", "detail", core.EventReady)}},
		{"same millisecond", []core.Event{at(5, "a", "x", core.EventReady), at(5, "a", "x", core.EventReady)}},
		{"a day apart", []core.Event{at(0, "a", "x", core.EventReady), at(86_400_000, "b", "y", core.EventStarted)}},
		{"hostile text", []core.Event{at(5, hostile, hostile, core.EventKind(hostile))}},
		{"many", many},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var out strings.Builder
			c.Assert(admin.WriteTimelineHTML(&out, test.events), qt.IsNil)
			page := out.String()
			c.Check(strings.Count(page, "<circle "), qt.Equals, len(test.events))
			c.Check(strings.Count(page, "<tr><td>"), qt.Equals, len(test.events))
			c.Check(strings.Contains(page, "<script"), qt.IsFalse)
			c.Check(strings.Contains(page, `cx="-`), qt.IsFalse)
			if slices.ContainsFunc(test.events, func(e core.Event) bool { return e.Detail == hostile }) {
				c.Check(page, qt.Contains, "&lt;script&gt;")
			}
			for _, event := range test.events {
				if event.Detail != hostile {
					// Once in the title of the dot and once in the table.
					c.Check(strings.Count(page, event.Detail) >= 2, qt.IsTrue, qt.Commentf("%s", event.Detail))
				}
			}
		})
	}
}
