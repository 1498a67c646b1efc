package core

import "time"

// MaxNoteBytes is the largest value that the store holds.
const MaxNoteBytes = 1 << 20

// RequestClass tells the gatekeeper how to rank a request under pressure.
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

// ServiceSpec describes what each upstream of a service can bear.
type ServiceSpec struct {
	Name ServiceName `toml:"name" json:"name"`
	// Slots is the number of requests that a warm upstream runs at once, at least 1.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the most connections that an upstream accepts, at least Slots.
	Connections int `toml:"connections" json:"connections"`
	// ColdSlots is the limit at the beginning of a cold start, from 1 to Slots.
	ColdSlots int `toml:"coldSlots" json:"coldSlots"`
	// WarmUp is the least time from cold to the full number of slots.
	WarmUp Duration `toml:"warmUp" json:"warmUp"`
	// ReservedSlots are never used by bulk requests. Less than Slots.
	ReservedSlots int `toml:"reservedSlots" json:"reservedSlots"`
	// HomeRegions limits where the service lives; empty means everywhere.
	HomeRegions []Region `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
	// ColdRate is the number of requests that may reach an upstream within any second of a
	// cold start; 0 means that ColdSlots alone bounds it. Notes do not carry it.
	ColdRate float64 `toml:"-" json:"-"`
	// HealthPath answers whether the upstream is well. Notes do not carry it.
	HealthPath string `toml:"-" json:"-"`
}

// SplitSpec is one part of a route that is divided between services.
type SplitSpec struct {
	Service ServiceName
	// Weight is the share of the part relative to the other parts, at least 0.
	Weight int
}

// RouteSpec maps requests to a service.
type RouteSpec struct {
	Name RouteName `toml:"name" json:"name"`
	// Host is compared without port and in lower case.
	Host string `toml:"host" json:"host"`
	// PathPrefix begins with a slash and matches whole path segments.
	PathPrefix string `toml:"pathPrefix" json:"pathPrefix"`
	// Methods is not empty in a note; empty means any. No two routes have host, prefix, tenant
	// and a method in common.
	Methods []string `toml:"methods" json:"methods"`
	// Tenant restricts the route to requests of one tenant; empty means any.
	Tenant  TenantName   `toml:"tenant,omitempty" json:"tenant,omitempty"`
	Service ServiceName  `toml:"service" json:"service"`
	Class   RequestClass `toml:"class" json:"class"`
	// Idempotent allows another try after an answer was lost.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
	// Timeout bounds the whole request, tries included.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// HomeRegions is within the home regions of the service and of the tenant.
	HomeRegions []Region `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
	// Split divides the requests between services; Service is its first part then. Notes do
	// not carry it.
	Split []SplitSpec `toml:"-" json:"-"`
	// MaxAttempts bounds the upstreams that one request is sent to; 0 means no bound of the
	// route. Notes do not carry it.
	MaxAttempts int `toml:"-" json:"-"`
	// LatencyTarget is the time within which an answer is of full use to the caller; 0 means
	// Timeout. Notes do not carry it.
	LatencyTarget Duration `toml:"-" json:"-"`
	// IsStrict means that PathPrefix has to begin the path as it stands, closing slash included.
	// Notes do not carry it.
	IsStrict bool `toml:"-" json:"-"`
	// Priority ranks requests that wait for the same upstream, lower first; within a priority
	// Class decides. Notes do not carry it.
	Priority int `toml:"-" json:"-"`
}

// TenantSpec describes one tenant.
type TenantSpec struct {
	Name        TenantName `toml:"name" json:"name"`
	HomeRegions []Region   `toml:"homeRegions,omitempty" json:"homeRegions,omitempty"`
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
	// Against is the version that the operator looked at, less than Version.
	Against  Version       `toml:"against"`
	Comment  string        `toml:"comment"`
	Add      Resources     `toml:"add"`
	Change   Resources     `toml:"change"`
	Withdraw ResourceNames `toml:"withdraw"`
	// TakeOut and BringBack have no availability zone in common.
	TakeOut   []AvailabilityZone `toml:"takeOut"`
	BringBack []AvailabilityZone `toml:"bringBack"`
}

// Snapshot is the configuration at one version, whole or sliced for a region. It is
// immutable once published; readers share it without locks.
type Snapshot struct {
	Version Version
	// Revision orders snapshots of one version, such as before and after an availability zone
	// was taken out. It is 0 where each change has a version of its own.
	Revision uint64
	Hash     Hash
	// Region is the region that the snapshot was sliced for; empty means whole.
	Region   Region
	Regions  map[Region]RegionSpec
	Services map[ServiceName]ServiceSpec
	Routes   map[RouteName]RouteSpec
	Tenants  map[TenantName]TenantSpec
	Limits   map[string]LimitSpec
	// Out holds the availability zones that operators have taken out.
	Out map[AvailabilityZone]bool
	// Changed holds the version that last touched each resource, by "kind/name". It is
	// complete in whole snapshots only, where the fold needs it.
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

// RefusedNote tells why a note changed nothing.
type RefusedNote struct {
	Version Version `json:"version"`
	Kind    Kind    `json:"kind"`
	Reason  string  `json:"reason"`
}

// Slice is one note as passed between daemons: the parts that a region may see, and the
// digests of the others, so that the receiver can check the chain hash.
type Slice struct {
	Version      Version
	PreviousHash Hash
	// Hash is SHA-256 over PreviousHash, Version, Verdict and the region sets and digests
	// of all parts in order.
	Hash Hash
	// Verdict is empty for an accepted note, else the kind of its refusal.
	Verdict Kind
	Reason  string
	// Parts are sorted by their region sets. A refused note has none.
	Parts []Part
	// Received is the time at which the reader received the note.
	Received time.Time
}

// Part is the share of a note that one set of home regions may see.
type Part struct {
	// HomeRegions is sorted; empty means everywhere.
	HomeRegions []Region
	// Digest is SHA-256 over Contents.
	Digest Hash
	// Contents is the canonical encoding of a PartChange, nil where hidden.
	Contents []byte
}

// PartChange is what a part does to a snapshot: Put replaces or adds, Drop removes.
type PartChange struct {
	Put       Resources          `json:"put"`
	Drop      ResourceNames      `json:"drop"`
	TakeOut   []AvailabilityZone `json:"takeOut,omitempty"`
	BringBack []AvailabilityZone `json:"bringBack,omitempty"`
}
