package snap_test

import (
	"fmt"
	"testing"

	"verbenaway/core"
	"verbenaway/core/snap"
)

// targetConfiguration returns the configuration of section 2.5 of the design page: 420 services
// with five routes and one limit each.
func targetConfiguration(b *testing.B) *core.Snapshot {
	written := baseNote()
	for i := range 420 {
		service := core.ServiceName(fmt.Sprintf("service%d", i))
		written.Add.Services = append(written.Add.Services, core.ServiceSpec{Name: service, Slots: 18, Connections: 130, ColdSlots: 2})
		for j := range 5 {
			written.Add.Routes = append(written.Add.Routes, core.RouteSpec{
				Name: core.RouteName(fmt.Sprintf("%s-route%d", service, j)), Host: string(service) + ".example", PathPrefix: fmt.Sprintf("/path%d", j),
				Methods: []string{"GET", "HEAD"}, Service: service, Class: core.ClassLookup, Timeout: core.Duration(1e9),
			})
		}
		written.Add.Limits = append(written.Add.Limits, core.LimitSpec{
			Name: fmt.Sprintf("limit%d", i), Route: core.RouteName(fmt.Sprintf("%s-route0", service)), RequestsPerSecond: 50, Burst: 10, Concurrent: 8,
		})
	}
	full, slice := snap.Fold(snap.Empty(""), 1, encodeNote(written), received)
	if slice.Verdict != "" {
		b.Fatal(slice.Reason)
	}
	return full
}

var changeOne = []byte("version = 2\nagainst = 1\nchange.limit = [{name = 'limit7', route = 'service7-route0', requestsPerSecond = 60, burst = 10, concurrent = 8}]\n")

// BenchmarkFold measures the cost of one change for a store reader.
func BenchmarkFold(b *testing.B) {
	full := targetConfiguration(b)
	b.ReportAllocs()
	for b.Loop() {
		snap.Fold(full, 2, changeOne, received)
	}
}

// BenchmarkApply measures the cost of one change for each daemon.
func BenchmarkApply(b *testing.B) {
	full := targetConfiguration(b)
	_, slice := snap.Fold(full, 2, changeOne, received)
	current := snap.ForRegion(full, "otago")
	slice = snap.Restrict(slice, "otago")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := snap.Apply(current, slice); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncode measures encoding a full snapshot, as sent to a daemon that is far behind.
func BenchmarkEncode(b *testing.B) {
	full := targetConfiguration(b)
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := snap.Encode(full)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	}
}
