package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// ringEntry is one live member.
type ringEntry struct {
	hash uint64
	name core.HostName
}

// ring orders live members by the hash of their names, so that probe partners are in random
// availability zones and one failure rarely affects all probers of a member.
type ring struct {
	sortedSet[ringEntry]
}

func newRing() *ring {
	return &ring{
		sortedSet: sortedSet[ringEntry]{
			compare: compareRingEntries,
		},
	}
}

func newRingEntry(name core.HostName) ringEntry {
	return ringEntry{
		hash: xxhash.Sum64String(string(name)),
		name: name,
	}
}

func compareRingEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

func (r *ring) set(name core.HostName, live bool) {
	r.update(newRingEntry(name), live)
}

// after returns up to count members that follow the named one on the ring.
func (r *ring) after(name core.HostName, count int) []core.HostName {
	return r.neighbors(name, count, 1)
}

// before returns up to count members that precede the named one on the ring.
func (r *ring) before(name core.HostName, count int) []core.HostName {
	return r.neighbors(name, count, -1)
}

func (r *ring) neighbors(name core.HostName, count, step int) []core.HostName {
	size := len(r.items)
	start, found := slices.BinarySearchFunc(r.items, newRingEntry(name), compareRingEntries)
	if !found {
		return nil
	}
	var names []core.HostName
	for i := 1; i <= min(count, size-1); i++ {
		names = append(names, r.items[((start+i*step)%size+size)%size].name)
	}
	return names
}

// rings chooses between one ring per region and one ring for all. Probes stay inside a region
// where possible, since traffic between regions is billed and a partition between regions must
// not look like dead hosts. If any region has too few members to probe each other, the whole
// fleet uses one ring; every daemon derives this from the same member counts.
type rings struct {
	all      *ring
	byRegion map[core.Region]*ring
}

func (r *rings) set(host core.Host, live bool) {
	if r.byRegion == nil {
		r.all = newRing()
		r.byRegion = map[core.Region]*ring{}
	}
	regional := r.byRegion[host.Region]
	if regional == nil {
		regional = newRing()
		r.byRegion[host.Region] = regional
	}
	regional.set(host.Name, live)
	r.all.set(host.Name, live)
}

// forRegion returns the ring used by the members of a region.
func (r *rings) forRegion(region core.Region) *ring {
	for _, regional := range r.byRegion {
		if size := len(regional.items); size > 0 && size <= partnerCount {
			return r.all
		}
	}
	return r.byRegion[region]
}
