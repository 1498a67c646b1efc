package core

import "time"

// HostState is the state of a host in the platform's host list.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	// HostDead is never in the host list; daemons report it to operators.
	HostDead HostState = "dead"
)

// Host is one entry of the host list.
type Host struct {
	Name             HostName         `json:"name"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone"`
	Region           Region           `json:"region"`
	Service          ServiceName      `json:"service"`
	// PeerAddress receives control messages of other daemons.
	PeerAddress string `json:"peerAddress"`
	// GateAddress receives requests from the entries of other daemons.
	GateAddress string `json:"gateAddress"`
	// AdminAddress serves status and metrics.
	AdminAddress string    `json:"adminAddress"`
	State        HostState `json:"state"`
	// Instance identifies the process of the upstream if the platform provides it, so that what
	// is known of a process is not applied to the next one at the same address.
	Instance string `json:"instance,omitempty"`
}

// HostList is the platform's list of hosts, which lags behind the real state.
type HostList struct {
	// Revision grows with each change of the list, also when the store was restored from a copy.
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// MemberState is the state of a daemon as the daemons' failure detector sees it.
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
	// idempotency keys. A key belongs to one of the members that were eligible at its
	// creation.
	EligibleAt int64
	// LeavingAt is the time, in Unix milliseconds, from which on a leaving member owns no new
	// idempotency keys; 0 if it is not leaving.
	LeavingAt int64
}

// Digest summarises the state of a daemon; every message between daemons carries one.
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
	// Ready is true once the sender has learned and reached the lowest version that it may
	// serve.
	Ready bool
	Time  Timestamp
}

// ExchangeMessage is both request and answer of Exchange.
type ExchangeMessage struct {
	Digest Digest
	Events []MemberEvent
	// Probe marks the exchanges of the failure detector, which extend the owner lease.
	Probe bool
}

// PushMessage passes slices down the distribution tree of an availability zone.
type PushMessage struct {
	Digest Digest
	Slices []Slice
	// Subtree lists the members that the receiver passes the message on to.
	Subtree []HostName
}

// PullRequest asks for the notes after a version.
type PullRequest struct {
	Digest Digest
	After  Version
	// Full asks for complete notes, which are sent only within a region.
	Full bool
}

// PullAnswer holds slices, or an encoded snapshot if the sender of the request is far behind.
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

// HostsAnswer holds the changes of the host list from the requested revision to Revision. Full
// means that Put is the whole list.
type HostsAnswer struct {
	Digest   Digest
	Revision uint64
	Full     bool
	Put      []Host
	Drop     []HostName
}
