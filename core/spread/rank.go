package spread

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// ranking orders the usable members by rendezvous hashing. It is rebuilt when the members
// change; in between only rank may change. Its lists point into the list of members, since copies
// of 5,000 hosts would be several megabytes per change. The hash key is the region and name of
// a host, so that the tree and its connections are the same for every version.
type ranking struct {
	self core.Host
	// byName holds all usable members, including the local host.
	byName map[core.HostName]*core.Host
	// readerCandidates holds the members of each region that are not leaving, best rank first.
	readerCandidates map[core.Region][]*core.Host
	// zones holds the members of the local region's availability zones, best rank first.
	zones map[core.AvailabilityZone][]*core.Host
	// regionPeers and otherRegionPeers are the other members, by region.
	regionPeers      []*core.Host
	otherRegionPeers []*core.Host
	// zoneIndex is the index of the local host in its zone.
	zoneIndex int
	// rank is the index of the local host in its region's candidates, -1 if it is leaving.
	rank int
}

type scoredMember struct {
	host    *core.Host
	score   uint64
	leaving bool
}

// newRanking ranks the members, which must not be modified afterwards. It leaves out suspect
// members: a push to one would cost a timeout, and a falsely suspected one still gets the
// version with the next digest.
func newRanking(self core.Host, members []core.Member, leaving bool) *ranking {
	scores := make([]scoredMember, 0, len(members)+1)
	scores = append(scores, scoredMember{
		host:    &self,
		score:   score(&self),
		leaving: leaving,
	})
	for i := range members {
		member := &members[i]
		if member.Host.Name == self.Name || member.State > core.MemberLeaving {
			continue
		}
		scores = append(scores, scoredMember{
			host:    &member.Host,
			score:   score(&member.Host),
			leaving: member.State == core.MemberLeaving,
		})
	}
	slices.SortFunc(scores, func(a, b scoredMember) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.host.Name), string(b.host.Name))
	})
	return rankingOf(self, scores)
}

func rankingOf(self core.Host, scores []scoredMember) *ranking {
	r := &ranking{
		self:             self,
		byName:           make(map[core.HostName]*core.Host, len(scores)),
		readerCandidates: map[core.Region][]*core.Host{},
		zones:            map[core.AvailabilityZone][]*core.Host{},
		rank:             -1,
	}
	for _, s := range scores {
		host := s.host
		r.byName[host.Name] = host
		if !s.leaving {
			if host.Name == self.Name {
				r.rank = len(r.readerCandidates[host.Region])
			}
			r.readerCandidates[host.Region] = append(r.readerCandidates[host.Region], host)
		}
		if host.Region != self.Region {
			r.otherRegionPeers = append(r.otherRegionPeers, host)
			continue
		}
		if host.Name == self.Name {
			r.zoneIndex = len(r.zones[host.AvailabilityZone])
		} else {
			r.regionPeers = append(r.regionPeers, host)
		}
		r.zones[host.AvailabilityZone] = append(r.zones[host.AvailabilityZone], host)
	}
	return r
}

func score(host *core.Host) uint64 {
	return xxhash.Sum64String(string(host.Region) + "/" + string(host.Name))
}

// readerRank returns the rank of a member that may read in the local region, and maxReaders
// for all others.
func (r *ranking) readerRank(name core.HostName) int {
	candidates := r.readerCandidates[r.self.Region]
	for i := 0; i < len(candidates) && i < maxReaders; i++ {
		if candidates[i].Name == name {
			return i
		}
	}
	return maxReaders
}

// branch is a child in the push tree with the members below it in level order.
type branch struct {
	child   core.Host
	subtree []core.HostName
}

// splitSubtree divides the members below a node, in level order, among its children. Because
// of this order, the subtree in a push equals the one that a member derives from its own
// ranking, so both use the same connections.
func (r *ranking) splitSubtree(below []core.HostName) []branch {
	known := make([]core.HostName, 0, len(below))
	for _, name := range below {
		if _, ok := r.byName[name]; ok && name != r.self.Name {
			known = append(known, name)
		}
	}
	branches := make([]branch, min(fanOut, len(known)))
	owner := make([]int, len(known))
	for i, name := range known {
		if i < fanOut {
			owner[i] = i
			branches[i].child = *r.byName[name]
			continue
		}
		owner[i] = owner[i/fanOut-1]
		branches[owner[i]].subtree = append(branches[owner[i]].subtree, name)
	}
	return branches
}

// descendants returns the members below the local host in the tree of its zone.
func (r *ranking) descendants() []core.HostName {
	zone := r.zones[r.self.AvailabilityZone]
	var names []core.HostName
	first, last := r.zoneIndex*fanOut+1, r.zoneIndex*fanOut+fanOut
	for first < len(zone) {
		for i := first; i <= last && i < len(zone); i++ {
			names = append(names, zone[i].Name)
		}
		first, last = first*fanOut+1, last*fanOut+fanOut
	}
	return names
}

// zoneRoots returns the first-ranked member of each zone of the local region, with the other
// members of its zone below it. If the local host is the root of its zone, its children are
// returned instead.
func (r *ranking) zoneRoots() []branch {
	var branches []branch
	for _, zone := range sortedKeys(r.zones) {
		hosts := r.zones[zone]
		names := make([]core.HostName, 0, len(hosts))
		for _, host := range hosts[1:] {
			names = append(names, host.Name)
		}
		if hosts[0].Name == r.self.Name {
			branches = append(branches, r.splitSubtree(names)...)
			continue
		}
		branches = append(branches, branch{
			child:   *hosts[0],
			subtree: names,
		})
	}
	return branches
}

func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
