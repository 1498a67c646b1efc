package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/wire"
)

const (
	// maxFollowWait bounds how long a request is parked, whatever the sender asks for.
	maxFollowWait = 10 * time.Second
	// maxRequestBytes is enough for a position, or for the names in a request for permits.
	maxRequestBytes = 64 << 10
	// maxWant bounds the permits that one request asks for.
	maxWant = 10000
)

// service adapts the servers to the generated interface.
type service struct {
	servers Servers
	encoder answerEncoder
}

// Servers answer the requests of other daemons.
type Servers struct {
	Relay core.RelayServer
	// Grants is optional; without it the daemon hands out no permits.
	Grants core.GrantServer
	// Shares is optional; without it the daemon keeps no lost requests.
	Shares core.ShareServer
}

// NewHandler returns the handler for requests of other daemons.
func NewHandler(servers Servers) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewRelayHandler(&service{
		servers: servers,
	}, connect.WithReadMaxBytes(maxRequestBytes)))
	return mux
}

// Follow implements wire.RelayHandler.
func (s *service) Follow(ctx context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowAnswer], error) {
	wait := time.Duration(request.Msg.WaitMs) * time.Millisecond
	answer, err := s.servers.Relay.Follow(ctx, core.FollowRequest{
		After: core.StorePosition{
			Epoch:    request.Msg.Epoch,
			Revision: request.Msg.After,
		},
		Wait:   min(max(wait, 0), maxFollowWait),
		IsFull: request.Msg.Whole,
	})
	switch {
	case err == nil:
		return connect.NewResponse(s.encoder.encode(answer)), nil
	case core.KindOf(err) == core.StoreCompacted:
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// Grant implements wire.RelayHandler.
func (s *service) Grant(ctx context.Context, request *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantAnswer], error) {
	if s.servers.Grants == nil {
		return connect.NewResponse(&wire.GrantAnswer{
			IsInactive: true,
		}), nil
	}
	answer, err := s.servers.Grants.Grant(ctx, core.GrantRequest{
		Sender: core.HostName(request.Msg.Sender),
		Tenant: core.TenantName(request.Msg.Tenant),
		Want:   int(min(request.Msg.Want, maxWant)),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.GrantAnswer{
		Granted:      uint32(min(max(answer.Granted, 0), maxWant)),
		RetryAfterMs: answer.RetryAfter.Milliseconds(),
		IsInactive:   answer.IsInactive,
		HasContact:   answer.HasContact,
		MembersHash:  answer.MembersHash,
	}), nil
}
