package fleet

import (
	"context"
	"net"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/io/peer"
)

// Latencies are one-way latencies.
type Latencies struct {
	// BetweenZones applies between availability zones of a region.
	BetweenZones   time.Duration
	BetweenRegions time.Duration
}

// links simulates the network between hosts: latencies, cut regions and isolated hosts. It is safe
// for concurrent use.
type links struct {
	latencies      Latencies
	mu             sync.RWMutex
	hostsByAddress map[string]core.Host
	// cut holds pairs of regions without a link, in both orders.
	cut map[[2]core.Region]bool
	// isolated holds hosts without any link.
	isolated map[core.HostName]bool
}

func newLinks(latencies Latencies) *links {
	return &links{
		latencies:      latencies,
		hostsByAddress: map[string]core.Host{},
		cut:            map[[2]core.Region]bool{},
		isolated:       map[core.HostName]bool{},
	}
}

func (l *links) add(host core.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostsByAddress[host.PeerAddress] = host
}

func (l *links) setCut(a, b core.Region, isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]core.Region{a, b}] = isCut
	l.cut[[2]core.Region{b, a}] = isCut
}

func (l *links) setIsolated(name core.HostName, isIsolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated[name] = isIsolated
}

func (l *links) hostAt(address string) core.Host {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.hostsByAddress[address]
}

// between returns the one-way latency between two hosts and whether they can reach each other.
func (l *links) between(from, to core.Host) (time.Duration, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	reaches := !l.cut[[2]core.Region{from.Region, to.Region}] && !l.isolated[from.Name] && !l.isolated[to.Name]
	switch {
	case from.Region != to.Region:
		return l.latencies.BetweenRegions, reaches
	case from.AvailabilityZone != to.AvailabilityZone:
		return l.latencies.BetweenZones, reaches
	}
	return 0, reaches
}

// linkedPeers is a peer client that adds the latencies and cuts of links.
type linkedPeers struct {
	links *links
	self  core.Host
	inner *peer.Client
}

// newLinkedPeers returns the peer client of a host. It counts bytes within its region in sameRegion
// and those to other regions in crossRegion.
func newLinkedPeers(l *links, self core.Host, sameRegion, crossRegion *peer.Traffic) *linkedPeers {
	dialer := net.Dialer{
		Timeout: time.Second,
	}
	return &linkedPeers{
		links: l,
		self:  self,
		inner: peer.NewClient(peer.ClientConfig{
			Traffic: sameRegion,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if l.hostAt(address).Region != self.Region {
					return crossRegion.Dialer(dialer)(ctx, network, address)
				}
				return sameRegion.Dialer(dialer)(ctx, network, address)
			},
		}),
	}
}

// sendOverLink sends one message with the latency of the link. If the link is cut, it fails once
// ctx ends.
func sendOverLink[Message, Answer any](
	ctx context.Context,
	p *linkedPeers,
	address string,
	message Message,
	send func(context.Context, string, Message) (Answer, error),
) (Answer, error) {
	var none Answer
	latency, reaches := p.links.between(p.self, p.links.hostAt(address))
	if !reaches {
		<-ctx.Done()
		return none, core.Errorf(core.PeerUnreachable, "%s: link is cut", address)
	}
	time.Sleep(latency)
	answer, err := send(ctx, address, message)
	time.Sleep(latency)
	return answer, err
}

// Exchange implements core.PeerClient.
func (p *linkedPeers) Exchange(ctx context.Context, address string, message core.ExchangeMessage) (core.ExchangeMessage, error) {
	return sendOverLink(ctx, p, address, message, p.inner.Exchange)
}

// Push implements core.PeerClient.
func (p *linkedPeers) Push(ctx context.Context, address string, message core.PushMessage) (core.Digest, error) {
	return sendOverLink(ctx, p, address, message, p.inner.Push)
}

// Pull implements core.PeerClient.
func (p *linkedPeers) Pull(ctx context.Context, address string, request core.PullRequest) (core.PullAnswer, error) {
	return sendOverLink(ctx, p, address, request, p.inner.Pull)
}

// ProbeFor implements core.PeerClient.
func (p *linkedPeers) ProbeFor(ctx context.Context, address string, request core.ProbeForRequest) (core.ProbeForAnswer, error) {
	return sendOverLink(ctx, p, address, request, p.inner.ProbeFor)
}

// Hosts implements core.PeerClient.
func (p *linkedPeers) Hosts(ctx context.Context, address string, request core.HostsRequest) (core.HostsAnswer, error) {
	return sendOverLink(ctx, p, address, request, p.inner.Hosts)
}

// linkedStore is a store client that adds the latencies and cuts of links.
type linkedStore struct {
	core.Store
	links *links
	self  core.Host
	// location has the availability zone and the region of the store.
	location core.Host
}

// awaitLink waits for one round trip. If the link is cut, it fails once ctx ends.
func (s *linkedStore) awaitLink(ctx context.Context) error {
	latency, reaches := s.links.between(s.self, s.location)
	if !reaches {
		<-ctx.Done()
		return core.Errorf(core.StoreDown, "link to the store is cut")
	}
	time.Sleep(2 * latency)
	return nil
}

// Value implements core.Store.
func (s *linkedStore) Value(ctx context.Context, key string) (value []byte, found bool, err error) {
	if err = s.awaitLink(ctx); err != nil {
		return nil, false, err
	}
	return s.Store.Value(ctx, key)
}

// Watch implements core.Store.
func (s *linkedStore) Watch(ctx context.Context, after string, wait time.Duration) ([]core.KeyValue, error) {
	if err := s.awaitLink(ctx); err != nil {
		return nil, err
	}
	return s.Store.Watch(ctx, after, wait)
}

// Hosts implements core.Store.
func (s *linkedStore) Hosts(ctx context.Context, after uint64, wait time.Duration) (list core.HostList, ok bool, err error) {
	if err = s.awaitLink(ctx); err != nil {
		return core.HostList{}, false, err
	}
	return s.Store.Hosts(ctx, after, wait)
}
