package poison

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// Ranks holds the daemons by availability zone, each zone in the order in which its daemons pass on what
// they learn: the first that can be reached, its head, tells the others of its zone and the heads of the
// other zones.
type Ranks struct {
	self  core.Host
	zones map[core.AvailabilityZone][]core.Host
}

// NewRanks returns the ranks of the known daemons; hosts includes self once that is known.
func NewRanks(self core.Host, hosts []core.Host) *Ranks {
	r := &Ranks{
		self:  self,
		zones: map[core.AvailabilityZone][]core.Host{},
	}
	for _, host := range hosts {
		if host.PeerAddress != "" && host.Name != self.Name {
			r.zones[host.AvailabilityZone] = append(r.zones[host.AvailabilityZone], host)
		}
	}
	r.zones[self.AvailabilityZone] = append(r.zones[self.AvailabilityZone], self)
	for _, zone := range r.zones {
		slices.SortFunc(zone, func(a, b core.Host) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name))), cmp.Compare(a.Name, b.Name))
		})
	}
	return r
}

// Targets returns the daemons with which this one exchanges what it knows. isDown tells which of them
// cannot be reached for now; each of these that ranks before a chosen one is among the targets too, so
// that it is tried again.
func (r *Ranks) Targets(isDown func(core.HostName) bool) []core.Host {
	own := r.zones[r.self.AvailabilityZone]
	targets, isHead := r.upTo(own, isDown)
	if !isHead {
		return targets
	}
	targets = slices.DeleteFunc(slices.Clone(own), func(host core.Host) bool { return host.Name == r.self.Name })
	for name, zone := range r.zones {
		if name != r.self.AvailabilityZone {
			heads, _ := r.upTo(zone, isDown)
			targets = append(targets, heads...)
		}
	}
	return targets
}

// upTo returns the daemons of a zone up to the first that is not down. isSelf says that it is this one,
// which is then left out.
func (r *Ranks) upTo(zone []core.Host, isDown func(core.HostName) bool) (hosts []core.Host, isSelf bool) {
	for i, host := range zone {
		if host.Name == r.self.Name {
			return zone[:i:i], true
		}
		if !isDown(host.Name) {
			return zone[: i+1 : i+1], false
		}
	}
	return zone, false
}
