package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"verbenaway/core"
	"verbenaway/core/member"
)

// fleetTracker returns a tracker that knows count members in 2 regions and 420 services.
func fleetTracker(count int) (*member.Tracker, time.Time, []core.MemberEvent) {
	now := time.UnixMilli(1_800_000_000_000)
	var events []core.MemberEvent
	for i := range count {
		events = append(events, core.MemberEvent{
			Host: core.Host{
				Name:             core.HostName(fmt.Sprintf("host%04d", i)),
				AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("az%d", i%5)),
				Region:           core.Region(fmt.Sprintf("region%d", i%5%2)),
				Service:          core.ServiceName(fmt.Sprintf("service%d", i%420)),
				PeerAddress:      fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			},
			Incarnation: uint64(now.UnixMilli()),
			EligibleAt:  now.UnixMilli(),
		})
	}
	tracker := member.New(member.Config{
		Self:        events[0].Host,
		Incarnation: events[0].Incarnation,
		Random:      rand.New(rand.NewPCG(1, 1)),
	})
	tracker.HandleExchange(now, core.ExchangeMessage{
		Events: events,
	})
	for range 60 {
		now = now.Add(time.Second)
		tracker.Tick(now)
	}
	return tracker, now, events
}

// BenchmarkTick measures one tick without events; the driver ticks five times a second.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, now, _ := fleetTracker(count)
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				tracker.Tick(now)
			}
		})
	}
}

// BenchmarkEvent measures one event and the resulting gossip, including the rebuilt list of live
// members.
func BenchmarkEvent(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, now, events := fleetTracker(count)
			for b.Loop() {
				now = now.Add(time.Second)
				event := &events[1]
				event.Incarnation++
				tracker.HandleExchange(now, core.ExchangeMessage{
					Events: []core.MemberEvent{*event},
				})
				tracker.Tick(now)
			}
		})
	}
}
