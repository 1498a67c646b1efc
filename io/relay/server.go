package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/wire"
)

// maxFollowWait bounds how long a request is parked, whatever the sender asks for.
const maxFollowWait = 10 * time.Second

// service adapts a core.RelayServer to the generated interface.
type service struct {
	server  core.RelayServer
	encoder answerEncoder
}

// NewHandler returns the handler for follow requests of other daemons.
func NewHandler(server core.RelayServer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.NewRelayHandler(&service{
		server: server,
	}, connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// Follow implements wire.RelayHandler.
func (s *service) Follow(ctx context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowAnswer], error) {
	wait := time.Duration(request.Msg.WaitMs) * time.Millisecond
	answer, err := s.server.Follow(ctx, core.FollowRequest{
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
