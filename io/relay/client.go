package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/pace"
	"verbenaway/io/wire"
)

const (
	// maxMessageBytes is enough for the largest configuration and thousands of upstream records.
	maxMessageBytes = 8 << 20
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
	// idleConnTimeout keeps the connections to the daemons that this one follows, which are in
	// constant use.
	idleConnTimeout = 15 * time.Second
	// maxCachedClients bounds the clients kept for addresses. A daemon follows two others, and asks
	// those of its zone for permits.
	maxCachedClients = 256
	// maxRetryAfterMs bounds what another daemon may tell.
	maxRetryAfterMs = 60_000
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial connects to the address of another daemon.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to other daemons. It implements core.RelayClient and core.GrantClient. Requests
// that are sent at the same time use different connections.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]wire.RelayClient
}

// NewClient returns a client; it connects on first use.
func NewClient(config ClientConfig) *Client {
	return &Client{
		http: &http.Client{
			Transport: pace.Transport(&http.Transport{
				DialContext:            config.Dial,
				IdleConnTimeout:        idleConnTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
		},
		clients: map[string]wire.RelayClient{},
	}
}

// Follow implements core.RelayClient.
func (c *Client) Follow(ctx context.Context, address string, request core.FollowRequest) (core.FollowAnswer, error) {
	sentAt, begun := time.Now(), atomic.Int64{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { begun.Store(int64(time.Since(sentAt))) },
	})
	response, err := c.client(address).Follow(ctx, connect.NewRequest(&wire.FollowRequest{
		Epoch:  request.After.Epoch,
		After:  request.After.Revision,
		WaitMs: request.Wait.Milliseconds(),
		Whole:  request.IsFull,
	}))
	switch {
	case err == nil:
		return decodeAnswer(response.Msg)
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return core.FollowAnswer{}, core.Errorf(core.StoreCompacted, "%s: %v", address, err)
	}
	progress := "no answer begun"
	if after := time.Duration(begun.Load()); after > 0 {
		progress = "answer begun after " + after.Round(time.Millisecond).String()
	}
	return core.FollowAnswer{}, core.Errorf(core.PeerUnreachable, "%s: %v, %s", address, err, progress)
}

// client returns the client for an address.
func (c *Client) client(address string) wire.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	if len(c.clients) >= maxCachedClients {
		clear(c.clients)
	}
	client := wire.NewRelayClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	c.clients[address] = client
	return client
}

// Grant implements core.GrantClient.
func (c *Client) Grant(ctx context.Context, address string, request core.GrantRequest) (core.GrantAnswer, error) {
	response, err := c.client(address).Grant(ctx, connect.NewRequest(&wire.GrantRequest{
		Sender: string(request.Sender),
		Tenant: string(request.Tenant),
		Want:   uint32(min(max(request.Want, 0), maxWant)),
	}))
	if err != nil {
		return core.GrantAnswer{}, core.Errorf(core.PeerUnreachable, "%s: %v", address, err)
	}
	if int64(response.Msg.Granted) > int64(request.Want) {
		return core.GrantAnswer{}, core.Errorf(core.PeerMalformed, "%s granted %d permits, %d were wanted", address, response.Msg.Granted, request.Want)
	}
	return core.GrantAnswer{
		Granted:     int(response.Msg.Granted),
		RetryAfter:  time.Duration(min(max(response.Msg.RetryAfterMs, 0), maxRetryAfterMs)) * time.Millisecond,
		IsInactive:  response.Msg.IsInactive,
		HasContact:  response.Msg.HasContact,
		MembersHash: response.Msg.MembersHash,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
