package agent

import (
	"context"
	"time"

	"verbenaway/core"
	"verbenaway/core/spread"
)

// Status describes the agent for the admin interface.
type Status struct {
	spread.Status
	// Refused holds the latest refused notes, oldest first.
	Refused []core.RefusedNote
	// Members counts the members by state; dead and left ones are not counted.
	Members        map[core.MemberState]int
	HasLostContact bool
	Leaving        bool
}

// Status returns the current state, or an error if the agent has stopped or ctx ends.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	var status Status
	err := a.call(ctx, func(now time.Time) {
		status = Status{
			Status:         a.machine.Status(now),
			Refused:        a.machine.Served().Refused,
			Members:        a.members.Load().countByState,
			HasLostContact: a.tracker.HasLostContact(now),
			Leaving:        a.leaving,
		}
	})
	if err != nil {
		return Status{}, err
	}
	return status, nil
}
