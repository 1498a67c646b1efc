package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"verbenaway/core"
	"verbenaway/io/wire"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Handler answers the messages.
	Handler core.PeerServer
	// Traffic counts the connections and their bytes.
	Traffic *Traffic
}

// Server answers control messages on a listener.
type Server struct {
	config ServerConfig
	http   *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig) *Server {
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerHandler(
		&service{
			handler: config.Handler,
		},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithCompression(gzipName, newDecompressor, newCompressor),
	))
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		config: config,
		http: &http.Server{
			Handler:           mux,
			Protocols:         protocols,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       time.Minute,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams: 64,
			},
		},
	}
}

// Serve answers until Stop; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(&countedListener{
		Listener: listener,
		traffic:  s.config.Traffic,
	})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop waits for the messages in progress; once ctx ends, it closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// service adapts a core.PeerServer to the generated interface.
type service struct {
	handler core.PeerServer
}

// answer converts a message, handles it and converts the result.
func answer[Message, Request, Result, Answer any](
	ctx context.Context,
	message *Message,
	decode func(*Message) (Request, error),
	handle func(context.Context, Request) (Result, error),
	encode func(Result) *Answer,
) (*connect.Response[Answer], error) {
	request, err := decode(message)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := handle(ctx, request)
	if err != nil {
		code := connect.CodeUnavailable
		if core.KindOf(err) == core.PeerMalformed {
			code = connect.CodeInvalidArgument
		}
		return nil, connect.NewError(code, err)
	}
	return connect.NewResponse(encode(result)), nil
}

// Exchange implements wire.PeerHandler.
func (s *service) Exchange(ctx context.Context, r *connect.Request[wire.ExchangeMessage]) (*connect.Response[wire.ExchangeMessage], error) {
	return answer(ctx, r.Msg, decodeExchange, s.handler.Exchange, encodeExchange)
}

// Push implements wire.PeerHandler.
func (s *service) Push(ctx context.Context, r *connect.Request[wire.PushMessage]) (*connect.Response[wire.PushAnswer], error) {
	return answer(ctx, r.Msg, decodePush, s.handler.Push, func(digest core.Digest) *wire.PushAnswer {
		return &wire.PushAnswer{
			Digest: encodeDigest(digest),
		}
	})
}

// Pull implements wire.PeerHandler.
func (s *service) Pull(ctx context.Context, r *connect.Request[wire.PullRequest]) (*connect.Response[wire.PullAnswer], error) {
	return answer(ctx, r.Msg, decodePullRequest, s.handler.Pull, encodePullAnswer)
}

// ProbeFor implements wire.PeerHandler.
func (s *service) ProbeFor(ctx context.Context, r *connect.Request[wire.ProbeForRequest]) (*connect.Response[wire.ProbeForAnswer], error) {
	return answer(ctx, r.Msg, decodeProbeForRequest, s.handler.ProbeFor, encodeProbeForAnswer)
}

// Hosts implements wire.PeerHandler.
func (s *service) Hosts(ctx context.Context, r *connect.Request[wire.HostsRequest]) (*connect.Response[wire.HostsAnswer], error) {
	return answer(ctx, r.Msg, decodeHostsRequest, s.handler.Hosts, encodeHostsAnswer)
}
