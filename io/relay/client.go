package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/wire"
)

const (
	// maxMessageBytes leaves room for the largest configuration and for thousands of entries.
	maxMessageBytes = 8 << 20
	// idleTime keeps the connections to the readers of the zone, which are used all the time.
	idleTime = 15 * time.Second
	// maxPeers bounds the clients that are kept; a daemon asks two others.
	maxPeers = 32
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial connects to the address of another daemon.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client asks other daemons. It implements core.RelayClient.
type Client struct {
	http  *http.Client
	mu    sync.Mutex
	peers map[string]wire.RelayClient
}

// NewClient returns a client; it connects on first use.
func NewClient(config ClientConfig) *Client {
	return &Client{
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:     config.Dial,
				IdleConnTimeout: idleTime,
			},
		},
		peers: map[string]wire.RelayClient{},
	}
}

// Follow implements core.RelayClient.
func (c *Client) Follow(ctx context.Context, address string, request core.FollowRequest) (core.FollowAnswer, error) {
	response, err := c.peer(address).Follow(ctx, connect.NewRequest(&wire.FollowRequest{
		After:  request.After,
		WaitMs: request.Wait.Milliseconds(),
		Whole:  request.IsWhole,
	}))
	switch {
	case err == nil:
		return toAnswer(response.Msg)
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return core.FollowAnswer{}, core.Errorf(core.StoreCompacted, "%s: %v", address, err)
	}
	return core.FollowAnswer{}, core.Errorf(core.PeerUnreachable, "%s: %v", address, err)
}

func (c *Client) peer(address string) wire.RelayClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer, ok := c.peers[address]; ok {
		return peer
	}
	if len(c.peers) >= maxPeers {
		clear(c.peers)
	}
	peer := wire.NewRelayClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	c.peers[address] = peer
	return peer
}

// Close ends idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
