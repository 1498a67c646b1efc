package route

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// An entry with few requests that spread over all upstreams of a service would hear from each of them
// too seldom: its reports would be out of date, and it would need a connection to each. So it uses a
// subset of each tier, and compares a few of these for a request. Different entries have different
// subsets and draws, so that those that hear the same report do not all move to the same upstream.
const (
	// localSubset and remoteSubset are the sizes of the subset of the local availability zone and of
	// any other tier.
	localSubset  = 16
	remoteSubset = 8
	// localDraws and remoteDraws are the numbers of upstreams that are compared for a request.
	localDraws  = 6
	remoteDraws = 2
	// subsetGrowth is by how many upstreams the subset of a tier grows with a request that finds only full
	// ones there. It shrinks once no request has done so for subsetGrowthTime.
	subsetGrowth     = 2
	subsetGrowthTime = 4 * time.Second
	// maxCandidates is the number of candidates for which no memory is allocated.
	maxCandidates = 48
)

// growth is how far the subset of a tier has grown because its upstreams were full.
type growth struct {
	upstreams atomic.Int64
	// at is the time of the latest growth on the monotonic scale.
	at atomic.Int64
}

// rankUpstreams sorts the upstreams of a tier by the hash of their names together with that of the entry,
// so that the subset is the beginning of the list. Few of it changes when upstreams come and go.
func rankUpstreams(self core.HostName, t *tier) {
	if len(t.upstreams) <= t.subsetSize() {
		return
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
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.upstream.host.Name, b.upstream.host.Name))
	})
	for i := range all {
		t.upstreams[i] = all[i].upstream
	}
}

func (t *tier) subsetSize() int {
	if t.distance == sameZone {
		return localSubset
	}
	return remoteSubset
}

// subset returns the upstreams that are used now.
func (t *tier) subset(now moment) []*upstream {
	size := t.subsetSize()
	if size >= len(t.upstreams) {
		return t.upstreams
	}
	if now-moment(t.growth.at.Load()) < moment(subsetGrowthTime) {
		size += int(t.growth.upstreams.Load())
	}
	return t.upstreams[:min(size, len(t.upstreams))]
}

// grow adds upstreams to the subset and returns them.
func (t *tier) grow(now moment) []*upstream {
	before := len(t.subset(now))
	after := min(before+subsetGrowth, len(t.upstreams))
	if after > t.subsetSize() {
		t.growth.upstreams.Store(int64(after - t.subsetSize()))
		t.growth.at.Store(int64(now))
	}
	return t.upstreams[before:after]
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
			tier:         t,
			upstream:     u,
			failureRatio: u.failureRatio(now),
		}
		c.reportedTime, c.isReported = u.serviceTimeOf(now, query.Route)
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
