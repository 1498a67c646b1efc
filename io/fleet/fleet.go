package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/io/conf"
	"verbenaway/io/daemon"
	"verbenaway/io/peer"
	"verbenaway/io/stand"
	"verbenaway/io/store"
)

// Config configures a Fleet.
type Config struct {
	// Daemons is the number of daemons, which are assigned to Zones round-robin.
	Daemons int
	// Zones lists the availability zones with their regions. The store is in the first.
	Zones []Zone
	// Services are assigned to the daemons round-robin.
	Services  []core.ServiceName
	Latencies Latencies
	// Way is how daemons learn of versions: conf.WayVerbenaway, also if empty, or conf.WayDirectWatch.
	Way  string
	Seed uint64
	// Upstream is the template of an upstream stand-in for each daemon; nil starts none. The fleet
	// sets its host, availability zone, service and seed.
	Upstream *stand.UpstreamConfig
}

// Zone is one availability zone.
type Zone struct {
	AvailabilityZone core.AvailabilityZone
	Region           core.Region
}

// TargetZones are the availability zones that are planned for the target deployment in two years.
var TargetZones = []Zone{
	{AvailabilityZone: "north1", Region: "north"},
	{AvailabilityZone: "south1", Region: "south"},
	{AvailabilityZone: "north2", Region: "north"},
	{AvailabilityZone: "south2", Region: "south"},
	{AvailabilityZone: "north3", Region: "north"},
}

// TargetLatencies are the one-way latencies of the target deployment, that of the example
// organisation Tussock Line.
var TargetLatencies = Latencies{
	BetweenZones:   500 * time.Microsecond,
	BetweenRegions: 12 * time.Millisecond,
}

// Fleet is a set of daemons with a store. It is not safe for concurrent use.
type Fleet struct {
	config  Config
	links   *links
	server  *stand.Server
	Store   *stand.Store
	Daemons []*daemon.Daemon
	// Upstreams[i] is on the host of Daemons[i]; it keeps running when the daemon is killed.
	Upstreams       []*stand.Upstream
	upstreamServers []*stand.Server
	// SameRegionTraffic and CrossRegionTraffic count the bytes of control messages and store calls
	// within regions and between regions, at the client side only.
	SameRegionTraffic  *peer.Traffic
	CrossRegionTraffic *peer.Traffic
	// lastVersion is the version of the last published note.
	lastVersion core.Version
	// publishedNotes holds all published notes for RestoreNotes.
	publishedNotes [][]byte
}

// New starts the store and the upstreams, binds the addresses of all daemons and publishes the
// host list.
func New(config Config) (*Fleet, error) {
	f := &Fleet{
		config:             config,
		links:              newLinks(config.Latencies),
		Store:              stand.NewStore(stand.StoreConfig{}),
		SameRegionTraffic:  &peer.Traffic{},
		CrossRegionTraffic: &peer.Traffic{},
	}
	server, err := stand.Serve("127.0.0.1:0", f.Store)
	if err != nil {
		return nil, err
	}
	f.server = server
	for i := range config.Daemons {
		address := daemonAddress(i)
		d, buildErr := f.newDaemon(i, conf.ListenSettings{
			Caller: address,
			Gate:   address,
			Peer:   address,
			Admin:  address,
		})
		if buildErr != nil {
			return nil, buildErr
		}
		f.Daemons = append(f.Daemons, d)
	}
	f.publishHosts()
	return f, nil
}

// daemonsPerBlock is the number of daemons in a block of 256 addresses.
const daemonsPerBlock = 250

// daemonAddress returns the address of daemon i, with any free port. Outgoing connections have the
// address 127.0.0.1, so that none of them can take a port on which a daemon is to start again.
func daemonAddress(i int) string {
	return fmt.Sprintf("127.77.%d.%d:0", i/daemonsPerBlock, i%daemonsPerBlock+1)
}

// newDaemon creates daemon i on the given addresses, with its upstream if there is none yet.
func (f *Fleet) newDaemon(i int, listen conf.ListenSettings) (*daemon.Daemon, error) {
	zone := f.config.Zones[i%len(f.config.Zones)]
	settings := conf.Defaults()
	settings.Host = core.HostName(fmt.Sprintf("%s-%04d", zone.AvailabilityZone, i))
	settings.AvailabilityZone = zone.AvailabilityZone
	settings.Region = zone.Region
	settings.Service = f.config.Services[i%len(f.config.Services)]
	settings.Listen = listen
	upstream, err := f.serveUpstream(i, settings)
	if err != nil {
		return nil, err
	}
	settings.Upstream.Address = upstream
	settings.Store.Address = f.server.URL()
	if f.config.Way != "" {
		settings.Spread.Way = f.config.Way
	}
	self := settings.Self()
	d, err := daemon.New(daemon.Config{
		Settings: settings,
		Seed:     f.config.Seed + uint64(i) + 1,
		Peers:    newLinkedPeers(f.links, self, f.SameRegionTraffic, f.CrossRegionTraffic),
		Store:    f.newStoreClient(self),
	})
	if err == nil {
		f.links.add(d.Self())
	}
	return d, err
}

// newStoreClient returns the store client of a host. Its bytes count as SameRegionTraffic or
// CrossRegionTraffic.
func (f *Fleet) newStoreClient(self core.Host) core.Store {
	location := core.Host{
		Name:             "store",
		AvailabilityZone: f.config.Zones[0].AvailabilityZone,
		Region:           f.config.Zones[0].Region,
	}
	traffic := f.SameRegionTraffic
	if self.Region != location.Region {
		traffic = f.CrossRegionTraffic
	}
	return &linkedStore{
		Store: store.New(store.Config{
			Address: f.server.URL(),
			Dial: traffic.Dialer(net.Dialer{
				Timeout: time.Second,
			}),
		}),
		links:    f.links,
		self:     self,
		location: location,
	}
}

// publishHosts sets the host list to all daemons.
func (f *Fleet) publishHosts() {
	list := core.HostList{
		Revision: uint64(time.Now().UnixMilli()),
	}
	for _, d := range f.Daemons {
		list.Hosts = append(list.Hosts, d.Self())
	}
	f.Store.SetHosts(list)
}

// Start starts all daemons.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := d.Start(context.Background()); err != nil {
			return err
		}
	}
	return nil
}

// Restart kills daemon i and starts it again, with empty memory and on the same addresses.
func (f *Fleet) Restart(i int) error {
	if err := f.Kill(i); err != nil {
		return err
	}
	return f.StartAgain(i)
}

// Kill ends daemon i without announcing it to the others.
func (f *Fleet) Kill(i int) error {
	f.Daemons[i].Kill()
	return nil
}

// StartAgain starts daemon i again, with empty memory and on the same addresses.
func (f *Fleet) StartAgain(i int) error {
	self := f.Daemons[i].Self()
	d, err := f.newDaemon(i, conf.ListenSettings{
		Caller: f.Daemons[i].CallerAddress(),
		Gate:   self.GateAddress,
		Peer:   self.PeerAddress,
		Admin:  self.AdminAddress,
	})
	if err != nil {
		return err
	}
	f.Daemons[i] = d
	return d.Start(context.Background())
}

// CutRegions cuts or restores the links between two regions.
func (f *Fleet) CutRegions(a, b core.Region, isCut bool) {
	f.links.setCut(a, b, isCut)
}

// Isolate cuts or restores the links of daemon i to all others and to the store.
func (f *Fleet) Isolate(i int, isIsolated bool) {
	f.links.setIsolated(f.Daemons[i].Self().Name, isIsolated)
}

// Publish writes the next note, which consists of the fields version, against and comment and of
// the given body, and returns its version.
func (f *Fleet) Publish(body string) core.Version {
	f.lastVersion++
	text := fmt.Sprintf("version = %d\nagainst = %d\ncomment = \"fleet\"\n%s", f.lastVersion, f.lastVersion-1, body)
	f.publishedNotes = append(f.publishedNotes, []byte(text))
	f.Store.Put(note.Key(f.lastVersion), []byte(text))
	return f.lastVersion
}

// CountInForce returns the number of daemons that serve a version or a later one.
func (f *Fleet) CountInForce(version core.Version) int {
	count := 0
	for _, d := range f.Daemons {
		if snapshot, _ := d.Agent().Snapshot(); snapshot != nil && snapshot.Version >= version {
			count++
		}
	}
	return count
}

// AwaitVersion waits until a version or a later one is in force on at least want daemons and
// returns the time that this took. It returns an error after the limit.
func (f *Fleet) AwaitVersion(version core.Version, want int, limit time.Duration) (time.Duration, error) {
	begin := time.Now()
	for {
		inForce := f.CountInForce(version)
		elapsed := time.Since(begin)
		if inForce >= want {
			return elapsed, nil
		}
		if elapsed > limit {
			return elapsed, core.Errorf(core.Internal, "version %d in force on %d of %d daemons after %v", version, inForce, want, limit)
		}
		time.Sleep(time.Millisecond)
	}
}

// Stop kills all daemons and closes the upstreams and the store.
func (f *Fleet) Stop() error {
	var group errgroup.Group
	for _, d := range f.Daemons {
		group.Go(func() error {
			d.Kill()
			return nil
		})
	}
	err := errors.CombineErrors(group.Wait(), f.closeUpstreams())
	return errors.CombineErrors(err, f.server.Close())
}
