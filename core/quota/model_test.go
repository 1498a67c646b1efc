package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"verbenaway/core"
)

// fault is one disturbance of a world.
type fault struct {
	name  string
	begin func(w *world)
	end   func(w *world)
}

// chosen returns a random part of the daemons.
func chosen(t *rapid.T, w *world, label string) []*node {
	share := rapid.SampledFrom([]float64{0.1, 0.2, 0.5, 1}).Draw(t, label)
	var nodes []*node
	for _, i := range w.random.Perm(len(w.daemons))[:max(int(share*float64(len(w.daemons))), 1)] {
		nodes = append(nodes, w.daemons[i])
	}
	return nodes
}

// drawFault returns a random disturbance.
func drawFault(t *rapid.T, w *world) fault {
	nodes := chosen(t, w, "share")
	faults := []fault{
		{
			name: "kill",
			begin: func(*world) {
				for _, n := range nodes {
					n.isDown = true
				}
			},
			end: func(w *world) {
				for _, n := range nodes {
					w.start(n)
				}
			},
		},
		{
			name: "leave",
			begin: func(*world) {
				for _, n := range nodes[:(len(nodes)+1)/2] {
					n.isRemoved = true
				}
			},
			end: func(*world) {
				for _, n := range nodes {
					n.isRemoved = false
				}
			},
		},
		{
			name: "storeDown",
			begin: func(w *world) {
				w.isStoreDown = true
			},
			end: func(w *world) {
				w.isStoreDown = false
				for _, n := range w.daemons {
					if !n.isCut {
						n.lastBeat = w.now
					}
				}
			},
		},
		{
			name: "quota",
			begin: func(w *world) {
				w.spec.RequestsPerSecond *= rapid.SampledFrom([]float64{0.2, 0.6, 3}).Draw(t, "factor")
			},
			end: func(*world) {},
		},
		{
			name: "cut",
			begin: func(w *world) {
				groups := 1 + w.random.IntN(len(nodes))
				for _, n := range nodes[:(len(nodes)+3)/4] {
					n.isCut, n.group = true, w.random.IntN(groups)
				}
			},
			end: func(*world) {
				for _, n := range nodes {
					n.isCut = false
				}
			},
		},
	}
	return rapid.SampledFrom(faults).Draw(t, "fault")
}

// TestBoundUnderFaults lets a tenant send many times its quota, from changing hosts, while daemons are
// killed, cut off, added and taken away, the store fails, messages get lost, late and doubled, and the
// quota changes.
func TestBoundUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			rapid.IntRange(1, 6).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "perZone"), core.QuotaSpec{
				RequestsPerSecond: rapid.SampledFrom([]float64{0.5, 4, 30, 150}).Draw(t, "rate"),
				Burst:             rapid.SampledFrom([]int{0, 5, 60}).Draw(t, "burst"),
			})
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "loss")
		w.duplication = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplication")
		w.returned = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "returned")
		excess := rapid.SampledFrom([]float64{0.9, 1.5, 5, 30}).Draw(t, "excess")
		for range 4 {
			current := drawFault(t, w)
			loaded := chosen(t, w, "loaded")
			for _, n := range w.daemons {
				n.load = 0
			}
			for _, n := range loaded {
				n.load = excess * w.spec.RequestsPerSecond / float64(len(loaded))
			}
			run(w, time.Duration(rapid.IntRange(0, 4000).Draw(t, "calmMs"))*time.Millisecond)
			current.begin(w)
			run(w, time.Duration(rapid.IntRange(100, 9000).Draw(t, "faultMs"))*time.Millisecond)
			current.end(w)
			t.Logf("%s until %v", current.name, w.now.Sub(time.Unix(1000, 0)))
		}
		run(w, 3*time.Second)
		ratio, at := w.worstWindow()
		t.Logf("worst window %.2f of the limit at %v", ratio, at.Sub(time.Unix(1000, 0)))
		if ratio > 1 {
			t.Fatal("the bound was passed")
		}
	})
}

func run(w *world, duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); {
		w.step()
	}
}

// TestWithinQuota moves the load of a tenant that keeps to its quota, and takes daemons away, without
// more than a few of its requests being refused once some seconds have passed.
func TestWithinQuota(t *testing.T) {
	move := func(daemons ...int) func(w *world, load float64) {
		return func(w *world, load float64) {
			for _, n := range w.daemons {
				n.load = 0
			}
			for _, i := range daemons {
				w.daemons[i].load = load / float64(len(daemons))
			}
		}
	}
	cases := []struct {
		name string
		spec core.QuotaSpec
		// share is the load relative to the rate of the quota.
		share  float64
		change func(w *world, load float64)
	}{
		{name: "to one host", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.9, change: move(7)},
		{name: "to one zone", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.9, change: move(5, 11, 17, 23)},
		{name: "few requests", spec: core.QuotaSpec{RequestsPerSecond: 4, Burst: 4}, share: 0.7, change: move(5, 11, 17, 23)},
		{name: "few requests to one host", spec: core.QuotaSpec{RequestsPerSecond: 4, Burst: 4}, share: 0.7, change: move(4)},
		{name: "hosts killed", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.6, change: func(w *world, _ float64) {
			for _, n := range w.daemons[:6] {
				n.isDown = true
			}
		}},
		{name: "zone lost", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.6, change: func(w *world, _ float64) {
			for i, n := range w.daemons {
				n.isDown = n.isDown || i%6 == 2
				n.isRemoved = n.isRemoved || i%6 == 2
			}
		}},
		{name: "all restarted", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.9, change: func(w *world, _ float64) {
			for _, n := range w.daemons {
				w.start(n)
			}
		}},
		{name: "store down", spec: core.QuotaSpec{RequestsPerSecond: 100, Burst: 50}, share: 0.9, change: func(w *world, _ float64) {
			w.isStoreDown = true
		}},
	}
	const (
		settleTime   = 4 * time.Second
		measureTime  = 30 * time.Second
		refusedShare = 0.05
	)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(rand.New(rand.NewPCG(1, 2)), 6, 4, tc.spec)
			load := tc.share * tc.spec.RequestsPerSecond
			for _, n := range w.daemons {
				n.load = load / float64(len(w.daemons))
			}
			run(w, 10*time.Second)
			tc.change(w, load)
			run(w, settleTime)
			since := w.now
			run(w, measureTime)
			served, refused := countSince(w.served, since), countSince(w.refused, since)
			ideal := countSince(w.idealRefused, since)
			t.Logf("served %d, refused %d, by one bucket %d; before and while it settled %d refused", served, refused, ideal, len(w.refused)-refused)
			c.Assert(float64(served) >= 0.5*load*measureTime.Seconds(), qt.IsTrue)
			c.Assert(float64(refused-ideal) <= refusedShare*float64(served), qt.IsTrue)
		})
	}
}

// TestBoundAtEdges repeats single faults, timed for the most harm, while a tenant sends 30 times its quota to
// all daemons.
func TestBoundAtEdges(t *testing.T) {
	cases := []struct {
		name    string
		zones   int
		perZone int
		rate    float64
		burst   int
		// fault is called every period with its number.
		period time.Duration
		fault  func(w *world, number int)
	}{
		{name: "registrations end and come back", zones: 1, perZone: 4, rate: 150, period: 700 * time.Millisecond, fault: func(w *world, number int) {
			for i, n := range w.daemons {
				n.isRemoved = i == number%len(w.daemons)
			}
		}},
		{name: "granter cut off with half of its zone", zones: 1, perZone: 2, rate: 150, period: 15 * time.Second, fault: func(w *world, number int) {
			w.cutGranters(number == 0)
		}},
		{name: "granters cut off and back", zones: 2, perZone: 2, rate: 150, burst: 300, period: 7 * time.Second, fault: func(w *world, number int) {
			w.cutGranters(number%2 == 0)
		}},
		{name: "store down for all when a granter is back", zones: 1, perZone: 2, rate: 150, period: 9 * time.Second, fault: func(w *world, number int) {
			w.cutGranters(number == 0)
			w.isStoreDown = number == 1
		}},
		{name: "all restarted", zones: 3, perZone: 2, rate: 150, burst: 300, period: 500 * time.Millisecond, fault: func(w *world, _ int) {
			for _, n := range w.daemons {
				w.start(n)
			}
		}},
		{name: "daemons come and go with a burst", zones: 1, perZone: 4, rate: 150, burst: 150, period: 700 * time.Millisecond, fault: func(w *world, number int) {
			n := w.daemons[number%len(w.daemons)]
			n.isRemoved = !n.isRemoved
			w.start(n)
		}},
		{name: "all restarted with a small quota", zones: 3, perZone: 6, rate: 1, period: 2500 * time.Millisecond, fault: func(w *world, _ int) {
			for _, n := range w.daemons {
				w.start(n)
			}
		}},
		{name: "zones emptied and filled", zones: 3, perZone: 2, rate: 150, period: 2 * time.Second, fault: func(w *world, number int) {
			for i, n := range w.daemons {
				n.isRemoved = number%2 == 0 && i%3 > 0
			}
		}},
		{name: "each alone", zones: 3, perZone: 2, rate: 1, period: 10 * time.Second, fault: func(w *world, number int) {
			for i, n := range w.daemons {
				n.isCut, n.group = number == 0, i
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(rand.New(rand.NewPCG(seed, 3)), tc.zones, tc.perZone, core.QuotaSpec{
					RequestsPerSecond: tc.rate,
					Burst:             tc.burst,
				})
				for _, n := range w.daemons {
					n.load = 30 * w.spec.RequestsPerSecond / float64(len(w.daemons))
				}
				run(w, 5*time.Second)
				for number := range int(20*time.Second/tc.period) + 1 {
					tc.fault(w, number)
					run(w, tc.period)
				}
				ratio, at := w.worstWindow()
				t.Logf("worst window %.2f of the limit at %v", ratio, at.Sub(time.Unix(1000, 0)))
				qt.Assert(t, ratio <= 1, qt.IsTrue)
			}
		})
	}
}
