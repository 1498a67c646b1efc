package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"verbenaway/core"
)

// hostsTimeout bounds the wait for the event loop in KnownHosts.
const hostsTimeout = time.Second

// KnownHosts returns the hosts that are live in this daemon's view or in the host list, sorted
// by name, so that operators also see unresponsive hosts. Hosts that left after a planned stop
// are omitted; those considered dead have the state core.HostDead. It returns nil after hostsTimeout.
func (a *Agent) KnownHosts() []core.Host {
	ctx, cancel := context.WithTimeout(context.Background(), hostsTimeout)
	defer cancel()
	byName := map[core.HostName]core.Host{}
	err := a.call(ctx, func(time.Time) {
		for _, host := range a.machine.HostList().Hosts {
			known, ok := a.tracker.Member(host.Name)
			switch {
			case ok && known.State == core.MemberLeft:
				continue
			case ok && known.State == core.MemberDead:
				host.State = core.HostDead
			}
			byName[host.Name] = host
		}
		for _, m := range a.tracker.Live() {
			byName[m.Host.Name] = m.Host
		}
	})
	if err != nil {
		return nil
	}
	hosts := make([]core.Host, 0, len(byName))
	for _, host := range byName {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(x, y core.Host) int {
		return strings.Compare(string(x.Name), string(y.Name))
	})
	return hosts
}
