package core

import (
	"context"
	"time"
)

// Registry is a platform store that holds the newest configuration as one value and an entry
// for each upstream. Errors have the kinds StoreDown, StoreBusy, StoreMalformed, StoreTooLarge,
// StoreCompacted and StoreRestored.
type Registry interface {
	// List returns the whole content of the store. A key that is not in the answer and last
	// changed at or before the revision of the answer has been deleted. With mayBeStale the
	// answer may be seconds old, which costs the store less.
	List(ctx context.Context, mayBeStale bool) (RegistryAnswer, error)
	// Watch returns the changes after a revision in the order of their revisions, or none
	// after the wait. The revision is one of the current epoch of the store, whatever epoch the
	// caller has seen.
	Watch(ctx context.Context, after uint64, wait time.Duration) (RegistryAnswer, error)
	// Position returns the position of the store. With mayBeStale it may be seconds old, which
	// costs the store less. Both cost less than List.
	Position(ctx context.Context, mayBeStale bool) (StorePosition, error)
	// Decode decodes an item. The result for an invalid item has only the item itself.
	Decode(item RegistryItem) RegistryChange
}

// StorePosition is a position in the history of the store.
type StorePosition struct {
	// Epoch increases each time the store is restored from a copy, which loses the newest
	// changes. It is 0 if the store does not report it.
	Epoch uint64
	// Revision increases with each change of an epoch. Revisions of different epochs cannot be
	// compared: a restored store gives out again those that it has lost.
	Revision uint64
}

// IsAfter reports whether p is newer than other.
func (p StorePosition) IsAfter(other StorePosition) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch > other.Epoch
	}
	return p.Revision > other.Revision
}

// RegistryAnswer is the content of the store, or what changed in it.
type RegistryAnswer struct {
	// StorePosition is the position up to which the answer is complete.
	StorePosition
	Items []RegistryItem
}

// RegistryItem is one key as it was written or deleted.
type RegistryItem struct {
	Key string
	// Revision is that of the store at the change; it increases within an epoch of the store.
	Revision uint64
	IsDelete bool
	Value    []byte
}

// RegistryChange is a decoded item. At most one of Config, Zone and Upstream is set; none is set
// for a value that cannot be decoded.
type RegistryChange struct {
	RegistryItem
	// Config has only version, services, routes and tenants.
	Config *Snapshot
	// Zone is the availability zone that the key takes out.
	Zone AvailabilityZone
	// Upstream is immutable once returned.
	Upstream *UpstreamRecord
}

// FollowRequest asks another daemon for the content of the registry that it knows.
type FollowRequest struct {
	// After is the position that the sender has; Wait bounds how long the answer may be delayed
	// if there is nothing newer. An answer without wait has all that the daemon keeps from earlier
	// epochs.
	After StorePosition
	Wait  time.Duration
	// IsFull asks for the whole content without delay.
	IsFull bool
}

// FollowAnswer holds the changes that a daemon knows after a revision. Items that it keeps from
// earlier epochs, because they are newer than the copy from which the store was restored, follow
// the changes and have the revisions of the items in the copy that they replace.
type FollowAnswer struct {
	RegistryAnswer
	// ContactAge is the time since the last contact with the store itself, negative if there is
	// no current contact.
	ContactAge time.Duration
	// GapBefore is the revision before which the answer may lack keys that were created and deleted
	// since the requested position, 0 if it lacks none. A daemon that has only this answer cannot
	// tell others all changes since a position in between.
	GapBefore uint64
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

// GrantRequest asks another daemon for permits of a tenant.
type GrantRequest struct {
	Sender HostName
	Tenant TenantName
	// Want is the number of permits, 0 if only HasContact and MembersHash are asked for.
	Want int
}

// GrantAnswer holds the permits that a daemon hands out.
type GrantAnswer struct {
	// Granted is from 0 to the number wanted.
	Granted int
	// RetryAfter is the time after which a further permit may be available, 0 if unknown.
	RetryAfter time.Duration
	// IsInactive is set if the daemon grants no permits of the tenant now.
	IsInactive bool
	// HasContact is set if the daemon has contact with the store, by itself or another daemon.
	HasContact bool
	// MembersHash is equal on daemons that know the same daemons, 0 if permits were asked for.
	MembersHash uint64
}

// GrantClient asks other daemons for permits by address. Errors have the kinds PeerUnreachable and
// PeerMalformed.
type GrantClient interface {
	Grant(ctx context.Context, address string, request GrantRequest) (GrantAnswer, error)
}

// GrantServer answers requests of other daemons for permits.
type GrantServer interface {
	Grant(ctx context.Context, request GrantRequest) (GrantAnswer, error)
}

// UpstreamRecord is the registration of an upstream, written by the upstream itself.
type UpstreamRecord struct {
	// Host has the state HostLive or HostLeaving and an Instance.
	Host Host
	// StartedMs is the start time of the upstream in Unix milliseconds.
	StartedMs int64
	// Slots is at least 1.
	Slots int
	// Sequence increases with each record that the upstream has written since StartedMs, 0 if
	// unknown.
	Sequence int64
	// ColdRemaining is the time that was left of the cold start when the record was written.
	ColdRemaining time.Duration
}
