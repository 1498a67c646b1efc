package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// byZone sums counts of upstreams by availability zone.
func byZone(counts map[core.HostName]int) map[string]int {
	zones := map[string]int{}
	for name, count := range counts {
		zones[string(name[:2])] += count
	}
	return zones
}

// TestHerdOnOneReport guards against entries that all move to the one upstream that was reported as free,
// which is then the fullest.
func TestHerdOnOneReport(t *testing.T) {
	const entries = 60
	moved := 0
	for entry := range entries {
		fixture := newFleetFixture(12, entry)
		fixture.use(200, func(host core.Host) route.LoadReport {
			report := usualLoad(host)
			if host.Name != "a1-3" {
				report.InFlight = 5
			}
			return report
		})
		choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		qt.Assert(t, ok, qt.IsTrue)
		if choice.Host.Name == "a1-3" {
			moved++
		}
	}
	// Each entry compares half of the zone.
	qt.Assert(t, moved > entries/10 && moved < entries*6/10, qt.IsTrue, qt.Commentf("%d of %d moved", moved, entries))
}

// TestWaveBetweenZones guards against a wave of load in one zone that is refused there, or that floods
// the next zone in turn: it goes to the zones that have room.
func TestWaveBetweenZones(t *testing.T) {
	c := qt.New(t)
	fixture := newFleetFixture(5, 1)
	wave := func(host core.Host) route.LoadReport {
		report := usualLoad(host)
		switch host.AvailabilityZone {
		case "a1":
			report.InFlight, report.QueueTime = 12, 300*time.Millisecond
		case "a2":
			report.InFlight, report.QueueTime = 10, 250*time.Millisecond
		}
		return report
	}
	c.Assert(byZone(fixture.use(200, usualLoad))["a1"], qt.Equals, 200)
	fixture.use(100, wave)
	zones := byZone(fixture.use(400, wave))
	full := zones["a1"] + zones["a2"]
	c.Check(full < 100, qt.IsTrue, qt.Commentf("%v", zones))
	for _, zone := range []string{"b1", "b2", "c1", "c2"} {
		c.Check(zones[zone] > 20, qt.IsTrue, qt.Commentf("%v", zones))
	}
	// After the wave the requests come back.
	fixture.use(100, usualLoad)
	fixture.now = fixture.now.Add(4 * time.Second)
	zones = byZone(fixture.use(200, usualLoad))
	c.Check(zones["a1"] >= 190, qt.IsTrue, qt.Commentf("%v", zones))
}

// TestStaleReportsAreNotRoom guards against upstreams that look empty because they reported nothing
// lately, so that an entry sends one request after the other into a full zone.
func TestStaleReportsAreNotRoom(t *testing.T) {
	fixture := newFleetFixture(40, 1)
	load := func(host core.Host) route.LoadReport {
		report := usualLoad(host)
		switch host.AvailabilityZone {
		case "a1":
			report.InFlight = 6
		case "a2":
			report.InFlight, report.QueueTime = 12, 200*time.Millisecond
		}
		return report
	}
	fixture.use(300, load)
	// The reports of a2 are older than maxLoadAge of 2 s for most of its upstreams.
	fixture.now = fixture.now.Add(time.Second)
	zones := byZone(fixture.use(200, load))
	qt.Assert(t, zones["a2"] < 20, qt.IsTrue, qt.Commentf("%v", zones))
}

// TestSlowThirdOfService guards against an entry that forgets within seconds which upstreams of a service
// are slow for good, and makes the requests late that go to them.
func TestSlowThirdOfService(t *testing.T) {
	fixture := newFleetFixture(6, 1)
	fixture.query.Target = 200 * time.Millisecond
	isSlow := func(name core.HostName) bool {
		return name[len(name)-1] < '2'
	}
	for range 5 {
		for _, member := range fixture.query.Members[:6] {
			report := usualLoad(member.Host)
			if isSlow(member.Host.Name) {
				report.ServiceTime = 160 * time.Millisecond
			}
			fixture.report(member.Host.Name, report)
		}
	}
	// All reports are out of date now.
	fixture.now = fixture.now.Add(5 * time.Second)
	slow := 0
	for range 100 {
		choice, _ := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		if isSlow(choice.Host.Name) {
			slow++
		}
		fixture.balancer.Release(choice)
	}
	qt.Assert(t, slow < 15, qt.IsTrue, qt.Commentf("%d of 100 requests to the slow third", slow))
}

// TestSlownessOfTheMoment guards against requests to an upstream whose host is busy with other programs
// just now, and against avoiding it when that is long over.
func TestSlownessOfTheMoment(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	fixture.query.Target = 200 * time.Millisecond
	usual := route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: 60 * time.Millisecond, Slowness: 1}
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		fixture.report(name, usual)
	}
	slow := usual
	slow.Slowness = 3
	fixture.report("a1", slow)
	c.Assert(fixture.countChoices()["a1"], qt.Equals, 0)
	fixture.now = fixture.now.Add(600 * time.Millisecond)
	c.Assert(fixture.countChoices()["a1"] >= 90, qt.IsTrue)
}

// TestDownloadsOverThinLinks guards against downloads that queue behind others on the link of one host, and
// against short answers that are late behind downloads.
func TestDownloadsOverThinLinks(t *testing.T) {
	const rate = 2_000_000 // bytes per second
	cases := []struct {
		name        string
		target      time.Duration
		answerBytes int64
		linkWait    time.Duration
		want        core.HostName
	}{
		{name: "link is free", target: 500 * time.Millisecond, answerBytes: 400, want: "a1"},
		{name: "short answers go round downloads", target: 200 * time.Millisecond, answerBytes: 400, linkWait: 150 * time.Millisecond, want: "a2"},
		{name: "downloads go round downloads", target: 500 * time.Millisecond, answerBytes: 90_000, linkWait: 400 * time.Millisecond, want: "a2"},
		{name: "short wait is not worth the way", target: 500 * time.Millisecond, answerBytes: 90_000, linkWait: 50 * time.Millisecond, want: "a1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newCostFixture()
			fixture.query.Target = tc.target
			fixture.balancer.RecordAnswerBytes("lookup", tc.answerBytes)
			for _, name := range []core.HostName{"a1", "a2", "b1", "b2"} {
				report := route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: 60 * time.Millisecond, LinkRate: rate}
				if name == "a1" {
					report.LinkWait = tc.linkWait
				}
				fixture.report(name, report)
			}
			counts := fixture.countChoices()
			qt.Assert(t, counts[tc.want] >= 90, qt.IsTrue, qt.Commentf("%v", counts))
		})
	}
}

// TestLink checks the wait on a link: one after the other, and none after a pause or at unknown speed.
func TestLink(t *testing.T) {
	c := qt.New(t)
	link := route.NewLinkQueue(2_000_000)
	c.Assert(link.Wait(start), qt.Equals, time.Duration(0))
	link.Add(start, 100_000)
	link.Add(start, 100_000)
	c.Assert(link.Wait(start), qt.Equals, 100*time.Millisecond)
	link.Add(start, -1)
	c.Assert(link.Wait(start.Add(60*time.Millisecond)), qt.Equals, 40*time.Millisecond)
	later := start.Add(time.Second)
	c.Assert(link.Wait(later), qt.Equals, time.Duration(0))
	link.Add(later, 20_000)
	c.Assert(link.Wait(later), qt.Equals, 10*time.Millisecond)
	unknown := route.NewLinkQueue(0)
	unknown.Add(start, 1<<40)
	c.Assert(unknown.Wait(start), qt.Equals, time.Duration(0))
}

// TestZoneLost guards against requests that go on to a zone without power: each of its hosts costs at most
// one request, and the others take over.
func TestZoneLost(t *testing.T) {
	c := qt.New(t)
	fixture := newFleetFixture(5, 1)
	fixture.use(200, usualLoad)
	lost := 0
	for range 100 {
		fixture.now = fixture.now.Add(time.Millisecond)
		choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		c.Assert(ok, qt.IsTrue)
		if choice.Host.AvailabilityZone == "a1" {
			lost++
			fixture.balancer.RecordRefusal(fixture.now, choice, core.NoUpstream)
		} else {
			fixture.balancer.RecordAnswer(choice)
		}
		fixture.balancer.Release(choice)
	}
	c.Assert(lost <= 5, qt.IsTrue, qt.Commentf("%d requests lost", lost))
}

// TestRestartWithEmptyMemory guards against entries that start without any report and all use the same
// upstreams of their zone, or leave it.
func TestRestartWithEmptyMemory(t *testing.T) {
	c := qt.New(t)
	counts := map[core.HostName]int{}
	for entry := range 60 {
		fixture := newFleetFixture(6, entry)
		choice, ok := fixture.balancer.ChooseByCost(fixture.now, fixture.query)
		c.Assert(ok, qt.IsTrue)
		counts[choice.Host.Name]++
	}
	c.Assert(byZone(counts)["a1"], qt.Equals, 60)
	for i := range 6 {
		name := core.HostName(fmt.Sprintf("a1-%d", i))
		c.Check(counts[name] >= 3 && counts[name] <= 20, qt.IsTrue, qt.Commentf("%v", counts))
	}
}

// TestLateReports guards against reports that come with a clock step or after their time: the figures of an
// answer count from its arrival, and a pause of the process does not make them current again.
func TestLateReports(t *testing.T) {
	c := qt.New(t)
	fixture := newCostFixture()
	full := route.LoadReport{InFlight: 30, Limit: 18, QueueTime: 400 * time.Millisecond, ServiceTime: 100 * time.Millisecond, Slowness: 2}
	for _, name := range []core.HostName{"a2", "b1", "b2"} {
		fixture.report(name, route.LoadReport{InFlight: 2, Limit: 18, ServiceTime: 100 * time.Millisecond})
	}
	fixture.report("a1", full)
	c.Assert(fixture.countChoices()["a1"], qt.Equals, 0)
	fixture.now = fixture.now.Add(10 * time.Second)
	c.Assert(fixture.countChoices()["a1"] >= 90, qt.IsTrue)
}
