package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaway/core"
	"verbenaway/core/spread"
)

// convergence is the bound of promise 12: all daemons agree within it after the last fault.
const convergence = 12 * time.Second

// TestFaults runs random sequences of faults. It guards against a version that decreases, a
// version with two hashes, a daemon that becomes ready below a version that a live peer
// reported at start, a configuration that differs from the fold, and a fleet that does not
// agree within the bound.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(8, 20).Draw(t, "size")
		notes := rapid.SampledFrom([]int{3, 3, 70}).Draw(t, "notes")
		s := newSimulation(t, size, notes, rapid.Uint64().Draw(t, "seed"))
		t.Repeat(s.faults())
		s.healAndCheck()
	})
}

func (s *simulation) randomDaemon(t *rapid.T) *daemon {
	return s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")]
}

// faults returns the steps that rapid picks from.
func (s *simulation) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) {},
		"time": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * 100 * time.Millisecond)
		},
		"calm": func(*rapid.T) {
			for range 10 {
				s.advance(100 * time.Millisecond)
				s.deliverAll()
			}
		},
		"messages": func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "count") {
				s.deliverRandom(t)
			}
		},
		"views": func(t *rapid.T) {
			for _, d := range s.daemons {
				if d.machine != nil && d.pausedAt.IsZero() && rapid.Bool().Draw(t, "fresh") {
					s.refreshView(d)
				}
			}
		},
		"publish": func(t *rapid.T) { s.publish(rapid.IntRange(0, 7).Draw(t, "kind")) },
		"checkpoint": func(t *rapid.T) {
			s.checkpoint = core.Version(rapid.IntRange(1, int(s.official.head())).Draw(t, "at"))
		},
		"store": func(t *rapid.T) {
			s.down = rapid.Bool().Draw(t, "down")
			s.slow = rapid.Bool().Draw(t, "slow")
		},
		"history": func(t *rapid.T) { s.changeHistory(t) },
		"hosts":   func(*rapid.T) { s.hosts.Revision++ },
		"partition": func(t *rapid.T) {
			for _, d := range s.daemons {
				d.side = rapid.IntRange(0, 1).Draw(t, "side")
			}
		},
		"join": func(*rapid.T) {
			for _, d := range s.daemons {
				d.side = 0
			}
		},
		"crash": func(t *rapid.T) {
			if d := s.randomDaemon(t); d.machine != nil {
				s.crash(d)
			}
		},
		"restart": func(t *rapid.T) { s.restart(s.randomDaemon(t)) },
		"pause": func(t *rapid.T) {
			if d := s.randomDaemon(t); d.machine != nil && d.pausedAt.IsZero() {
				d.pausedAt = s.now
			}
		},
		"resume": func(t *rapid.T) {
			if d := s.randomDaemon(t); d.machine != nil && !d.pausedAt.IsZero() {
				s.resume(d)
			}
		},
		"observe": func(t *rapid.T) {
			d, other := s.randomDaemon(t), s.randomDaemon(t)
			if d.machine != nil && other.machine != nil && d.pausedAt.IsZero() {
				s.handle(d, spread.VersionObserved{Host: hostAt(other.index).Name, Version: other.machine.Served().Version})
			}
		},
	}
}

// deliverRandom delivers, drops, duplicates or corrupts a random message.
func (s *simulation) deliverRandom(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	m := s.messages[rapid.IntRange(0, len(s.messages)-1).Draw(t, "letter")]
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 0:
		m.lost = true
	case 1:
		s.deliver(m, true)
	case 2:
		m.corrupt = true
	default:
		s.deliver(m, false)
	}
}

// changeHistory rolls the store back, rolls it back and forks it, or restores it.
func (s *simulation) changeHistory(t *rapid.T) {
	s.changedAt = s.now
	at := core.Version(rapid.IntRange(1, int(s.official.head())).Draw(t, "at"))
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		s.visible = s.official.branch(at)
	case 1:
		s.visible = s.official.branch(at)
		for range rapid.IntRange(1, 3).Draw(t, "other") {
			s.forkCount++
			s.visible.add(routeText(s.visible.head()+1, "", fmt.Sprintf("fork%d", s.forkCount)))
		}
		s.addToOracle(s.visible)
	case 2:
		s.visible = s.official
	}
}

// deliverAll delivers until only waiting or lost messages are left.
func (s *simulation) deliverAll() {
	for range 50 {
		moved := false
		for _, m := range slices.Clone(s.messages) {
			if slices.Contains(s.messages, m) && s.deliver(m, false) {
				moved = true
			}
		}
		if !moved {
			return
		}
	}
	s.t.Fatalf("delivery does not end: %d messages are pending", len(s.messages))
}

// healAndCheck ends all faults and checks that all daemons agree within the bound. It
// restarts daemons that followed a forked store while they knew no peer, or that have a floor
// from such a daemon, as the help for kind peerFork advises.
func (s *simulation) healAndCheck() {
	s.down, s.slow = false, false
	s.visible, s.changedAt = s.official, s.now
	for _, d := range s.daemons {
		d.side = 0
	}
	for _, d := range s.daemons {
		if d.machine == nil || !s.isOfficial(d) {
			s.restart(d)
		} else if !d.pausedAt.IsZero() {
			s.resume(d)
		}
	}
	// A message of a daemon that followed a fork must not arrive after its restart.
	for _, m := range s.messages {
		m.lost = true
	}
	s.runWithoutFaults(convergence)
	for _, d := range s.daemons {
		served := d.machine.Served()
		if served.Version != s.official.head() || served.Hash != s.official.fulls[s.official.head()].Hash || d.machine.Refusal() != "" {
			s.t.Fatalf("daemon %d (%s) after %s: version %d of %d, refusal %q, %+v", d.index, hostAt(d.index).Region,
				convergence, served.Version, s.official.head(), d.machine.Refusal(), d.machine.Status(s.now))
		}
	}
	s.checkOperations(12, 24)
	s.runWithoutFaults(convergence)
	s.checkOperations(4, 8)
	for _, d := range s.daemons {
		if revision := d.machine.Digest(s.now).HostsRevision; revision != s.hosts.Revision {
			s.t.Fatalf("daemon %d has host list revision %d, want %d", d.index, revision, s.hosts.Revision)
		}
	}
}

// runWithoutFaults lets time pass without faults and corrects all views every second.
func (s *simulation) runWithoutFaults(period time.Duration) {
	for step := 1; step <= int(period/(100*time.Millisecond)); step++ {
		s.advance(100 * time.Millisecond)
		s.deliverAll()
		if step%10 == 0 {
			for _, d := range s.daemons {
				s.refreshView(d)
			}
		}
	}
}

func (s *simulation) isOfficial(d *daemon) bool {
	served := d.machine.Served()
	return served.Version <= s.official.head() && d.machine.Status(s.now).Floor <= s.official.head() &&
		s.official.fulls[served.Version].Hash == served.Hash
}

// checkOperations bounds the store operations of each region over the last seconds. A reader
// watches the notes and the host list and verifies its newest note, which takes 3 to 4
// operations per second. After a fault up to 6 ranks read, in a healthy region 2.
func (s *simulation) checkOperations(seconds int64, bound float64) {
	total := map[core.Region]float64{}
	for second := s.now.Unix() - seconds; second < s.now.Unix(); second++ {
		for region, operations := range s.operations[second] {
			total[region] += operations / float64(seconds)
		}
	}
	for region, operations := range total {
		if operations > bound {
			for _, d := range s.daemons {
				s.t.Logf("daemon %d: %+v", d.index, d.machine.Status(s.now))
			}
			s.t.Fatalf("region %s: %.1f store operations per second, at most %.0f allowed", region, operations, bound)
		}
	}
}
