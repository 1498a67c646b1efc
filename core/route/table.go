package route

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"strings"

	"verbenaway/core"
)

// Table finds the route of a request in one snapshot. It is immutable.
type Table struct {
	snapshot *core.Snapshot
	version  string
	hosts    map[string]hostRoutes
	tenants  map[core.TenantName]*RegionSet
	// intersections holds the intersection of each route's set with each tenant's set, so that
	// Match computes none. There are few distinct sets, since there are few regions.
	intersections map[regionSetPair]*RegionSet
}

// hostRoutes holds the routes of one HTTP host by prefixKey and tenant.
type hostRoutes map[string]map[core.TenantName][]*Route

type regionSetPair struct {
	route  *RegionSet
	tenant *RegionSet
}

// Route is a route with its service.
type Route struct {
	Spec    core.RouteSpec
	Service core.ServiceSpec
	// HasService is false if the snapshot lacks the service.
	HasService bool
	// homeRegions is the intersection of the sets of route and service.
	homeRegions *RegionSet
	// split is nil for routes without a traffic split.
	split *splitter
}

// Request holds the properties of a request that determine its route.
type Request struct {
	// Host may include a port and upper-case letters.
	Host string
	// Path begins with a slash. If the prefixes of the routes are literal, it is as the caller sent it,
	// otherwise that of DecodedPath.
	Path   string
	Method string
	// Tenant is empty for requests without a tenant.
	Tenant core.TenantName
}

// Match is the route found for a request.
type Match struct {
	Route *Route
	// HomeRegions is the intersection of the sets of route, service and tenant.
	HomeRegions *RegionSet
}

// NewTable builds the table of a snapshot.
func NewTable(snapshot *core.Snapshot) *Table {
	t := &Table{
		snapshot:      snapshot,
		version:       strconv.FormatUint(uint64(snapshot.Version), 10),
		hosts:         map[string]hostRoutes{},
		tenants:       map[core.TenantName]*RegionSet{},
		intersections: map[regionSetPair]*RegionSet{},
	}
	interned := map[string]*RegionSet{}
	intern := func(s *RegionSet) *RegionSet {
		// "*" cannot be confused with the empty set, whose text is "".
		key := s.text
		if s.isUnrestricted {
			key = "*"
		}
		if known, ok := interned[key]; ok {
			return known
		}
		interned[key] = s
		return s
	}
	for name, tenant := range snapshot.Tenants {
		t.tenants[name] = intern(newRegionSet(tenant.HomeRegions))
	}
	for _, spec := range snapshot.Routes {
		t.add(spec, intern)
	}
	t.computeIntersections()
	return t
}

// add indexes a route by host, prefix and tenant.
func (t *Table) add(spec core.RouteSpec, intern func(*RegionSet) *RegionSet) {
	service, ok := t.snapshot.Services[spec.Service]
	r := &Route{
		Spec:        spec,
		Service:     service,
		HasService:  ok,
		homeRegions: intern(newRegionSet(spec.HomeRegions).intersect(newRegionSet(service.HomeRegions))),
	}
	if len(spec.Split) > 0 {
		r.split = newSplitter(spec.Split)
	}
	host := normalHost(spec.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = hostRoutes{}
	}
	prefix := prefixKey(&spec)
	if t.hosts[host][prefix] == nil {
		t.hosts[host][prefix] = map[core.TenantName][]*Route{}
	}
	list := append(t.hosts[host][prefix][spec.Tenant], r)
	// Map order is random; sorting makes every daemon decide alike.
	slices.SortFunc(list, func(a, b *Route) int {
		return cmp.Compare(a.Spec.Name, b.Spec.Name)
	})
	t.hosts[host][prefix][spec.Tenant] = list
}

// InheritSplits continues the traffic splits of the previous table. It must be called before the
// table is used.
func (t *Table) InheritSplits(previous *Table) {
	splits := map[core.RouteName]*splitter{}
	for r := range previous.Routes() {
		splits[r.Spec.Name] = r.split
	}
	for r := range t.Routes() {
		if r.split != nil {
			r.split.inherit(splits[r.Spec.Name])
		}
	}
}

// computeIntersections fills intersections for all pairs of a route and a tenant.
func (t *Table) computeIntersections() {
	sets := map[*RegionSet]bool{}
	for r := range t.Routes() {
		sets[r.homeRegions] = true
	}
	for set := range sets {
		for _, tenant := range t.tenants {
			pair := regionSetPair{
				route:  set,
				tenant: tenant,
			}
			if t.intersections[pair] == nil {
				t.intersections[pair] = set.intersect(tenant)
			}
		}
	}
}

// Routes yields all routes in no particular order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, prefixes := range t.hosts {
			for _, tenants := range prefixes {
				for _, list := range tenants {
					for _, r := range list {
						if !yield(r) {
							return
						}
					}
				}
			}
		}
	}
}

// Snapshot returns the snapshot that the table was built from.
func (t *Table) Snapshot() *core.Snapshot {
	return t.snapshot
}

// Version returns the version of the snapshot as decimal text.
func (t *Table) Version() string {
	return t.version
}

// Match returns the route with the longest path prefix that matches the method and the tenant;
// with equal prefixes a route of the tenant precedes one without a tenant. The kind is empty or
// the reason for a refusal: NoRoute if no route matches; HomeRegion for a tenant that the snapshot
// lacks, since the snapshot of a region omits those of other home regions; NoUpstream for a route
// whose service the snapshot lacks.
func (t *Table) Match(request Request) (Match, core.ErrorKind) {
	found := t.find(request)
	if found == nil {
		return Match{}, core.NoRoute
	}
	match := Match{
		Route:       found,
		HomeRegions: found.homeRegions,
	}
	if request.Tenant != "" {
		tenant, ok := t.tenants[request.Tenant]
		if !ok {
			return match, core.HomeRegion
		}
		match.HomeRegions = t.intersections[regionSetPair{
			route:  found.homeRegions,
			tenant: tenant,
		}]
	}
	if !found.HasService {
		return match, core.NoUpstream
	}
	return match, ""
}

// find looks up the prefixes of the path that end at its end or at one of its slashes, the longest first.
func (t *Table) find(request Request) *Route {
	prefixes, ok := t.hosts[normalHost(request.Host)]
	if !ok {
		return nil
	}
	path := request.Path
	for end := len(path); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if end < len(path) {
			// A literal prefix ends with a slash.
			if r := findRoute(prefixes[path[:end+1]], request); r != nil {
				return r
			}
		}
		if r := findRoute(prefixes[path[:end]], request); r != nil {
			return r
		}
	}
	return nil
}

// findRoute returns the first route that allows the tenant and the method, nil if none does. Routes of the
// tenant come first.
func findRoute(tenants map[core.TenantName][]*Route, request Request) *Route {
	for _, list := range [...][]*Route{tenants[request.Tenant], tenants[""]} {
		for _, r := range list {
			if len(r.Spec.Methods) == 0 || slices.Contains(r.Spec.Methods, request.Method) {
				return r
			}
		}
	}
	return nil
}

// normalHost returns an HTTP host in lower case and without port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// prefixKey returns the text by which find looks up the prefix of a route. Only that of a literal prefix and
// the root end with a slash.
func prefixKey(spec *core.RouteSpec) string {
	if spec.IsLiteralPrefix {
		return spec.PathPrefix
	}
	return cmp.Or(strings.TrimRight(spec.PathPrefix, "/"), "/")
}
