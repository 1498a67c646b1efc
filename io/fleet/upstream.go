package fleet

import (
	"github.com/cockroachdb/errors"

	"verbenaway/core"
	"verbenaway/io/conf"
	"verbenaway/io/stand"
)

// serveUpstream returns the address of the upstream stand-in of daemon i, which it starts at the
// first call. Without Config.Upstream, it returns an address on which nothing listens.
func (f *Fleet) serveUpstream(i int, settings conf.Settings) (string, error) {
	if f.config.Upstream == nil {
		return "127.0.0.1:1", nil
	}
	if i < len(f.Upstreams) {
		return f.upstreamServers[i].Address(), nil
	}
	config := *f.config.Upstream
	config.Host = settings.Host
	config.AvailabilityZone = settings.AvailabilityZone
	config.Service = settings.Service
	config.Seed = f.config.Seed + uint64(i) + 1
	upstream := stand.NewUpstream(config)
	server, err := stand.Serve("127.0.0.1:0", upstream)
	if err != nil {
		return "", err
	}
	f.Upstreams = append(f.Upstreams, upstream)
	f.upstreamServers = append(f.upstreamServers, server)
	return server.Address(), nil
}

func (f *Fleet) closeUpstreams() error {
	var err error
	for i, upstream := range f.Upstreams {
		upstream.Close()
		err = errors.CombineErrors(err, f.upstreamServers[i].Close())
	}
	return err
}

// StoreURL returns the base URL of the store.
func (f *Fleet) StoreURL() string {
	return f.server.URL()
}

// OrderRuns returns how often the upstreams together ran each non-idempotent request, by
// idempotency key or, without one, by request id.
func (f *Fleet) OrderRuns() map[string]int {
	sum := map[string]int{}
	for _, upstream := range f.Upstreams {
		for id, runs := range upstream.Runs(true).ByID {
			sum[id] += runs
		}
	}
	return sum
}

// FindDaemons returns the indices of the daemons whose host matches.
func (f *Fleet) FindDaemons(matches func(core.Host) bool) []int {
	var found []int
	for i, d := range f.Daemons {
		if matches(d.Self()) {
			found = append(found, i)
		}
	}
	return found
}
