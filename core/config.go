package core

import "time"

// MaxNoteBytes is the size of the largest note, and of the largest value that the store accepts.
const MaxNoteBytes = 1 << 20

// RequestClass ranks the requests that compete for the slots of an upstream.
type RequestClass string

// The request classes, from most to least urgent.
const (
	ClassLookup RequestClass = "lookup"
	ClassOrder  RequestClass = "order"
	ClassBulk   RequestClass = "bulk"
)

// RegionSpec describes one region of the fleet.
type RegionSpec struct {
	Name Region `toml:"name" json:"name"`
	// AvailabilityZones is not empty, and no zone is in two regions.
	AvailabilityZones []AvailabilityZone `toml:"availabilityZones" json:"availabilityZones"`
	// CrossRegionBytesPerSecond bounds the request bytes that one daemon of the region
	// sends to other regions. 0 means that no request leaves the region.
	CrossRegionBytesPerSecond int64 `toml:"crossRegionBytesPerSecond" json:"crossRegionBytesPerSecond"`
}

// ServiceSpec describes a service and the capacity of each of its upstreams.
type ServiceSpec struct {
	Name ServiceName `toml:"name" json:"name"`
	// Slots is the number of requests that a warm upstream runs at once, at least 1.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the highest number of connections that an upstream accepts, at least Slots.
	Connections int `toml:"connections" json:"connections"`
	// ColdSlots is the number of slots at the beginning of a cold start, from 1 to Slots.
	ColdSlots int `toml:"coldSlots" json:"coldSlots"`
	// WarmUp is the shortest time from ColdSlots to the full number of slots.
	WarmUp Duration `toml:"warmUp" json:"warmUp"`
	// ReservedSlots is the number of slots that bulk requests leave free, less than Slots.
	ReservedSlots int `toml:"reservedSlots" json:"reservedSlots"`
	// HomeRegions lists the regions that may serve the service; empty means all.
	HomeRegions []Region `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
	// ColdRate is the number of requests that may reach an upstream within any second of a
	// cold start; 0 means that only ColdSlots limits them. Notes do not contain it.
	ColdRate float64 `toml:"-" json:"-"`
	// HealthPath is the path of the upstream's health check. Notes do not contain it.
	HealthPath string `toml:"-" json:"-"`
}

// SplitSpec is one of the services among which a route splits its requests.
type SplitSpec struct {
	Service ServiceName
	// Weight is the share of the service relative to the others of the split, at least 0.
	Weight int
}

// RouteSpec maps requests to a service.
type RouteSpec struct {
	// Name identifies the route in all versions.
	Name RouteName `toml:"name" json:"name"`
	// Host is compared without port and in lower case.
	Host string `toml:"host" json:"host"`
	// PathPrefix begins with a slash and matches whole path segments.
	PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
	// Methods is never empty in a note; in a route from a Registry, empty means any. No two routes
	// of notes have host, prefix, tenant and a method in common.
	Methods []string `toml:"methods" json:"methods"`
	// Tenant restricts the route to requests of one tenant; empty means any.
	Tenant  TenantName   `toml:"tenant,omitempty" json:"tenant,omitempty"`
	Service ServiceName  `toml:"service" json:"service"`
	Class   RequestClass `toml:"class" json:"class"`
	// Idempotent allows a retry after an answer was lost.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Timeout bounds the whole request, including retries.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// HomeRegions is within the home regions of the service and of the tenant.
	HomeRegions []Region `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
	// Split divides the requests among services; Service is then the first of them. Notes do
	// not contain it.
	Split []SplitSpec `toml:"-" json:"-"`
	// MaxAttempts bounds the number of upstreams that one request is sent to; 0 means that the
	// route sets no bound. Notes do not contain it.
	MaxAttempts int `toml:"-" json:"-"`
	// LatencyTarget is the time after which an answer is late for the caller; 0 means that the
	// route has no target. Notes do not contain it.
	LatencyTarget Duration `toml:"-" json:"-"`
	// IsLiteralPrefix means that PathPrefix has to match the beginning of the path literally,
	// trailing slash included. Notes do not contain it.
	IsLiteralPrefix bool `toml:"-" json:"-"`
	// IsOpen exempts the requests of the route from authentication. Notes do not contain it.
	IsOpen bool `toml:"-" json:"-"`
	// Priority ranks requests that wait for the same upstream, lower first; within a priority
	// Class decides. Notes do not contain it.
	Priority int `toml:"-" json:"-"`
}

// TenantSpec describes one tenant.
type TenantSpec struct {
	Name        TenantName `toml:"name" json:"name"`
	HomeRegions []Region   `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
	// Keys holds the digests of the API keys of the tenant; no two tenants have one in common.
	// Notes do not contain it.
	Keys []KeyDigest `toml:"-" json:"-"`
	// Quota bounds the requests of the tenant over all daemons. Notes do not contain it.
	Quota QuotaSpec `toml:"-" json:"-"`
	// Priority takes precedence over the priority of the route if HasPriority is set. Notes
	// contain neither.
	Priority    int  `toml:"-" json:"-"`
	HasPriority bool `toml:"-" json:"-"`
}

// LimitSpec bounds the requests of a route or of a tenant at each gatekeeper.
type LimitSpec struct {
	Name string `toml:"name" json:"name"`
	// Exactly one of Route and Tenant is set.
	Route             RouteName  `toml:"route,omitempty" json:"route,omitempty"`
	Tenant            TenantName `toml:"tenant,omitempty" json:"tenant,omitempty"`
	RequestsPerSecond float64    `toml:"requestsPerSecond" json:"requestsPerSecond"`
	Burst             int        `toml:"burst" json:"burst"`
	Concurrent        int        `toml:"concurrent" json:"concurrent"`
}

// Resources is a set of resources of all kinds.
type Resources struct {
	Regions  []RegionSpec  `toml:"region,omitempty" json:"region,omitempty"`
	Services []ServiceSpec `toml:"service,omitempty" json:"service,omitempty"`
	Routes   []RouteSpec   `toml:"route,omitempty" json:"route,omitempty"`
	Tenants  []TenantSpec  `toml:"tenant,omitempty" json:"tenant,omitempty"`
	Limits   []LimitSpec   `toml:"limit,omitempty" json:"limit,omitempty"`
}

// ResourceNames lists resources by name.
type ResourceNames struct {
	Regions  []Region      `toml:"region,omitempty" json:"region,omitempty"`
	Services []ServiceName `toml:"service,omitempty" json:"service,omitempty"`
	Routes   []RouteName   `toml:"route,omitempty" json:"route,omitempty"`
	Tenants  []TenantName  `toml:"tenant,omitempty" json:"tenant,omitempty"`
	Limits   []string      `toml:"limit,omitempty" json:"limit,omitempty"`
}

// Note is one release note.
type Note struct {
	// Version equals the number in the key of the note.
	Version Version `toml:"version"`
	// Against is the version that the note was written against, less than Version.
	Against  Version       `toml:"against"`
	Comment  string        `toml:"comment"`
	Add      Resources     `toml:"add"`
	Change   Resources     `toml:"change"`
	Withdraw ResourceNames `toml:"withdraw"`
	// TakeOut and BringBack have no availability zone in common.
	TakeOut   []AvailabilityZone `toml:"takeOut"`
	BringBack []AvailabilityZone `toml:"bringBack"`
}

// Snapshot is the configuration at one version, either complete or reduced to what one region
// may see. It is immutable once published; readers share it without locks.
type Snapshot struct {
	Version Version
	// Revision orders snapshots of one version, such as before and after an availability zone
	// was taken out. It is 0 where each change has a version of its own.
	Revision uint64
	Hash     Hash
	// Region is the region that the snapshot was reduced for; empty means complete.
	Region   Region
	Regions  map[Region]RegionSpec
	Services map[ServiceName]ServiceSpec
	Routes   map[RouteName]RouteSpec
	// Tenants is nil if the configuration has no list of tenants.
	Tenants map[TenantName]TenantSpec
	Limits  map[string]LimitSpec
	// Labels holds the operator's names of routes from a Registry, which may change between
	// versions.
	Labels map[RouteName]string
	// MaxHeaderBytes is the largest total size of headers that callers may send, 0 if the
	// configuration does not say.
	MaxHeaderBytes int
	// Out holds the availability zones that operators have taken out.
	Out map[AvailabilityZone]bool
	// Changed holds the version that last changed each resource, by "kind/name". It has all
	// resources only in a complete snapshot, where applying a note needs them.
	Changed map[string]Version
	// Refused holds the latest refused notes, oldest first, at most 32.
	Refused []RefusedNote
}

// IsBefore tells whether s is older than other.
func (s *Snapshot) IsBefore(other *Snapshot) bool {
	if s.Version != other.Version {
		return s.Version < other.Version
	}
	return s.Revision < other.Revision
}

// RefusedNote is a note that was refused and changed nothing, with the reason.
type RefusedNote struct {
	Version Version   `json:"version"`
	Kind    ErrorKind `json:"kind"`
	Reason  string    `json:"reason"`
}

// Slice is one note as passed between daemons: the parts that a region may see, and the
// digests of the others, so that the receiver can verify the hash chain.
type Slice struct {
	Version      Version
	PreviousHash Hash
	// Hash is SHA-256 over PreviousHash, Version, Verdict and the region sets and digests
	// of all parts in order.
	Hash Hash
	// Verdict is empty for an accepted note, otherwise the error kind of its refusal.
	Verdict ErrorKind
	Reason  string
	// Parts is sorted by home regions. A refused note has none.
	Parts []Part
	// Received is the time at which the reader received the note.
	Received time.Time
}

// Part is the part of a note that is visible to one set of home regions.
type Part struct {
	// HomeRegions is sorted; empty means all regions.
	HomeRegions []Region
	// Digest is SHA-256 over Contents.
	Digest Hash
	// Contents is the canonical encoding of a PartChange, nil if hidden from the receiver.
	Contents []byte
}

// PartChange is the change of a part to a snapshot: Put adds or replaces resources, Drop removes
// them.
type PartChange struct {
	Put       Resources          `json:"put"`
	Drop      ResourceNames      `json:"drop"`
	TakeOut   []AvailabilityZone `json:"takeOut,omitempty"`
	BringBack []AvailabilityZone `json:"bringBack,omitempty"`
}
