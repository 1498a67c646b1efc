package quota

import (
	"fmt"
	"testing"
	"time"

	"verbenaway/core"
)

// newBenchRing returns the ring of the first of some daemons in six zones.
func newBenchRing(daemons int) *Ring {
	hosts := make([]core.Host, daemons)
	for i := range hosts {
		hosts[i] = core.Host{
			Name:             core.HostName(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)),
			AvailabilityZone: core.AvailabilityZone(fmt.Sprintf("az%d", i%6)),
		}
	}
	return NewRing(time.Unix(1000, 0), hosts[0], hosts, nil)
}

// BenchmarkGranters measures the search for the granters of a tenant, once for each request without a
// permit.
func BenchmarkGranters(b *testing.B) {
	for _, daemons := range []int{80, 5000} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			ring := newBenchRing(daemons)
			b.ReportAllocs()
			for b.Loop() {
				ring.Granters(tenant)
			}
		})
	}
}

// BenchmarkGrant measures an answer to another daemon.
func BenchmarkGrant(b *testing.B) {
	ring := newBenchRing(80)
	var bucket Bucket
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		bucket.Grant(now, Fill{
			Standing: ring.Standing(tenant),
			Spec: core.QuotaSpec{
				RequestsPerSecond: 100,
			},
			Bounds: testBounds,
			Zones:  ring.ZoneCount(now),
			Share:  1,
		}, 1)
	}
}
