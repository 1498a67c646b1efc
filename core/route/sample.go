package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// An entry with few requests that spread over all upstreams of a service would hear from each of them
// too seldom: its reports would be out of date, and it would need a connection to each. So it uses a
// subset of each tier, and compares a few of these for a request. Different entries have different
// subsets and draws, so that those that hear the same report do not all move to the same upstream.
const (
	// maxLocalSubset and maxRemoteSubset bound the subset of the local availability zone and of any
	// other tier.
	maxLocalSubset  = 16
	maxRemoteSubset = 8
	// localDraws and remoteDraws are the numbers of upstreams that are compared for a request.
	localDraws  = 8
	remoteDraws = 2
	// overflowDraws is the number of upstreams outside the subsets that are compared in addition, by
	// tier, if all those of the subsets are full.
	overflowDraws = 2
	// maxCandidates is the number of candidates for which no memory is allocated.
	maxCandidates = 32
)

// subset returns the upstreams of a tier that an entry uses as long as they have capacity: those with
// the highest hash of both names. Few of them change when upstreams come and go.
func subset(self core.HostName, t tier) []*upstream {
	size := maxRemoteSubset
	if t.distance == sameZone {
		size = maxLocalSubset
	}
	if len(t.upstreams) <= size {
		return t.upstreams
	}
	type ranked struct {
		upstream *upstream
		hash     uint64
	}
	all := make([]ranked, len(t.upstreams))
	for i, u := range t.upstreams {
		all[i] = ranked{
			upstream: u,
			hash:     xxhash.Sum64String(string(self) + " " + string(u.host.Name)),
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.upstream.host.Name, b.upstream.host.Name))
	})
	chosen := make([]*upstream, size)
	for i := range chosen {
		chosen[i] = all[i].upstream
	}
	return chosen
}

// sample appends up to count eligible upstreams of a list to the candidates, all of them if the list is
// that short.
func (b *Balancer) sample(now moment, query *Query, t *tier, list []*upstream, count int, includeBackoff bool, found []candidate) []candidate {
	if len(list) <= count {
		return b.scan(now, query, t, list, includeBackoff, found)
	}
	// A random start and step visit different upstreams, whatever the length of the list.
	n := uint64(len(list))
	random := b.config.Random()
	index, step := random%n, 1+(random>>32)%(n-1)
	limit := len(found) + count
	for range 2 * count {
		if found = b.scan(now, query, t, list[index:index+1], includeBackoff, found); len(found) == limit {
			break
		}
		index = (index + step) % n
	}
	return found
}

// scan appends the eligible upstreams of a list to the candidates, each of them once.
func (b *Balancer) scan(now moment, query *Query, t *tier, list []*upstream, includeBackoff bool, found []candidate) []candidate {
	for _, u := range list {
		if slices.Contains(query.Tried, u.host.Name) || !u.mayTry(now, includeBackoff) || hasCandidate(found, u) {
			continue
		}
		c := candidate{
			tier:     t,
			upstream: u,
		}
		c.serviceTime, c.isReported = u.serviceTimeOf(now, query.Route)
		found = append(found, c)
	}
	return found
}

func hasCandidate(found []candidate, u *upstream) bool {
	for i := range found {
		if found[i].upstream == u {
			return true
		}
	}
	return false
}
