package spread

import (
	"time"

	"verbenaway/core"
)

// Input is one of the structs in this file, to be passed to Machine.Handle.
type Input interface{ input() }

// Tick signals that time has passed; the driver sends one every 200 ms.
type Tick struct{}

// MembersChanged replaces the view of the members.
type MembersChanged struct {
	// Members holds alive, leaving and suspect members; it may include the local host.
	Members []core.Member
}

// DigestReceived is the digest of a message that has no input of its own, such as a probe or
// an incoming exchange.
type DigestReceived struct {
	Digest core.Digest
}

// ExchangeResult is the outcome of SendExchange.
type ExchangeResult struct {
	Request SendExchange
	Digest  core.Digest
	Err     error
}

// PushReceived is a push from another daemon.
type PushReceived struct {
	Message core.PushMessage
}

// PushResult is the outcome of SendPush.
type PushResult struct {
	Request SendPush
	Digest  core.Digest
	Err     error
}

// PullResult is the outcome of SendPull.
type PullResult struct {
	Request SendPull
	Digest  core.Digest
	Slices  []core.Slice
	// Snapshot is the decoded snapshot, or nil if the answer had none.
	Snapshot *core.Snapshot
	Err      error
}

// HostsResult is the outcome of SendHosts.
type HostsResult struct {
	Request SendHosts
	Answer  core.HostsAnswer
	Err     error
}

// CheckpointResult is the outcome of ReadCheckpoint.
type CheckpointResult struct {
	Epoch uint64
	Value []byte
	Found bool
	Err   error
}

// NotesResult is the outcome of WatchNotes.
type NotesResult struct {
	Request WatchNotes
	Values  []core.KeyValue
	// Newest is the value of the note with version Request.After. It is read after the watch
	// has returned, and only if Request.Verify is set.
	Newest      []byte
	NewestFound bool
	// Started is the time at which the watch began.
	Started time.Time
	Err     error
}

// StoreHostsResult is the outcome of WatchHosts.
type StoreHostsResult struct {
	Request WatchHosts
	List    core.HostList
	// Changed is false if the watch ended without a change.
	Changed bool
	Err     error
}

// Resumed reports that the process was paused and runs again.
type Resumed struct{}

// VersionObserved reports a version from a request or response of another daemon.
type VersionObserved struct {
	Host    core.HostName
	Version core.Version
}

// LeaveAnnounced reports that this daemon has announced that it leaves.
type LeaveAnnounced struct{}

func (Tick) input()             {}
func (MembersChanged) input()   {}
func (DigestReceived) input()   {}
func (ExchangeResult) input()   {}
func (PushReceived) input()     {}
func (PushResult) input()       {}
func (PullResult) input()       {}
func (HostsResult) input()      {}
func (CheckpointResult) input() {}
func (NotesResult) input()      {}
func (StoreHostsResult) input() {}
func (Resumed) input()          {}
func (VersionObserved) input()  {}
func (LeaveAnnounced) input()   {}
