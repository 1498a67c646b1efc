package route

import (
	"cmp"
	"slices"

	"verbenaway/core"
)

// group returns the upstreams of a service, built anew only if the members or the snapshot
// changed.
func (b *Balancer) group(query Query) *group {
	if state, ok := (*b.services.Load())[query.Service.Name]; ok {
		if g := state.group.Load(); g != nil && g.isFor(query) {
			return g
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(query)
	g := state.group.Load()
	if g == nil || !g.isFor(query) {
		g = b.build(state, query)
		state.group.Store(g)
	}
	return g
}

// isFor compares by identity: snapshots and lists of members are immutable.
func (g *group) isFor(query Query) bool {
	return g.snapshot == query.Snapshot && sameSlice(g.members, query.Members)
}

func sameSlice(a, b []core.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// state returns the state of a service. The map is copied on change, so that choices read
// it without a lock; services that were withdrawn are left out of the copy.
func (b *Balancer) state(query Query) *serviceState {
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
	}
	next[query.Service.Name] = state
	b.services.Store(&next)
	return state
}

// build sorts the members that may get new work into tiers.
func (b *Balancer) build(state *serviceState, query Query) *group {
	g := &group{
		members:  query.Members,
		snapshot: query.Snapshot,
		slots:    query.Service.Slots,
	}
	kept := make(map[core.HostName]*upstream, len(query.Members))
	for _, member := range query.Members {
		u := state.upstreams[member.Host.Name]
		if u == nil || u.host != member.Host {
			// A replaced host starts without a history.
			u = &upstream{
				host: member.Host,
			}
		}
		u.slots.Store(int64(member.Slots))
		kept[member.Host.Name] = u
		switch reason := excludedBy(member, query.Snapshot); {
		case reason == ReasonDead:
		case reason != "":
			g.excluded = b.file(g.excluded, u)
		case member.State == core.MemberSuspect:
			g.suspect = b.file(g.suspect, u)
		default:
			g.alive = b.file(g.alive, u)
		}
	}
	state.upstreams = kept
	sortTiers(g.alive)
	sortTiers(g.suspect)
	return g
}

// excludedBy returns why a member gets no new work, "" if it may.
func excludedBy(member core.Member, snapshot *core.Snapshot) Reason {
	switch {
	case member.State == core.MemberDead || member.State == core.MemberLeft:
		return ReasonDead
	case member.State == core.MemberLeaving || member.Host.State == core.HostLeaving:
		return ReasonLeaving
	case snapshot.Out[member.Host.AvailabilityZone]:
		return ReasonZoneOut
	}
	return ""
}

// file adds an upstream to the tier at its distance.
func (b *Balancer) file(tiers []tier, u *upstream) []tier {
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

// The distances of a tier.
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

// sortTiers puts near tiers first.
func sortTiers(tiers []tier) {
	slices.SortFunc(tiers, func(a, b tier) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.region, b.region))
	})
}
