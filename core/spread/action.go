package spread

import (
	"time"

	"verbenaway/core"
)

// Action is one of the structs in this file; the driver carries it out.
type Action interface{ action() }

// ExchangePurpose is the reason for a digest exchange.
type ExchangePurpose int

// PurposeAnnounce tells a child in the push tree that there is a newer version or host list.
const (
	PurposeAntiEntropy ExchangePurpose = iota
	PurposeStart
	PurposeConfirm
	PurposeReaderAge
	PurposeAnnounce
)

// SendExchange exchanges digests with a peer; answered by ExchangeResult.
type SendExchange struct {
	// To has only a PeerAddress if it is a seed.
	To      core.Host
	Purpose ExchangePurpose
	// Sent is the time of the action.
	Sent time.Time
	// Subtree lists the members below the receiver of an announcement.
	Subtree []core.HostName
}

// SendPush pushes slices to a peer; answered by PushResult. The driver sets the digest.
type SendPush struct {
	To      core.Host
	Slices  []core.Slice
	Subtree []core.HostName
}

// SendPull pulls the versions after After; answered by PullResult.
type SendPull struct {
	To    core.Host
	After core.Version
}

// SendHosts requests the host list from a peer that has a newer revision than AfterRevision;
// answered by HostsResult.
type SendHosts struct {
	To            core.Host
	AfterRevision uint64
}

// ReadCheckpoint reads the newest checkpoint; answered by CheckpointResult.
type ReadCheckpoint struct {
	Epoch uint64
}

// WatchNotes waits for notes with a higher version than After and then, if Verify is set,
// reads the note with version After; answered by NotesResult.
type WatchNotes struct {
	Epoch uint64
	After core.Version
	Wait  time.Duration
	// Delay is the time before the watch starts.
	Delay  time.Duration
	Verify bool
}

// WatchHosts waits for a change of the platform's host list since AfterRevision; answered by
// StoreHostsResult.
type WatchHosts struct {
	AfterRevision uint64
	Wait          time.Duration
}

// UpdateHosts passes a newer host list to the membership.
type UpdateHosts struct {
	List core.HostList
}

// Report records an event.
type Report struct {
	Kind    core.EventKind
	Version core.Version
	Subject string
	Detail  string
}

func (SendExchange) action()   {}
func (SendPush) action()       {}
func (SendPull) action()       {}
func (SendHosts) action()      {}
func (ReadCheckpoint) action() {}
func (WatchNotes) action()     {}
func (WatchHosts) action()     {}
func (UpdateHosts) action()    {}
func (Report) action()         {}
