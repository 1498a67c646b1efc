package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/wire"
)

// Share implements core.ShareClient.
func (c *Client) Share(ctx context.Context, address string, request core.ShareRequest) (core.ShareAnswer, error) {
	response, err := c.client(address).Share(ctx, connect.NewRequest(&wire.ShareRequest{
		Sender: string(request.Sender),
		Digest: request.Digest,
		Lost:   encodeLost(request.Lost),
	}))
	if err != nil {
		return core.ShareAnswer{}, core.Errorf(core.PeerUnreachable, "%s: %v", address, err)
	}
	lost, err := decodeLost(response.Msg.Lost)
	if err != nil {
		return core.ShareAnswer{}, err
	}
	return core.ShareAnswer{
		Digest: response.Msg.Digest,
		Lost:   lost,
	}, nil
}

// Share implements wire.RelayHandler.
func (s *service) Share(ctx context.Context, request *connect.Request[wire.ShareRequest]) (*connect.Response[wire.ShareAnswer], error) {
	if s.servers.Shares == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, core.Errorf(core.PeerMalformed, "no lost requests are kept here"))
	}
	lost, err := decodeLost(request.Msg.Lost)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer, err := s.servers.Shares.Share(ctx, core.ShareRequest{
		Sender: core.HostName(request.Msg.Sender),
		Digest: request.Msg.Digest,
		Lost:   lost,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.ShareAnswer{
		Digest: answer.Digest,
		Lost:   encodeLost(answer.Lost),
	}), nil
}

func encodeLost(lost []core.LostRequest) []*wire.LostRequest {
	encoded := make([]*wire.LostRequest, 0, len(lost))
	for i := range lost {
		encoded = append(encoded, &wire.LostRequest{
			Fingerprint: lost[i].Fingerprint[:],
			Shape:       uint64(lost[i].Shape),
			Instance:    lost[i].Instance,
			IsCleared:   lost[i].IsCleared,
			AgeMs:       lost[i].Age.Milliseconds(),
		})
	}
	return encoded
}

func decodeLost(encoded []*wire.LostRequest) ([]core.LostRequest, error) {
	lost := make([]core.LostRequest, 0, len(encoded))
	for _, message := range encoded {
		var fingerprint core.Fingerprint
		if len(message.Fingerprint) != len(fingerprint) || message.AgeMs < 0 || message.AgeMs > maxLostAgeMs {
			return nil, core.Errorf(core.PeerMalformed, "a lost request has a fingerprint of %d bytes and an age of %d ms", len(message.Fingerprint), message.AgeMs)
		}
		copy(fingerprint[:], message.Fingerprint)
		lost = append(lost, core.LostRequest{
			Fingerprint: fingerprint,
			Shape:       core.RequestShape(message.Shape),
			Instance:    message.Instance,
			IsCleared:   message.IsCleared,
			Age:         time.Duration(message.AgeMs) * time.Millisecond,
		})
	}
	return lost, nil
}

// maxLostAgeMs avoids an overflow of time.Duration.
const maxLostAgeMs = int64(24 * time.Hour / time.Millisecond)
