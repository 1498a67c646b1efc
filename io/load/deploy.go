package load

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"verbenaway/core"
)

// HostPlan describes one host of a deployment: the addresses of its daemon and its upstream.
type HostPlan struct {
	core.Host
	CallerAddress   string `json:"callerAddress"`
	UpstreamAddress string `json:"upstreamAddress"`
}

// Plan describes a deployment on loopback addresses.
type Plan struct {
	StoreAddress string     `json:"storeAddress"`
	Hosts        []HostPlan `json:"hosts"`
}

// Regions and services of Tussock Line, the example organisation.
var (
	tussockRegions  = []core.Region{"canterbury", "west-coast", "otago"}
	tussockServices = []core.ServiceName{"netbook", "roadguard", "cliffvault"}
)

const zonesPerRegion = 2

const (
	// upstreamColdStart is how long an upstream runs only its cold slots after a start. It
	// is short to keep the demo short.
	upstreamColdStart = time.Second
	// crossRegionBytesPerSecond exceeds the cross-region traffic of a deployment on one
	// machine.
	crossRegionBytesPerSecond = 200 << 20
)

// tussockCapacity is the capacity of one upstream. Slots and connections are those of
// Tussock Line; the load of one upstream exceeds the cold slots at times.
var tussockCapacity = core.ServiceSpec{
	Slots:         18,
	Connections:   130,
	ColdSlots:     3,
	WarmUp:        core.Duration(3 * time.Second),
	ReservedSlots: 2,
}

// NewPlan returns a plan with one host for each service in each availability zone. Its ports
// were free at the time of the call.
func NewPlan(services []core.ServiceName) (Plan, error) {
	var plan Plan
	for _, region := range tussockRegions {
		for _, zone := range zonesOf(region) {
			for _, service := range services {
				plan.Hosts = append(plan.Hosts, HostPlan{
					Host: core.Host{
						Name:             core.HostName(fmt.Sprintf("%s-%s", service, zone)),
						AvailabilityZone: zone,
						Region:           region,
						Service:          service,
						State:            core.HostLive,
					},
				})
			}
		}
	}
	return plan, plan.assignPorts()
}

func zonesOf(region core.Region) []core.AvailabilityZone {
	var zones []core.AvailabilityZone
	for n := 1; n <= zonesPerRegion; n++ {
		zones = append(zones, core.AvailabilityZone(fmt.Sprintf("%s-%d", region, n)))
	}
	return zones
}

func (p *Plan) assignPorts() error {
	addresses := []*string{&p.StoreAddress}
	for i := range p.Hosts {
		host := &p.Hosts[i]
		addresses = append(addresses, &host.PeerAddress, &host.GateAddress, &host.AdminAddress, &host.CallerAddress, &host.UpstreamAddress)
	}
	return assignFreePorts(addresses)
}

// assignFreePorts sets each address to a free loopback port. It keeps all ports open until the
// last one is assigned, so that they differ.
func assignFreePorts(addresses []*string) (err error) {
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			err = errors.Join(err, listener.Close())
		}
	}()
	for _, address := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		*address = listener.Addr().String()
	}
	return nil
}

// HostList returns the host list of the plan.
func (p Plan) HostList() core.HostList {
	var list core.HostList
	for _, host := range p.Hosts {
		list.Hosts = append(list.Hosts, host.Host)
	}
	return list
}

// CallerAddresses returns the caller addresses of all daemons.
func (p Plan) CallerAddresses() []string {
	var addresses []string
	for _, host := range p.Hosts {
		addresses = append(addresses, host.CallerAddress)
	}
	return addresses
}

// InZone returns the hosts of an availability zone.
func (p Plan) InZone(zone core.AvailabilityZone) []HostPlan {
	var hosts []HostPlan
	for _, host := range p.Hosts {
		if host.AvailabilityZone == zone {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (p Plan) lastHostOf(service core.ServiceName) HostPlan {
	var last HostPlan
	for _, host := range p.Hosts {
		if host.Service == service {
			last = host
		}
	}
	return last
}

// Seeds returns the peer address of one host in each of up to three other availability zones.
func (p Plan) Seeds(host HostPlan) []string {
	var seeds []string
	seen := map[core.AvailabilityZone]bool{
		host.AvailabilityZone: true,
	}
	for _, other := range p.Hosts {
		if !seen[other.AvailabilityZone] && len(seeds) < 3 {
			seen[other.AvailabilityZone] = true
			seeds = append(seeds, other.PeerAddress)
		}
	}
	return seeds
}

// FirstNote returns note 1, which adds the regions, the services with the given capacity and
// a route for each request template.
func FirstNote(capacity core.ServiceSpec) core.Note {
	note := core.Note{
		Version: 1,
		Comment: "Tussock Line",
	}
	for _, region := range tussockRegions {
		note.Add.Regions = append(note.Add.Regions, core.RegionSpec{
			Name:                      region,
			AvailabilityZones:         zonesOf(region),
			CrossRegionBytesPerSecond: crossRegionBytesPerSecond,
		})
	}
	for _, service := range tussockServices {
		capacity.Name = service
		note.Add.Services = append(note.Add.Services, capacity)
	}
	classes := map[string]core.RequestClass{
		"lookup":  core.ClassLookup,
		"order":   core.ClassOrder,
		"history": core.ClassBulk,
		"upload":  core.ClassBulk,
	}
	services := map[string]core.ServiceName{
		"lookup":  "netbook",
		"order":   "roadguard",
		"history": "cliffvault",
		"upload":  "cliffvault",
	}
	for _, template := range RequestTemplates {
		note.Add.Routes = append(note.Add.Routes, core.RouteSpec{
			Name:       core.RouteName(template.Name),
			Host:       template.Host,
			PathPrefix: template.Path,
			Methods:    []string{template.Method},
			Service:    services[template.Name],
			Class:      classes[template.Name],
			Idempotent: template.IsIdempotent(),
			Timeout:    core.Duration(template.Timeout),
		})
	}
	return note
}

// probeTemplate returns a request for the probe route of a version. An answer shows that the
// version is in force.
func probeTemplate(version core.Version) RequestTemplate {
	return RequestTemplate{
		Name:        "probe",
		Method:      http.MethodGet,
		Host:        "netbook.tussock",
		Path:        fmt.Sprintf("/probe/%d", version),
		AnswerBytes: 32,
		Timeout:     time.Second,
	}
}

// probeRoute returns the probe route that the note of a version adds.
func probeRoute(version core.Version, service core.ServiceName) core.RouteSpec {
	template := probeTemplate(version)
	return core.RouteSpec{
		Name:       probeName(version),
		Host:       template.Host,
		PathPrefix: template.Path,
		Methods:    []string{template.Method},
		Service:    service,
		Class:      core.ClassLookup,
		Idempotent: true,
		Timeout:    core.Duration(template.Timeout),
	}
}

func probeName(version core.Version) core.RouteName {
	return core.RouteName(fmt.Sprintf("probe-%d", version))
}
