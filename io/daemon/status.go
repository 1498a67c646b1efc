package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"verbenaway/core"
	"verbenaway/core/route"
	"verbenaway/io/admin"
)

// statusTimeout bounds the wait for the control plane, so that Status returns even if the
// agent's event loop is blocked.
const statusTimeout = time.Second

var memberStateNames = []string{
	core.MemberAlive:   "alive",
	core.MemberLeaving: "leaving",
	core.MemberSuspect: "suspect",
	core.MemberDead:    "dead",
	core.MemberLeft:    "left",
}

// Status returns the state of the daemon for the admin interface.
func (d *Daemon) Status() admin.Status {
	inFlight, limit := d.gate.Load()
	status := admin.Status{
		Host:             d.self.Name,
		AvailabilityZone: d.self.AvailabilityZone,
		Region:           d.self.Region,
		Service:          d.self.Service,
		Started:          d.started,
		ReaderAge:        -1,
		MemberCounts:     map[string]int{},
		InFlight:         inFlight,
		ConcurrencyLimit: limit,
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	state, err := d.agent.Status(ctx)
	if err != nil {
		status.NotServing = core.Internal
		status.LagReason = err.Error()
		return status
	}
	status.Version = state.Version
	status.Hash = state.Hash
	status.NotServing = state.Refusal
	status.LagReason = state.LagReason
	status.Roles = []string{state.Role}
	status.ReaderAge = core.Duration(state.ReaderAge)
	status.Refused = state.Refused
	status.StoreError = state.StoreError
	status.Leaving = state.Leaving
	if snapshot, _ := d.agent.Snapshot(); snapshot != nil {
		status.ZonesOut = slices.Sorted(maps.Keys(snapshot.Out))
	}
	for memberState, count := range state.Members {
		status.MemberCounts[memberStateNames[memberState]] = count
	}
	return status
}

// explain returns the decision that the entry would make for a request.
func (d *Daemon) explain(request admin.ExplainRequest) any {
	return d.entry.Explain(route.Request{
		Host:   request.Host,
		Path:   request.Path,
		Method: request.Method,
		Tenant: request.Tenant,
	})
}
