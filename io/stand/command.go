package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"

	"verbenaway/core"
	"verbenaway/io/shell"
)

// shutdownTime is how long a stand-in waits for requests in flight when it ends.
const shutdownTime = 10 * time.Second

// ListenFlags are the flags for the address and the lifetime of a stand-in.
type ListenFlags struct {
	Listen      string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"address to listen on; port 0 lets the kernel choose"`
	AddressFile string        `long:"address-file" value-name:"FILE" description:"write HOST:PORT to this file once listening"`
	EndAfter    time.Duration `long:"end-after" value-name:"DURATION" description:"exit after this time; 0 means never"`
}

// StoreCommand is the subcommand store.
type StoreCommand struct {
	ListenFlags
	Seed     string        `long:"seed" value-name:"DIR" description:"directory of the initial notes 0000000001.toml, ... and checkpoint.toml"`
	Hosts    string        `long:"hosts" value-name:"FILE" description:"initial host list, as JSON: {\"hosts\": [...]}"`
	HostsLag time.Duration `long:"hosts-lag" value-name:"DURATION" description:"time until readers see a new host list"`
	Rate     int           `long:"rate" value-name:"N" default:"2000" description:"operations per second above which calls are answered with 429; -1 means no limit"`
}

// UpstreamCommand is the subcommand upstream.
type UpstreamCommand struct {
	ListenFlags
	Host           string        `long:"host" value-name:"NAME" default:"upstream" description:"host name in answers"`
	Service        string        `long:"service" value-name:"NAME" description:"service of the upstream"`
	Zone           string        `long:"availability-zone" value-name:"NAME" description:"availability zone of the host"`
	Slots          int           `long:"slots" value-name:"N" default:"18" description:"concurrent requests when warm"`
	Connections    int           `long:"connections" value-name:"N" default:"130" description:"maximum number of connections; 0 means no limit"`
	ConnectionCost time.Duration `long:"connection-cost" value-name:"DURATION" default:"1ms" description:"delay of the first request on a connection"`
	ColdSlots      int           `long:"cold-slots" value-name:"N" default:"3" description:"concurrent requests in cold start"`
	ColdFor        time.Duration `long:"cold-for" value-name:"DURATION" default:"2s" description:"duration of a cold start"`
	ColdTolerance  int           `long:"cold-tolerance" value-name:"N" default:"0" description:"requests shed in one second of cold start before the upstream fails; 0 means as many as slots"`
	ServiceTime    time.Duration `long:"service-time" value-name:"DURATION" default:"2ms" description:"mean service time of a request"`
	Distribution   string        `long:"distribution" default:"fixed" choice:"fixed" choice:"uniform" choice:"exponential" description:"distribution of the service time"`
	BodyBytes      int64         `long:"body-bytes" value-name:"N" default:"256" description:"length of answers to requests without the parameter bytes"`
	RandomSeed     uint64        `long:"random-seed" value-name:"N" default:"1" description:"seed of the service times"`
	CallURL        string        `long:"call-on" value-name:"URL" description:"base URL of the caller address of the local daemon, for requests with the parameter calls"`
	CallHost       string        `long:"call-host" value-name:"NAME" description:"HTTP host of such calls"`
	CallPath       string        `long:"call-path" value-name:"PATH" default:"/" description:"path of such calls"`
}

var _ flags.Commander = (*StoreCommand)(nil)

// program is the command line of cmd/standin.
var program = shell.Program{
	Name:  "standin",
	Short: "stand-ins for the platform",
	Description: "Stand-ins for the platform's store and for the upstreams of services. " +
		"Faults are set at run time: POST /v1/faults (store), POST /control/faults (upstream). " +
		"Counts: GET /v1/counters (store), GET /control/runs (upstream).",
	Subcommands: []shell.Subcommand{
		{Name: "store", Short: "run the configuration service with the host list until SIGTERM", Command: &StoreCommand{}},
		{Name: "upstream", Short: "run one instance of a service until SIGTERM", Command: &UpstreamCommand{}},
	},
}

// Main runs the command line of cmd/standin and returns the exit code.
func Main(args []string) int {
	return program.Run(args)
}

// Execute runs a store stand-in until a signal.
func (c *StoreCommand) Execute([]string) error {
	store := NewStore(StoreConfig{
		OperationsPerSecond: c.Rate,
		HostsLag:            c.HostsLag,
	})
	if c.Seed != "" {
		if err := store.Seed(c.Seed); err != nil {
			return err
		}
	}
	if c.Hosts != "" {
		list, err := readHosts(c.Hosts)
		if err != nil {
			return err
		}
		store.SetHosts(list)
	}
	return c.run("store", store)
}

func readHosts(file string) (core.HostList, error) {
	var list core.HostList
	data, err := os.ReadFile(file)
	if err != nil {
		return list, err
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return list, fmt.Errorf("host list %s: %w", file, err)
	}
	return list, nil
}

// Execute runs an upstream stand-in until a signal.
func (c *UpstreamCommand) Execute([]string) error {
	upstream := NewUpstream(UpstreamConfig{
		Host:             core.HostName(c.Host),
		AvailabilityZone: core.AvailabilityZone(c.Zone),
		Service:          core.ServiceName(c.Service),
		Slots:            c.Slots,
		Connections:      c.Connections,
		ConnectionCost:   c.ConnectionCost,
		ColdSlots:        c.ColdSlots,
		ColdFor:          c.ColdFor,
		ColdTolerance:    c.ColdTolerance,
		ServiceTime:      c.ServiceTime,
		Distribution:     c.Distribution,
		BodyBytes:        c.BodyBytes,
		Seed:             c.RandomSeed,
		CallURL:          c.CallURL,
		CallHost:         c.CallHost,
		CallPath:         c.CallPath,
	})
	defer upstream.Close()
	return c.run("upstream", upstream)
}

// run serves until SIGTERM, SIGINT or the time of EndAfter.
func (f *ListenFlags) run(name string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if f.EndAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.EndAfter)
		defer cancel()
	}
	server, err := Serve(f.Listen, handler)
	if err != nil {
		return err
	}
	log.WithField("address", server.Address()).WithField("standin", name).Info("listening")
	if err := f.writeAddress(server.Address()); err != nil {
		return errors.Join(err, server.Close())
	}
	<-ctx.Done()
	log.WithField("standin", name).Info("ending")
	// ctx has ended, so the shutdown needs its own context.
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// writeAddress writes the address file atomically.
func (f *ListenFlags) writeAddress(address string) error {
	if f.AddressFile == "" {
		return nil
	}
	temporary := f.AddressFile + ".tmp"
	if err := os.WriteFile(temporary, []byte(address+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.AddressFile)
}
