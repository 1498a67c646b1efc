package core

import (
	"context"
	"time"
)

// Registry is a platform store that holds the newest configuration as one value and an entry
// for each upstream. Errors have the kinds StoreDown, StoreBusy, StoreMalformed and
// StoreCompacted.
type Registry interface {
	// List returns the whole content of the store. A key that is not in the answer and last
	// changed at or before the revision of the answer has been deleted. With mayBeStale the
	// answer may be seconds old, which costs the store less.
	List(ctx context.Context, mayBeStale bool) (RegistryAnswer, error)
	// Watch returns the changes after a revision in the order of their revisions, or none
	// after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (RegistryAnswer, error)
	// Revision returns the revision of the store. With mayBeStale it may be seconds old, which
	// costs the store less. Both cost less than List.
	Revision(ctx context.Context, mayBeStale bool) (uint64, error)
	// Decode decodes an item. The result for an invalid item has only the item itself.
	Decode(item RegistryItem) RegistryChange
}

// RegistryAnswer is the content of the store, or what changed in it.
type RegistryAnswer struct {
	Items []RegistryItem
	// Revision is the revision up to which the answer is complete.
	Revision uint64
}

// RegistryItem is one key as it was written or deleted.
type RegistryItem struct {
	Key string
	// Revision is that of the store at the change; it only increases.
	Revision uint64
	IsDelete bool
	Value    []byte
}

// RegistryChange is a decoded item. At most one of Config, Zone and Upstream is set; none is set
// for a value that cannot be decoded.
type RegistryChange struct {
	RegistryItem
	// Config has only version, services and routes.
	Config *Snapshot
	// Zone is the availability zone that the key takes out.
	Zone AvailabilityZone
	// Upstream is immutable once returned.
	Upstream *UpstreamRecord
}

// FollowRequest asks another daemon for the content of the registry that it knows.
type FollowRequest struct {
	// After is the revision that the sender has; Wait bounds how long the answer may be delayed
	// if there is nothing newer.
	After uint64
	Wait  time.Duration
	// IsFull asks for the whole content without delay.
	IsFull bool
}

// FollowAnswer holds the changes that a daemon knows after a revision.
type FollowAnswer struct {
	RegistryAnswer
	// ContactAge is the time since the last contact with the store itself, negative if there is
	// no current contact.
	ContactAge time.Duration
}

// RelayClient sends follow requests to other daemons by address. Errors have the kinds
// PeerUnreachable, PeerMalformed and StoreCompacted.
type RelayClient interface {
	Follow(ctx context.Context, address string, request FollowRequest) (FollowAnswer, error)
}

// RelayServer answers follow requests of other daemons.
type RelayServer interface {
	Follow(ctx context.Context, request FollowRequest) (FollowAnswer, error)
}

// UpstreamRecord is the registration of an upstream, written by the upstream itself.
type UpstreamRecord struct {
	// Host has the state HostLive or HostLeaving and an Instance.
	Host Host
	// StartedMs is the start time of the upstream in Unix milliseconds.
	StartedMs int64
	// Slots is at least 1.
	Slots int
	// ColdRemaining is the time that was left of the cold start when the record was written.
	ColdRemaining time.Duration
}
