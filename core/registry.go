package core

import (
	"context"
	"time"
)

// Registry is a platform store that holds the newest configuration as one whole value and an
// entry for each upstream. Errors have the kinds StoreDown, StoreBusy, StoreMalformed and
// StoreCompacted.
type Registry interface {
	// List returns everything that the store holds.
	List(ctx context.Context) (RegistryListing, error)
	// Revision returns the revision of the store as of a cheap read that may be seconds old.
	Revision(ctx context.Context) (uint64, error)
	// Watch returns the changes after a revision, or none after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (RegistryChanges, error)
}

// RegistryListing is the whole content of the store.
type RegistryListing struct {
	Changes []RegistryChange
	// Revision is one at which the listing was complete: a key that it lacks and that last
	// changed at or before it is deleted.
	Revision uint64
}

// RegistryChanges are changes in the order of their revisions.
type RegistryChanges struct {
	Changes []RegistryChange
	// Revision is the one after which the next watch continues.
	Revision uint64
}

// RegistryChange is one key as it was written or deleted. At most one of Config, Zone and
// Upstream is set; none is set for a value that cannot be read.
type RegistryChange struct {
	Key string
	// Revision is that of the store at the change; it only rises.
	Revision uint64
	IsDelete bool
	// Config has version, services and routes only.
	Config *Snapshot
	// Zone is the availability zone that the key takes out.
	Zone AvailabilityZone
	// Upstream is not changed after it was returned.
	Upstream *UpstreamRecord
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
