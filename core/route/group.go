package route

import (
	"cmp"
	"slices"

	"verbenaway/core"
)

// group returns the cached group of a service, rebuilt if the members or the snapshot changed.
func (b *Balancer) group(query *Query) *group {
	if state, ok := (*b.services.Load())[query.Service.Name]; ok {
		if g := state.group.Load(); g != nil && b.isCurrent(g, query) {
			return g
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(query)
	g := state.group.Load()
	if g == nil || !b.isCurrent(g, query) {
		g = b.buildGroup(state, query)
		state.group.Store(g)
	}
	return g
}

// isCurrent reports whether a group was built for the snapshot and members of the query, which it
// compares by identity, since both are immutable, and no further upstream has said that it leaves.
func (b *Balancer) isCurrent(g *group, query *Query) bool {
	return g.snapshot == query.Snapshot && sameSlice(g.members, query.Members) && g.leavingCount == b.notices.leavingCount.Load()
}

func sameSlice(a, b []core.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// state returns the state of a service, which it adds if there is none; the caller holds mu. The
// map is copied on write, so that it can be read without a lock; services that the snapshot lacks
// are left out of the copy.
func (b *Balancer) state(query *Query) *serviceState {
	known := *b.services.Load()
	if state, ok := known[query.Service.Name]; ok {
		return state
	}
	next := make(map[core.ServiceName]*serviceState, len(known)+1)
	for name, state := range known {
		if _, ok := query.Snapshot.Services[name]; ok {
			next[name] = state
		}
	}
	state := &serviceState{
		upstreams: map[core.HostName]*upstream{},
		zones:     map[core.AvailabilityZone]*zoneLoad{},
	}
	next[query.Service.Name] = state
	b.services.Store(&next)
	return state
}

// buildGroup sorts the members that are not dead into tiers.
func (b *Balancer) buildGroup(state *serviceState, query *Query) *group {
	g := &group{
		members:  query.Members,
		snapshot: query.Snapshot,
		slots:    query.Service.Slots,

		leavingCount: b.notices.leavingCount.Load(),
	}
	kept := make(map[core.HostName]*upstream, len(query.Members))
	for _, member := range query.Members {
		u := state.upstreams[member.Host.Name]
		if u == nil || u.host != member.Host {
			// A replaced host starts without history.
			u = &upstream{
				host: member.Host,
				zone: state.zone(member.Host.AvailabilityZone),
			}
		}
		u.slots.Store(int64(member.Slots))
		kept[member.Host.Name] = u
		switch reason := b.exclusionReason(member, query.Snapshot); {
		case reason == ReasonDead:
		case reason != "":
			g.excluded = b.addToTier(g.excluded, u)
		case member.State == core.MemberSuspect:
			g.suspect = b.addToTier(g.suspect, u)
		default:
			g.alive = b.addToTier(g.alive, u)
		}
	}
	state.upstreams = kept
	sortTiers(g.alive)
	sortTiers(g.suspect)
	for i := range g.alive {
		g.alive[i].growth = &growth{}
		rankUpstreams(b.config.Self.Name, &g.alive[i])
		if g.alive[i].distance != otherRegion {
			g.nearTiers++
		}
	}
	return g
}

// zone returns the load of an availability zone. Zones are few, so that none is removed.
func (s *serviceState) zone(name core.AvailabilityZone) *zoneLoad {
	known, ok := s.zones[name]
	if !ok {
		known = &zoneLoad{}
		s.zones[name] = known
	}
	return known
}

// exclusionReason returns why a member gets no new requests, "" if it may get them.
func (b *Balancer) exclusionReason(member core.Member, snapshot *core.Snapshot) Reason {
	switch {
	case member.State == core.MemberDead || member.State == core.MemberLeft:
		return ReasonDead
	case member.State == core.MemberLeaving || member.Host.State == core.HostLeaving || b.notices.of(member.Host.Instance).isLeaving:
		return ReasonLeaving
	case snapshot.Out[member.Host.AvailabilityZone]:
		return ReasonZoneOut
	}
	return ""
}

// addToTier adds an upstream to the tier of its region and distance.
func (b *Balancer) addToTier(tiers []tier, u *upstream) []tier {
	for i := range tiers {
		t := &tiers[i]
		if t.distance == b.distance(u.host) && t.region == u.host.Region {
			t.upstreams = append(t.upstreams, u)
			return tiers
		}
	}
	return append(tiers, tier{
		region:    u.host.Region,
		distance:  b.distance(u.host),
		upstreams: []*upstream{u},
	})
}

// Distances of a tier from the local host.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func (b *Balancer) distance(host core.Host) int {
	switch {
	case host.Region != b.config.Self.Region:
		return otherRegion
	case host.AvailabilityZone != b.config.Self.AvailabilityZone:
		return sameRegion
	}
	return sameZone
}

// sortTiers sorts tiers by distance, then by region.
func sortTiers(tiers []tier) {
	slices.SortFunc(tiers, func(a, b tier) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.region, b.region))
	})
}
