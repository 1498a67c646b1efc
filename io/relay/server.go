package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/wire"
)

// longestWait bounds how long a question is parked, whatever the sender asks for.
const longestWait = 10 * time.Second

// service adapts a core.RelayServer to the generated interface.
type service struct {
	server core.RelayServer
	packer packer
}

// NewHandler returns the handler for the questions of other daemons.
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
		After:   request.Msg.After,
		Wait:    min(max(wait, 0), longestWait),
		IsWhole: request.Msg.Whole,
	})
	switch {
	case err == nil:
		return connect.NewResponse(s.packer.answer(answer)), nil
	case core.KindOf(err) == core.StoreCompacted:
		return nil, connect.NewError(connect.CodeOutOfRange, err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}
