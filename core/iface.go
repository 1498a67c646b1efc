package core

import (
	"context"
	"time"
)

// Clock returns the time; tests inject their own.
type Clock interface {
	// Now includes a monotonic reading in production.
	Now() time.Time
}

// KeyValue is one value of the store.
type KeyValue struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Store is the read-only client of the platform's configuration store.
// Errors have the kinds StoreDown, StoreBusy, StoreTooLarge and StoreMalformed.
type Store interface {
	// Value returns one value; found is false if the key does not exist.
	Value(ctx context.Context, key string) (value []byte, found bool, err error)
	// Watch returns the values under notes/ with keys after the given one, or none after
	// the wait.
	Watch(ctx context.Context, after string, wait time.Duration) ([]KeyValue, error)
	// Hosts returns the host list as soon as its revision differs from after; ok is false if it
	// did not change during the wait.
	Hosts(ctx context.Context, after uint64, wait time.Duration) (list HostList, ok bool, err error)
}

// PeerClient sends control messages to one other daemon by address. Errors have the kinds
// PeerUnreachable and PeerMalformed.
type PeerClient interface {
	Exchange(ctx context.Context, address string, message ExchangeMessage) (ExchangeMessage, error)
	Push(ctx context.Context, address string, message PushMessage) (Digest, error)
	Pull(ctx context.Context, address string, request PullRequest) (PullAnswer, error)
	ProbeFor(ctx context.Context, address string, request ProbeForRequest) (ProbeForAnswer, error)
	Hosts(ctx context.Context, address string, request HostsRequest) (HostsAnswer, error)
}

// PeerServer answers control messages from other daemons.
type PeerServer interface {
	Exchange(ctx context.Context, message ExchangeMessage) (ExchangeMessage, error)
	Push(ctx context.Context, message PushMessage) (Digest, error)
	Pull(ctx context.Context, request PullRequest) (PullAnswer, error)
	ProbeFor(ctx context.Context, request ProbeForRequest) (ProbeForAnswer, error)
	Hosts(ctx context.Context, request HostsRequest) (HostsAnswer, error)
}

// ConfigView is the request path's access to the configuration in force.
type ConfigView interface {
	// Snapshot returns the configuration in force. It is nil while the daemon may not serve; the
	// kind then says why (Starting or SuspectView).
	Snapshot() (*Snapshot, ErrorKind)
	// ObserveVersion reports a version that came with a request or an answer of another daemon.
	ObserveVersion(host HostName, version Version)
}

// Member is one daemon as the request path sees it.
type Member struct {
	Host  Host
	State MemberState
	// Since is the local time at which State began.
	Since time.Time
	// EligibleAt and LeavingAt are those of MemberEvent.
	EligibleAt int64
	LeavingAt  int64
	// Slots is the number of slots that the upstream itself reports, 0 if it reports none.
	Slots int
	// StartedAt is the time of day at which the upstream says that it started, zero if it does not say.
	StartedAt time.Time
	// ColdUntil is the local time at which the cold start of the upstream ends, zero if none
	// is known.
	ColdUntil time.Time
}

// Departure is the end of a process that may have owned idempotency keys.
type Departure struct {
	Host HostName
	// At is the time from which on the process cannot have accepted newly created keys.
	At time.Time
	// IsPlanned says that the process itself announced At and accepts no key created at or
	// after it, so that no margin for clock differences is needed.
	IsPlanned bool
}

// MemberView is the request path's access to the known members.
type MemberView interface {
	// Self returns the host of this daemon as configured.
	Self() Host
	// ServiceMembers returns the members of a service whose state is neither dead nor left;
	// callers must not modify the result.
	ServiceMembers(service ServiceName) []Member
	// OwnerLease returns the time until which this daemon may act as key owner; a past
	// time means that it may not.
	OwnerLease() time.Time
	// Departures returns the departures of owners of a service in at least the last 10 minutes;
	// callers must not modify the result.
	Departures(service ServiceName) []Departure
}

// Journal records events for the timeline.
type Journal interface {
	Record(event Event)
}

// Service is a service of the daemon process, which the kernel starts and stops; it is not a
// service of the configuration. Services find each other by name in the kernel's registry.
type Service interface {
	// Name is unique in a registry.
	Name() string
	// Start returns once the service runs; it may look up services started before it.
	Start(ctx context.Context) error
	// Stop finishes what is in flight and returns when done or when ctx ends.
	Stop(ctx context.Context) error
}
