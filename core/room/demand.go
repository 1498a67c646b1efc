package room

import (
	"math"
	"time"
)

// demandSpan is the time over which the work of the priorities is averaged: a few times the service
// time of most requests, and short compared with the time in which the load changes.
const demandSpan = time.Second

// maxUrgentShare bounds the share of the slots that more urgent requests are expected to take, so that
// the expected wait of the others stays finite.
const maxUrgentShare = 0.8

// Demand averages how much work the requests of each priority brought. The zero value has seen none.
type Demand struct {
	priorities []priorityDemand
}

type priorityDemand struct {
	priority int
	// work is the sum of the service times, each fading by e in a demandSpan.
	work time.Duration
	at   time.Time
}

// Add counts a request.
func (d *Demand) Add(now time.Time, priority int, serviceTime time.Duration) {
	for i := range d.priorities {
		if p := &d.priorities[i]; p.priority == priority {
			p.work = p.fadedWork(now) + serviceTime
			p.at = now
			return
		}
	}
	d.priorities = append(d.priorities, priorityDemand{
		priority: priority,
		work:     serviceTime,
		at:       now,
	})
}

// UrgentShare returns the share of a number of slots that requests more urgent than a priority take.
func (d *Demand) UrgentShare(now time.Time, priority, slots int) float64 {
	var work time.Duration
	for i := range d.priorities {
		if p := &d.priorities[i]; p.priority < priority {
			work += p.fadedWork(now)
		}
	}
	return min(work.Seconds()/demandSpan.Seconds()/float64(max(slots, 1)), maxUrgentShare)
}

// Pressure returns the ratio of the work of all priorities to a number of slots.
func (d *Demand) Pressure(now time.Time, slots int) float64 {
	var work time.Duration
	for i := range d.priorities {
		work += d.priorities[i].fadedWork(now)
	}
	return work.Seconds() / demandSpan.Seconds() / float64(max(slots, 1))
}

func (p *priorityDemand) fadedWork(now time.Time) time.Duration {
	return time.Duration(float64(p.work) * math.Exp(-now.Sub(p.at).Seconds()/demandSpan.Seconds()))
}
