package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"verbenaway/core"
	"verbenaway/io/pace"
	"verbenaway/io/wire"
)

const (
	// maxMessageBytes is enough for a snapshot, or for a note of 1 MB with its framing.
	maxMessageBytes = 8 << 20
	// minCompressBytes keeps small messages, such as digests, uncompressed: the bytes saved
	// would not justify the processor time of gzip.
	minCompressBytes = 1 << 10
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
	// idleConnTimeout keeps the connections to probe partners, which are used every 3 s, and
	// closes those to random members.
	idleConnTimeout = 15 * time.Second
	// maxCachedClients bounds the clients kept for addresses; a daemon talks regularly to
	// about 20 others.
	maxCachedClients = 256
	dialTimeout      = time.Second
	// maxTransferTime bounds an answer that keeps arriving: a link of 10 Mbit/s carries the
	// largest message in 7 s.
	maxTransferTime = 10 * time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Traffic counts the connections and their bytes, unless Dial replaces TCP.
	Traffic *Traffic
	// Timeout bounds the time until the answer to a message begins, and each pause in it; 0 means
	// 2 s.
	Timeout time.Duration
	// Dial replaces TCP in tests and benchmarks, for example to add latency; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends control messages. It implements core.PeerClient and is safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *http.Client
	mu     sync.Mutex
	peers  map[string]wire.PeerClient
}

// NewClient returns a client; it connects on first use. It uses HTTP/2 without TLS, so that one
// connection carries all messages to a peer, with compressed headers.
func NewClient(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = 2 * time.Second
	}
	dial := config.Dial
	if dial == nil {
		dial = config.Traffic.Dialer(net.Dialer{
			Timeout: dialTimeout,
		})
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &Client{
		config: config,
		http: &http.Client{
			Transport: pace.Transport(&http.Transport{
				DialContext:            dial,
				Protocols:              protocols,
				IdleConnTimeout:        idleConnTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
		},
		peers: map[string]wire.PeerClient{},
	}
}

// peer returns the client for an address.
func (c *Client) peer(address string) wire.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.peers[address]
	if ok {
		return client
	}
	if len(c.peers) >= maxCachedClients {
		clear(c.peers)
	}
	client = wire.NewPeerClient(
		c.http,
		"http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
		connect.WithSendCompression(gzipName),
	)
	c.peers[address] = client
	return client
}

// call sends one message and converts the answer.
func call[Request, Answer, Result any](
	ctx context.Context,
	c *Client,
	address string,
	message *Request,
	send func(context.Context, *connect.Request[Request]) (*connect.Response[Answer], error),
	decode func(*Answer) (Result, error),
) (Result, error) {
	ctx, _, cancel := pace.WithLimits(ctx, pace.Limits{
		Begin: c.config.Timeout,
		Idle:  c.config.Timeout,
		Total: maxTransferTime,
	})
	defer cancel()
	response, err := send(ctx, connect.NewRequest(message))
	if err != nil {
		var zero Result
		kind := core.PeerUnreachable
		if connect.CodeOf(err) == connect.CodeInvalidArgument {
			kind = core.PeerMalformed
		}
		return zero, core.Errorf(kind, "%s: %v", address, err)
	}
	return decode(response.Msg)
}

// Exchange implements core.PeerClient.
func (c *Client) Exchange(ctx context.Context, address string, message core.ExchangeMessage) (core.ExchangeMessage, error) {
	return call(ctx, c, address, encodeExchange(message), c.peer(address).Exchange, decodeExchange)
}

// Push implements core.PeerClient.
func (c *Client) Push(ctx context.Context, address string, message core.PushMessage) (core.Digest, error) {
	return call(ctx, c, address, encodePush(message), c.peer(address).Push, func(answer *wire.PushAnswer) (core.Digest, error) {
		return decodeDigest(answer.GetDigest())
	})
}

// Pull implements core.PeerClient.
func (c *Client) Pull(ctx context.Context, address string, request core.PullRequest) (core.PullAnswer, error) {
	message := &wire.PullRequest{
		Digest: encodeDigest(request.Digest),
		After:  uint64(request.After),
		Full:   request.Full,
	}
	return call(ctx, c, address, message, c.peer(address).Pull, decodePullAnswer)
}

// ProbeFor implements core.PeerClient.
func (c *Client) ProbeFor(ctx context.Context, address string, request core.ProbeForRequest) (core.ProbeForAnswer, error) {
	message := &wire.ProbeForRequest{
		Digest: encodeDigest(request.Digest),
		Target: encodeHost(request.Target),
	}
	return call(ctx, c, address, message, c.peer(address).ProbeFor, decodeProbeForAnswer)
}

// Hosts implements core.PeerClient.
func (c *Client) Hosts(ctx context.Context, address string, request core.HostsRequest) (core.HostsAnswer, error) {
	message := &wire.HostsRequest{
		Digest: encodeDigest(request.Digest),
		After:  request.After,
	}
	return call(ctx, c, address, message, c.peer(address).Hosts, decodeHostsAnswer)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
