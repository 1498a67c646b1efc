package peer_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"verbenaway/core"
	"verbenaway/io/peer"
)

// echo answers a pull with the snapshot, or 3 MB of zeros if that is nil, any other message with its
// own content, or with err.
type echo struct {
	snapshot []byte
	pushed   core.PushMessage
	err      error
}

func (e *echo) Exchange(_ context.Context, m core.ExchangeMessage) (core.ExchangeMessage, error) {
	return m, e.err
}

func (e *echo) Push(_ context.Context, m core.PushMessage) (core.Digest, error) {
	e.pushed = m
	return m.Digest, e.err
}

func (e *echo) Pull(_ context.Context, r core.PullRequest) (core.PullAnswer, error) {
	snapshot := e.snapshot
	if snapshot == nil {
		snapshot = make([]byte, 3<<20)
	}
	return core.PullAnswer{Digest: r.Digest, Snapshot: snapshot}, e.err
}

func (e *echo) ProbeFor(_ context.Context, r core.ProbeForRequest) (core.ProbeForAnswer, error) {
	return core.ProbeForAnswer{Digest: r.Digest, Reached: true, TargetDigest: r.Digest}, e.err
}

func (e *echo) Hosts(_ context.Context, r core.HostsRequest) (core.HostsAnswer, error) {
	return core.HostsAnswer{Digest: r.Digest, Revision: r.After}, e.err
}

// patience replaces the client's time limit in tests of other properties: on a machine with many
// more busy threads than processors, a garbage collection alone can stop a process for a second.
const patience = 30 * time.Second

func startServer(c *qt.C, handler core.PeerServer) (address string, client *peer.Client) {
	traffic := &peer.Traffic{}
	server := peer.NewServer(peer.ServerConfig{Handler: handler, Traffic: traffic})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() {
		done <- server.Serve(listener)
	}()
	client = peer.NewClient(peer.ClientConfig{Traffic: &peer.Traffic{}, Timeout: patience})
	c.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Check(server.Stop(ctx), qt.IsNil)
		c.Check(<-done, qt.IsNil)
		goleak.VerifyNone(c)
	})
	return listener.Addr().String(), client
}

var digest = core.Digest{
	Sender:           "host1",
	AvailabilityZone: "otago1",
	Region:           "otago",
	Incarnation:      7,
	Version:          9,
	Hash:             core.Hash{1, 2, 3},
	HostsRevision:    11,
	MembersHash:      1 << 63,
	ReaderAge:        1500 * time.Millisecond,
	Ready:            true,
	Time:             core.Timestamp{Wall: 5, Logical: 6},
}

// TestRoundTrip guards against a field that is lost or altered between daemons.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	handler := &echo{}
	address, client := startServer(c, handler)
	ctx := context.Background()
	host := core.Host{Name: "a", AvailabilityZone: "b", Region: "c", Service: "d", PeerAddress: "e", GateAddress: "f", AdminAddress: "g", State: core.HostLive}
	exchange := core.ExchangeMessage{
		Digest: digest,
		Events: []core.MemberEvent{{Host: host, Incarnation: 3, State: core.MemberLeaving, EligibleAt: 4, LeavingAt: 5}},
		Probe:  true,
	}
	answer, err := client.Exchange(ctx, address, exchange)
	c.Assert(err, qt.IsNil)
	c.Assert(answer, qt.DeepEquals, exchange)

	push := core.PushMessage{
		Digest: digest,
		Slices: []core.Slice{{
			Version:      9,
			PreviousHash: core.Hash{1},
			Hash:         core.Hash{2},
			Verdict:      core.NoteConflict,
			Reason:       "raced",
			Parts: []core.Part{
				{Digest: core.Hash{3}, Contents: []byte("open")},
				{HomeRegions: []core.Region{"otago"}, Digest: core.Hash{4}},
			},
			Received: time.UnixMilli(77),
		}},
		Subtree: []core.HostName{"x", "y"},
	}
	_, err = client.Push(ctx, address, push)
	c.Assert(err, qt.IsNil)
	c.Assert(handler.pushed, qt.DeepEquals, push)

	pulled, err := client.Pull(ctx, address, core.PullRequest{Digest: digest})
	c.Assert(err, qt.IsNil)
	c.Assert(pulled.Snapshot, qt.HasLen, 3<<20)
}

// slowConn receives 4 KB at a time, with a pause before each.
type slowConn struct {
	net.Conn
	pause time.Duration
}

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(p[:min(len(p), 4<<10)])
}

// TestSlowLink guards against a daemon behind a slow link that gets no snapshot because the whole
// answer takes longer than its beginning may.
func TestSlowLink(t *testing.T) {
	c := qt.New(t)
	snapshot := make([]byte, 128<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(snapshot)
	address, fast := startServer(c, &echo{snapshot: snapshot})
	dialer := &net.Dialer{}
	slow := peer.NewClient(peer.ClientConfig{
		Timeout: 4 * time.Second,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return &slowConn{Conn: conn, pause: 150 * time.Millisecond}, err
		},
	})
	defer slow.Close()
	defer fast.Close()
	pulled, err := slow.Pull(context.Background(), address, core.PullRequest{Digest: digest})
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(pulled.Snapshot, snapshot), qt.IsTrue)
}

// TestErrors guards against a malformed or failed message that counts as an answer or crashes the
// process, and against an unknown age that becomes known.
func TestErrors(t *testing.T) {
	unknownAge := digest
	unknownAge.ReaderAge = -1
	tests := []struct {
		name    string
		handler *echo
		message core.ExchangeMessage
		want    core.ErrorKind
	}{
		{name: "no sender", handler: &echo{}, message: core.ExchangeMessage{}, want: core.PeerMalformed},
		{name: "invalid member state", handler: &echo{}, message: core.ExchangeMessage{Digest: digest, Events: []core.MemberEvent{{Host: core.Host{Name: "a"}, State: 99}}}, want: core.PeerMalformed},
		{name: "refused", handler: &echo{err: core.Errorf(core.Internal, "broken")}, message: core.ExchangeMessage{Digest: digest}, want: core.PeerUnreachable},
		{name: "unknown reader age", handler: &echo{}, message: core.ExchangeMessage{Digest: unknownAge}, want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address, client := startServer(c, test.handler)
			answer, err := client.Exchange(context.Background(), address, test.message)
			c.Assert(core.KindOf(err), qt.Equals, test.want)
			if test.want == "" {
				c.Assert(answer.Digest.ReaderAge < 0, qt.IsTrue)
			}
		})
	}
}

// TestUnreachable guards against a peer that does not listen and blocks its caller.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	client := peer.NewClient(peer.ClientConfig{Traffic: &peer.Traffic{}})
	defer client.Close()
	_, err = client.Exchange(context.Background(), address, core.ExchangeMessage{Digest: digest})
	c.Assert(core.KindOf(err), qt.Equals, core.PeerUnreachable)
}
