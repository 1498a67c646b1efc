package core

import "time"

// HostState is what the platform's host list says of a host.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	// HostDead is never in the host list; daemons use it towards operators.
	HostDead HostState = "dead"
)

// Host is one entry of the host list.
type Host struct {
	Name             HostName         `json:"name"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone"`
	Region           Region           `json:"region"`
	Service          ServiceName      `json:"service"`
	// PeerAddress takes control messages between daemons.
	PeerAddress string `json:"peerAddress"`
	// GateAddress takes requests from the entries of other daemons.
	GateAddress string `json:"gateAddress"`
	// AdminAddress answers status and metrics.
	AdminAddress string    `json:"adminAddress"`
	State        HostState `json:"state"`
	// Instance identifies the process of the upstream where the platform tells it, so that
	// nothing known of a former process at the same address is used for the next one.
	Instance string `json:"instance,omitempty"`
}

// HostList is the platform's lagging list of hosts.
type HostList struct {
	// Revision grows with each change of the list.
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// MemberState is what the daemons found out about each other.
type MemberState int

// The member states. Between equal incarnations the higher state wins.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	MemberSuspect
	MemberDead
	MemberLeft
)

// MemberEvent is one change of a member's state as passed between daemons.
type MemberEvent struct {
	Host Host
	// Incarnation begins with the start time of the process in Unix milliseconds and is
	// raised only by the member itself.
	Incarnation uint64
	State       MemberState
	// EligibleAt is the time, in Unix milliseconds, from which on the member may own
	// idempotency keys. A key belongs to the members that were eligible at its creation.
	EligibleAt int64
	// LeavingAt is the time, in Unix milliseconds, at which a leaving member stops to own
	// new idempotency keys; 0 if it is not leaving.
	LeavingAt int64
}

// Digest summarises what a daemon has; every message between daemons carries one.
type Digest struct {
	Sender           HostName
	AvailabilityZone AvailabilityZone
	Region           Region
	Incarnation      uint64
	Version          Version
	Hash             Hash
	HostsRevision    uint64
	// MembersHash is equal on daemons with equal views of the members.
	MembersHash uint64
	// ReaderAge is the time since a reader of the sender's region last had contact with
	// the store, as far as the sender knows; negative if unknown.
	ReaderAge time.Duration
	// Ready is true once the sender has learned its floor.
	Ready bool
	Time  Timestamp
}

// ExchangeMessage is both request and answer of Exchange.
type ExchangeMessage struct {
	Digest Digest
	Events []MemberEvent
	// Probe marks the failure detector's exchanges, which count for the owner lease.
	Probe bool
}

// PushMessage carries slices down the tree of an availability zone.
type PushMessage struct {
	Digest Digest
	Slices []Slice
	// Subtree lists the members that the receiver passes the message on to.
	Subtree []HostName
}

// PullRequest asks for everything after a version.
type PullRequest struct {
	Digest Digest
	After  Version
	// Full asks for whole notes; granted only within a region.
	Full bool
}

// PullAnswer holds slices, or an encoded snapshot if the caller is far behind.
type PullAnswer struct {
	Digest Digest
	Slices []Slice
	// Snapshot is the zstd-compressed canonical encoding, empty if Slices suffice.
	Snapshot []byte
}

// ProbeForRequest asks the receiver to probe a third daemon.
type ProbeForRequest struct {
	Digest Digest
	Target Host
}

// ProbeForAnswer tells whether the third daemon answered.
type ProbeForAnswer struct {
	Digest       Digest
	Reached      bool
	TargetDigest Digest
}

// HostsRequest asks for the host list if it is newer than a revision.
type HostsRequest struct {
	Digest Digest
	After  uint64
}

// HostsAnswer is the difference from the revision After to Revision. Full means that Put is
// the whole list.
type HostsAnswer struct {
	Digest   Digest
	Revision uint64
	Full     bool
	Put      []Host
	Drop     []HostName
}
