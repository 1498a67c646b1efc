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
	tenants  map[core.TenantName]*Homes
	// both holds the intersections of all sets of routes with all sets of tenants, so that
	// a match computes none. Few sets are distinct, since regions are few.
	both map[homesPair]*Homes
}

// hostRoutes holds the routes of one HTTP host by path prefix and tenant.
type hostRoutes map[string]map[core.TenantName][]*Route

type homesPair struct {
	route  *Homes
	tenant *Homes
}

// Route is a route with the service that it leads to.
type Route struct {
	Spec    core.RouteSpec
	Service core.ServiceSpec
	// Complete is false if the snapshot lacks the service.
	Complete bool
	// homes is the set of route and service together.
	homes *Homes
	// split is nil unless the route is divided.
	split *splitter
}

// Request holds the properties of a request that decide its route.
type Request struct {
	// Host may have a port and capital letters.
	Host string
	// Path is decoded and begins with a slash.
	Path   string
	Method string
	// Tenant is empty for requests of no tenant.
	Tenant core.TenantName
}

// Match is the route of a request.
type Match struct {
	Route *Route
	// Homes is the set of route, service and tenant together.
	Homes *Homes
}

// NewTable builds the table of a snapshot.
func NewTable(snapshot *core.Snapshot) *Table {
	t := &Table{
		snapshot: snapshot,
		version:  strconv.FormatUint(uint64(snapshot.Version), 10),
		hosts:    map[string]hostRoutes{},
		tenants:  map[core.TenantName]*Homes{},
		both:     map[homesPair]*Homes{},
	}
	interned := map[string]*Homes{}
	intern := func(h *Homes) *Homes {
		// "*" cannot be confused with the empty set, whose text is "".
		key := h.text
		if h.everywhere {
			key = "*"
		}
		if known, ok := interned[key]; ok {
			return known
		}
		interned[key] = h
		return h
	}
	for name, tenant := range snapshot.Tenants {
		t.tenants[name] = intern(newHomes(tenant.HomeRegions))
	}
	for _, spec := range snapshot.Routes {
		t.add(spec, intern)
	}
	t.intersect()
	return t
}

// add files one route under its host, prefix and tenant.
func (t *Table) add(spec core.RouteSpec, intern func(*Homes) *Homes) {
	service, ok := t.snapshot.Services[spec.Service]
	r := &Route{
		Spec:     spec,
		Service:  service,
		Complete: ok,
		homes:    intern(newHomes(spec.HomeRegions).and(newHomes(service.HomeRegions))),
	}
	if len(spec.Split) > 0 {
		r.split = newSplitter(spec.Split)
	}
	host := normalHost(spec.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = hostRoutes{}
	}
	prefix := normalPrefix(spec.PathPrefix)
	if t.hosts[host][prefix] == nil {
		t.hosts[host][prefix] = map[core.TenantName][]*Route{}
	}
	list := append(t.hosts[host][prefix][spec.Tenant], r)
	// The order of a map is random; sorting keeps the decision the same on every daemon.
	slices.SortFunc(list, func(a, b *Route) int {
		return cmp.Compare(a.Spec.Name, b.Spec.Name)
	})
	t.hosts[host][prefix][spec.Tenant] = list
}

// Inherit goes on with the shares of divided routes where the table before it stopped. It is
// called before the table is used.
func (t *Table) Inherit(before *Table) {
	splits := map[core.RouteName]*splitter{}
	for r := range before.Routes() {
		splits[r.Spec.Name] = r.split
	}
	for r := range t.Routes() {
		if r.split != nil {
			r.split.inherit(splits[r.Spec.Name])
		}
	}
}

// intersect computes the sets for all pairs of a route and a tenant.
func (t *Table) intersect() {
	sets := map[*Homes]bool{}
	for r := range t.Routes() {
		sets[r.homes] = true
	}
	for set := range sets {
		for _, tenant := range t.tenants {
			pair := homesPair{
				route:  set,
				tenant: tenant,
			}
			if t.both[pair] == nil {
				t.both[pair] = set.and(tenant)
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

// Match returns the route with the longest path prefix that has the method and the tenant;
// under one prefix a route of the tenant precedes a route of none. If there is none, the
// kind says why: NoRoute; HomeRegion for a tenant that the snapshot does not have, since a
// sliced snapshot hides the tenants of other regions; NoUpstream for a route whose service
// the snapshot lacks.
func (t *Table) Match(request Request) (Match, core.Kind) {
	found := t.find(request)
	if found == nil {
		return Match{}, core.NoRoute
	}
	match := Match{
		Route: found,
		Homes: found.homes,
	}
	if request.Tenant != "" {
		tenant, ok := t.tenants[request.Tenant]
		if !ok {
			return match, core.HomeRegion
		}
		match.Homes = t.both[homesPair{
			route:  found.homes,
			tenant: tenant,
		}]
	}
	if !found.Complete {
		return match, core.NoUpstream
	}
	return match, ""
}

// find walks from the whole path up to the root, one segment at a time.
func (t *Table) find(request Request) *Route {
	prefixes, ok := t.hosts[normalHost(request.Host)]
	if !ok {
		return nil
	}
	path := request.Path
	for {
		if tenants, ok := prefixes[path]; ok {
			isWhole := len(path) == len(request.Path) && path != "/"
			if r := findMethod(tenants[request.Tenant], request.Method, isWhole); r != nil {
				return r
			}
			if r := findMethod(tenants[""], request.Method, isWhole); r != nil {
				return r
			}
		}
		if path == "/" || path == "" {
			return nil
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
		if path == "" {
			path = "/"
		}
	}
}

// findMethod returns the first route with a method. A strict route does not match if its
// prefix without the closing slash is the whole path.
func findMethod(list []*Route, method string, isWhole bool) *Route {
	for _, r := range list {
		if isWhole && r.Spec.IsStrict {
			continue
		}
		if len(r.Spec.Methods) == 0 || slices.Contains(r.Spec.Methods, method) {
			return r
		}
	}
	return nil
}

// normalHost returns an HTTP host without port and in lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// normalPrefix returns a prefix without a closing slash, since prefixes match whole
// segments.
func normalPrefix(prefix string) string {
	trimmed := strings.TrimRight(prefix, "/")
	if trimmed == "" {
		return "/"
	}
	return trimmed
}
