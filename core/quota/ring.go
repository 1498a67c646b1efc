package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// departureMemory is how long a ring remembers departed daemons. Longer ago, the daemon that took
// over has saved up its burst.
const departureMemory = time.Minute

// Ring tells which daemons grant the permits of a tenant. It is immutable.
type Ring struct {
	self core.HostName
	// selfSince is the time since which this daemon has been in the ring, zero if it is not.
	selfSince time.Time
	// startedAt is the time of the first ring of the process.
	startedAt time.Time
	// zones has the zones with daemons: that of this daemon, then the others of its region, then the
	// rest.
	zones []ringZone
	size  int
	// hash is equal for equal sets of daemons.
	hash uint64
	// departed holds the daemons of this daemon's zone that left within departureMemory.
	departed []departure
	// emptied holds the times at which zones lost their last daemon, within Fence.
	emptied []time.Time
}

type ringZone struct {
	name    core.AvailabilityZone
	members []ringMember
}

type ringMember struct {
	hash uint64
	host core.Host
}

type departure struct {
	hash uint64
	at   time.Time
}

// NewRing returns the ring for the known daemons. Last is the ring before, nil if there is none.
func NewRing(now time.Time, self core.Host, hosts []core.Host, last *Ring) *Ring {
	r := &Ring{
		self:      self.Name,
		startedAt: now,
		size:      len(hosts),
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b core.Host) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			// Daemons turn to the other zones in different orders.
			cmp.Compare(zoneOrder(self.Name, a.AvailabilityZone), zoneOrder(self.Name, b.AvailabilityZone)),
			cmp.Compare(a.AvailabilityZone, b.AvailabilityZone),
			cmp.Compare(a.Name, b.Name),
		)
	})
	for _, host := range sorted {
		if host.Name == self.Name {
			r.selfSince = now
		}
		if len(r.zones) == 0 || r.zones[len(r.zones)-1].name != host.AvailabilityZone {
			r.zones = append(r.zones, ringZone{
				name: host.AvailabilityZone,
			})
		}
		zone := &r.zones[len(r.zones)-1]
		member := ringMember{
			hash: xxhash.Sum64String(string(host.Name)),
			host: host,
		}
		zone.members = append(zone.members, member)
		r.hash += score(0, member.hash)
	}
	if last != nil {
		r.inherit(now, self.AvailabilityZone, last)
	}
	return r
}

// inherit takes over the history of the ring before.
func (r *Ring) inherit(now time.Time, own core.AvailabilityZone, last *Ring) {
	r.startedAt = last.startedAt
	if !r.selfSince.IsZero() && !last.selfSince.IsZero() {
		r.selfSince = last.selfSince
	}
	for _, d := range last.departed {
		if now.Sub(d.at) < departureMemory {
			r.departed = append(r.departed, d)
		}
	}
	for _, at := range last.emptied {
		if now.Sub(at) < Fence {
			r.emptied = append(r.emptied, at)
		}
	}
	for _, zone := range last.zones {
		members := r.zoneMembers(zone.name)
		if len(members) == 0 {
			r.emptied = append(r.emptied, now)
		}
		if zone.name != own {
			continue
		}
		for _, member := range zone.members {
			if !slices.ContainsFunc(members, func(m ringMember) bool { return m.hash == member.hash }) {
				r.departed = append(r.departed, departure{
					hash: member.hash,
					at:   now,
				})
			}
		}
	}
}

func (r *Ring) zoneMembers(name core.AvailabilityZone) []ringMember {
	for i := range r.zones {
		if r.zones[i].name == name {
			return r.zones[i].members
		}
	}
	return nil
}

// HasSameHosts reports whether the ring is for the same daemons.
func (r *Ring) HasSameHosts(hosts []core.Host) bool {
	if len(hosts) != r.size {
		return false
	}
	known := make(map[core.HostName]core.Host, r.size)
	for i := range r.zones {
		for _, member := range r.zones[i].members {
			known[member.host.Name] = member.host
		}
	}
	return !slices.ContainsFunc(hosts, func(host core.Host) bool {
		other, ok := known[host.Name]
		return !ok || other.AvailabilityZone != host.AvailabilityZone || other.PeerAddress != host.PeerAddress
	})
}

// Rejoined returns the ring for a daemon that may have been taken for gone until now.
func (r *Ring) Rejoined(now time.Time) *Ring {
	rejoined := *r
	if !r.selfSince.IsZero() {
		rejoined.selfSince = now
	}
	return &rejoined
}

// Size returns the number of daemons.
func (r *Ring) Size() int {
	return r.size
}

// Hash is equal for equal sets of daemons.
func (r *Ring) Hash() uint64 {
	return r.hash
}

// ZoneCount returns the number of zones among which quotas are divided. A zone that has lost its last
// daemon counts for Fence longer.
func (r *Ring) ZoneCount(now time.Time) int {
	count := len(r.zones)
	for _, at := range r.emptied {
		if now.Sub(at) < Fence {
			count++
		}
	}
	return count
}

// Granters returns the granter of each zone in the order in which this daemon asks them.
func (r *Ring) Granters(tenant core.TenantName) []core.Host {
	seed := xxhash.Sum64String(string(tenant))
	granters := make([]core.Host, len(r.zones))
	for i := range r.zones {
		granters[i] = highest(seed, r.zones[i].members).host
	}
	return granters
}

// Standing is whether and since when a daemon grants the permits of a tenant.
type Standing struct {
	IsGranter bool
	// From is the time from which on it grants, which may be in the future.
	From time.Time
	// ReducedUntil is the end of the time after From in which it grants only startShare; zero if it did
	// not begin to grant at its start.
	ReducedUntil time.Time
}

// Standing returns that of this daemon.
func (r *Ring) Standing(tenant core.TenantName) Standing {
	if r.selfSince.IsZero() {
		return Standing{}
	}
	seed := xxhash.Sum64String(string(tenant))
	if highest(seed, r.zones[0].members).host.Name != r.self {
		return Standing{}
	}
	standing := Standing{
		IsGranter:    true,
		From:         r.startedAt,
		ReducedUntil: r.startedAt.Add(startTime),
	}
	since := r.selfSince
	own := score(seed, xxhash.Sum64String(string(r.self)))
	for _, d := range r.departed {
		if score(seed, d.hash) > own && d.at.After(since) {
			since = d.at
		}
	}
	if since.After(r.startedAt) {
		standing.From, standing.ReducedUntil = since.Add(Fence), time.Time{}
	}
	return standing
}

// Rank returns the place of this daemon among all daemons in the order that the tenant gives them, from
// 0 on. It returns false if this daemon is not in the ring.
func (r *Ring) Rank(tenant core.TenantName) (int, bool) {
	seed := xxhash.Sum64String(string(tenant))
	own, rank := score(seed, xxhash.Sum64String(string(r.self))), 0
	for i := range r.zones {
		for _, member := range r.zones[i].members {
			if score(seed, member.hash) > own {
				rank++
			}
		}
	}
	return rank, !r.selfSince.IsZero()
}

func highest(seed uint64, members []ringMember) ringMember {
	best, bestScore := members[0], uint64(0)
	for _, member := range members {
		if s := score(seed, member.hash); s > bestScore {
			best, bestScore = member, s
		}
	}
	return best
}

// score is the weight of rendezvous hashing: the finalizer of SplitMix64 over both hashes.
func score(tenant, host uint64) uint64 {
	x := tenant ^ host
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func distance(self, other core.Host) int {
	switch {
	case self.AvailabilityZone == other.AvailabilityZone:
		return 0
	case self.Region == other.Region:
		return 1
	}
	return 2
}

func zoneOrder(self core.HostName, zone core.AvailabilityZone) uint64 {
	return score(xxhash.Sum64String(string(self)), xxhash.Sum64String(string(zone)))
}
