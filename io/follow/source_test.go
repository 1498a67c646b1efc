package follow

import (
	"context"
	"sync/atomic"

	"verbenaway/core"
)

// fakeSource is a daemon of the same zone that answers requests from a store.
type fakeSource struct {
	registry *fakeRegistry
	// isCutOff says that the daemon has no contact with the store.
	isCutOff atomic.Bool
}

func (s *fakeSource) Follow(ctx context.Context, _ string, request core.FollowRequest) (core.FollowAnswer, error) {
	// The daemon answers in time even if the test process is stopped for a while.
	watched, err := s.registry.watch(context.WithoutCancel(ctx), request.After.Revision, request.Wait)
	answer := core.FollowAnswer{
		RegistryAnswer: watched,
	}
	if s.isCutOff.Load() {
		answer.ContactAge = -1
	}
	return answer, err
}

const (
	// firstHost ranks before ownHost.
	firstHost core.HostName = "d02"
	ownHost   core.HostName = "d07"
)

func newOwnHost() core.Host {
	return core.Host{
		Name:             ownHost,
		AvailabilityZone: "a",
	}
}
