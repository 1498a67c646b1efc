package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"verbenaway/core"
	"verbenaway/core/route"
	"verbenaway/io/admin"
)

// statusTimeout bounds the wait for the agent, so that Status returns even if its event loop is
// blocked.
const statusTimeout = time.Second

var memberStateNames = []string{
	core.MemberAlive:   "alive",
	core.MemberLeaving: "leaving",
	core.MemberSuspect: "suspect",
	core.MemberDead:    "dead",
	core.MemberLeft:    "left",
}

// Status returns the state of the daemon for the admin interface, or an error if the agent does not
// answer within statusTimeout.
func (d *Daemon) Status() (admin.Status, error) {
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
		return admin.Status{}, errors.Wrap(err, "the agent does not answer")
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
	return status, nil
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
