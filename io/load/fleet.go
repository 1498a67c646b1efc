package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"verbenaway/core"
	"verbenaway/io/conf"
	"verbenaway/io/stand"
)

const (
	fleetStartTimeout = 20 * time.Second
	fleetStopTimeout  = 20 * time.Second
)

type inProcessDaemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// inProcessFleet is a deployment in this process: store, upstreams and daemons.
type inProcessFleet struct {
	plan      Plan
	store     *stand.Store
	upstreams map[core.HostName]*stand.Upstream
	daemons   []inProcessDaemon
	servers   []*stand.Server
	version   core.Version
	sender    *Sender
}

type daemonFunc func(conf.Settings) (inProcessDaemon, error)

type upstreamConfigFunc func(HostPlan) stand.UpstreamConfig

// startFleet starts a deployment and publishes note 1. If makeDaemon is nil, there are no
// daemons and no note.
func startFleet(ctx context.Context, plan Plan, first core.Note, upstreamConfig upstreamConfigFunc, makeDaemon daemonFunc) (*inProcessFleet, error) {
	f := &inProcessFleet{
		plan:      plan,
		store:     stand.NewStore(stand.StoreConfig{}),
		upstreams: map[core.HostName]*stand.Upstream{},
		sender: NewSender(SenderConfig{
			Entries: plan.CallerAddresses(),
		}),
	}
	err := f.start(ctx, first, upstreamConfig, makeDaemon)
	if err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, nil
}

func (f *inProcessFleet) start(ctx context.Context, first core.Note, upstreamConfig upstreamConfigFunc, makeDaemon daemonFunc) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	f.store.SetHosts(f.plan.HostList())
	if err := f.serve(f.plan.StoreAddress, f.store); err != nil {
		return err
	}
	for _, host := range f.plan.Hosts {
		upstream := stand.NewUpstream(upstreamConfig(host))
		f.upstreams[host.Name] = upstream
		if err := f.serve(host.UpstreamAddress, upstream); err != nil {
			return err
		}
	}
	if makeDaemon == nil {
		return nil
	}
	for _, host := range f.plan.Hosts {
		settings := f.plan.settings(host)
		settings.Log.Level = "error"
		daemon, err := makeDaemon(settings)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, daemon)
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	return f.publish(ctx, first)
}

func (f *inProcessFleet) serve(address string, handler http.Handler) error {
	server, err := stand.Serve(address, handler)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return nil
}

func (f *inProcessFleet) startDaemons(ctx context.Context) error {
	failures := make([]error, len(f.daemons))
	var group sync.WaitGroup
	for i, daemon := range f.daemons {
		group.Go(func() {
			failures[i] = daemon.Start(ctx)
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

// publish adds a probe route to a note, writes it to the store and waits until each daemon
// answers on that route. It does nothing in a fleet without daemons.
func (f *inProcessFleet) publish(ctx context.Context, note core.Note) error {
	if len(f.daemons) == 0 {
		return nil
	}
	service := f.plan.Hosts[len(f.plan.Hosts)-1].Service
	note.Add.Routes = append(note.Add.Routes, probeRoute(note.Version, service))
	data, err := toml.Marshal(note)
	if err != nil {
		return err
	}
	f.store.Put(stand.NoteKey(note.Version), data)
	f.version = note.Version
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, host := range f.plan.Hosts {
		for n := 0; ; n++ {
			id := fmt.Sprintf("probe-%s-%d-%d", host.Name, note.Version, n)
			result := f.sender.SendTo(ctx, host.CallerAddress, probeTemplate(note.Version), id, "")
			if result.Outcome == OK {
				break
			}
			if !sleep(ctx, probeInterval) {
				return fmt.Errorf("version %d is not in force on %s: %s %s: %w", note.Version, host.Name, result.Outcome, result.Kind, result.Err)
			}
		}
	}
	return nil
}

// nextNote returns an empty note for the next version.
func (f *inProcessFleet) nextNote(comment string) core.Note {
	return core.Note{
		Version: f.version + 1,
		Against: f.version,
		Comment: comment,
	}
}

// runs returns the summed counts of the upstreams of the hosts.
func (f *inProcessFleet) runs(hosts []HostPlan) stand.Runs {
	var all []stand.Runs
	for _, host := range hosts {
		all = append(all, f.upstreams[host.Name].Runs(true))
	}
	return sumRuns(all)
}

// stop stops the daemons, then the servers and upstreams.
func (f *inProcessFleet) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), fleetStopTimeout)
	defer cancel()
	failures := make([]error, len(f.daemons))
	var group sync.WaitGroup
	for i, daemon := range f.daemons {
		group.Go(func() {
			failures[i] = daemon.Stop(ctx)
		})
	}
	group.Wait()
	for _, server := range f.servers {
		failures = append(failures, server.Close())
	}
	for _, upstream := range f.upstreams {
		upstream.Close()
	}
	f.sender.Close()
	return errors.Join(failures...)
}
