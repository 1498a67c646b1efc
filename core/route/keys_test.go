package route_test

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/core"
	"verbenaway/core/route"
)

// manyTenants returns a snapshot with tenants t0, t1, ... of keysEach keys each, and the text of a key.
func manyTenants(count, keysEach int) (*core.Snapshot, func(tenant, key int) string) {
	text := func(tenant, key int) string {
		return fmt.Sprintf("h4jcda9rgy35i-%06d-%02d", tenant, key)
	}
	snapshot := &core.Snapshot{
		Tenants: make(map[core.TenantName]core.TenantSpec, count),
	}
	for i := range count {
		spec := core.TenantSpec{
			Name: core.TenantName(fmt.Sprintf("t%d", i)),
		}
		for k := range keysEach {
			spec.Keys = append(spec.Keys, core.DigestKey(text(i, k)))
		}
		snapshot.Tenants[spec.Name] = spec
	}
	return snapshot, text
}

// TestKeyIndex guards against a key that leads to another tenant than its own, or to one although none
// holds it.
func TestKeyIndex(t *testing.T) {
	c := qt.New(t)
	snapshot, text := manyTenants(200, 4)
	index := route.NewKeyIndex(snapshot)
	for i := range 200 {
		for k := range 4 {
			name, ok := index.Tenant(text(i, k))
			c.Assert(ok, qt.IsTrue)
			c.Assert(name, qt.Equals, core.TenantName(fmt.Sprintf("t%d", i)))
		}
		for _, other := range []string{text(i, 4), text(i, 0)[1:], text(i, 0) + " ", ""} {
			name, ok := index.Tenant(other)
			c.Assert(ok, qt.IsFalse, qt.Commentf("%q", other))
			c.Assert(name, qt.Equals, core.TenantName(""))
		}
	}
	c.Assert(route.NewKeyIndex(&core.Snapshot{}), qt.IsNil)
	_, ok := route.NewKeyIndex(&core.Snapshot{Tenants: map[core.TenantName]core.TenantSpec{}}).Tenant("a")
	c.Assert(ok, qt.IsFalse)
}

// TestKeyLookupAllocatesNothing guards against garbage for each request.
func TestKeyLookupAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	snapshot, text := manyTenants(20, 4)
	index := route.NewKeyIndex(snapshot)
	known, unknown := text(7, 2), text(7, 9)
	allocations := testing.AllocsPerRun(100, func() {
		index.Tenant(known)
		index.Tenant(unknown)
	})
	c.Assert(allocations, qt.Equals, 0.0)
}

// BenchmarkKeyLookup measures the look-up of a key among 2,000 tenants with 4 keys each.
func BenchmarkKeyLookup(b *testing.B) {
	snapshot, text := manyTenants(2000, 4)
	index := route.NewKeyIndex(snapshot)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = text(i*7%2000, i%4)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := index.Tenant(keys[i%len(keys)]); !ok {
			b.Fatal("a key was not found")
		}
	}
}

// BenchmarkKeyIndexMemory measures the memory that the tenants of a snapshot and their index take.
func BenchmarkKeyIndexMemory(b *testing.B) {
	var before, tenants, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		snapshot, _ := manyTenants(2000, 4)
		runtime.GC()
		runtime.ReadMemStats(&tenants)
		index := route.NewKeyIndex(snapshot)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(index)
		runtime.KeepAlive(snapshot)
	}
	b.ReportMetric(float64(tenants.HeapAlloc-before.HeapAlloc), "tenants-B")
	b.ReportMetric(float64(after.HeapAlloc-tenants.HeapAlloc), "index-B")
}
