package core

import (
	"context"
	"time"
)

// Registry is a platform store that holds the newest configuration as one whole value and an
// entry for each upstream. Errors have the kinds StoreDown, StoreBusy, StoreMalformed and
// StoreCompacted.
type Registry interface {
	// List returns everything that the store holds. A key that the answer lacks and that last
	// changed at or before its revision is deleted. A stale answer may be seconds old; it costs
	// less.
	List(ctx context.Context, mayBeStale bool) (RegistryAnswer, error)
	// Watch returns the changes after a revision in the order of their revisions, or none
	// after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (RegistryAnswer, error)
	// Revision returns the revision of the store as of a cheap read that may be seconds old.
	Revision(ctx context.Context) (uint64, error)
	// Decode reads an item. One that cannot be read names nothing.
	Decode(item RegistryItem) RegistryChange
}

// RegistryAnswer is the content of the store, or what changed in it.
type RegistryAnswer struct {
	Items []RegistryItem
	// Revision is the one up to which the answer is complete.
	Revision uint64
}

// RegistryItem is one key as it was written or deleted.
type RegistryItem struct {
	Key string
	// Revision is that of the store at the change; it only rises.
	Revision uint64
	IsDelete bool
	Value    []byte
}

// RegistryChange is what an item means. At most one of Config, Zone and Upstream is set; none
// is set for a value that cannot be read.
type RegistryChange struct {
	RegistryItem
	// Config has version, services and routes only.
	Config *Snapshot
	// Zone is the availability zone that the key takes out.
	Zone AvailabilityZone
	// Upstream is not changed after it was returned.
	Upstream *UpstreamRecord
}

// FollowRequest asks another daemon for what it knows of the registry.
type FollowRequest struct {
	// After is the revision that the sender has; Wait is how long the answer may take if
	// there is nothing newer.
	After uint64
	Wait  time.Duration
	// IsWhole asks for everything, at once.
	IsWhole bool
}

// FollowAnswer is what a daemon knows after a revision.
type FollowAnswer struct {
	RegistryAnswer
	// ContactAge is the time since the store itself was heard.
	ContactAge time.Duration
}

// RelayClient asks other daemons by address. Errors have the kinds PeerUnreachable,
// PeerMalformed and StoreCompacted.
type RelayClient interface {
	Follow(ctx context.Context, address string, request FollowRequest) (FollowAnswer, error)
}

// RelayServer answers other daemons.
type RelayServer interface {
	Follow(ctx context.Context, request FollowRequest) (FollowAnswer, error)
}

// UpstreamRecord is what an upstream says of itself.
type UpstreamRecord struct {
	// Host has the state HostLive or HostLeaving and an Instance.
	Host Host
	// Born is the time of the start of the upstream in Unix milliseconds.
	Born int64
	// Slots is at least 1.
	Slots int
	// ColdFor is how long the cold start lasted when the record was written.
	ColdFor time.Duration
}
