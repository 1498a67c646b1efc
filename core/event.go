package core

import "time"

// Timestamp orders events across processes. It is the reading of a hybrid logical clock, which
// never goes back and stays ahead of every timestamp that the process has received.
type Timestamp struct {
	// Wall is in Unix milliseconds.
	Wall int64 `json:"wall"`
	// Logical counts events within one millisecond.
	Logical uint32 `json:"logical"`
}

// Before tells whether t is earlier than other.
func (t Timestamp) Before(other Timestamp) bool {
	if t.Wall != other.Wall {
		return t.Wall < other.Wall
	}
	return t.Logical < other.Logical
}

// Time returns the wall part.
func (t Timestamp) Time() time.Time {
	return time.UnixMilli(t.Wall)
}

// EventKind is a kind of event.
type EventKind string

// The event kinds; EventKinds describes them.
const (
	EventStarted            EventKind = "started"
	EventReady              EventKind = "ready"
	EventVersionSeen        EventKind = "versionSeen"
	EventVersionApplied     EventKind = "versionApplied"
	EventNoteRefused        EventKind = "noteRefused"
	EventHistoryRefused     EventKind = "historyRefused"
	EventMemberChanged      EventKind = "memberChanged"
	EventRoleTaken          EventKind = "roleTaken"
	EventRoleLeft           EventKind = "roleLeft"
	EventZoneOut            EventKind = "availabilityZoneOut"
	EventZoneBack           EventKind = "availabilityZoneBack"
	EventDrainBegun         EventKind = "drainBegun"
	EventDrainEnded         EventKind = "drainEnded"
	EventRampChanged        EventKind = "rampChanged"
	EventRequestRefused     EventKind = "requestRefused"
	EventViewSuspect        EventKind = "viewSuspect"
	EventViewConfirmed      EventKind = "viewConfirmed"
	EventStoreFailed        EventKind = "storeFailed"
	EventStoreRecovered     EventKind = "storeRecovered"
	EventStoreRestored      EventKind = "storeRestored"
	EventSourceFailed       EventKind = "sourceFailed"
	EventWatchSilent        EventKind = "watchSilent"
	EventValueRefused       EventKind = "valueRefused"
	EventSettingsRead       EventKind = "settingsRead"
	EventServerFailed       EventKind = "serverFailed"
	EventQuotaExceeded      EventKind = "quotaExceeded"
	EventUpstreamLimit      EventKind = "upstreamLimit"
	EventUpstreamLeaving    EventKind = "upstreamLeaving"
	EventUpstreamCrashed    EventKind = "upstreamCrashed"
	EventRequestQuarantined EventKind = "requestQuarantined"
	EventRequestCleared     EventKind = "requestCleared"
)

// EventKindInfo describes one event kind for help and reference pages.
type EventKindInfo struct {
	Kind    EventKind
	Meaning string
}

// EventKinds lists all event kinds.
var EventKinds = []EventKindInfo{
	{Kind: EventStarted, Meaning: "The daemon process started."},
	{Kind: EventReady, Meaning: "The daemon has learned and reached the lowest version that it may serve, and serves requests."},
	{Kind: EventVersionSeen, Meaning: "The daemon learned that there is a newer version."},
	{Kind: EventVersionApplied, Meaning: "The daemon put a version in force."},
	{Kind: EventNoteRefused, Meaning: "A note was refused; the configuration is unchanged."},
	{Kind: EventHistoryRefused, Meaning: "The store or a peer has an older or different history, which the daemon did not apply."},
	{Kind: EventMemberChanged, Meaning: "The state of a member changed in this daemon's view."},
	{Kind: EventRoleTaken, Meaning: "The daemon took a role, such as store reader."},
	{Kind: EventRoleLeft, Meaning: "The daemon gave up a role."},
	{Kind: EventZoneOut, Meaning: "An availability zone was taken out."},
	{Kind: EventZoneBack, Meaning: "An availability zone was brought back."},
	{Kind: EventDrainBegun, Meaning: "A planned stop began; new requests are refused."},
	{Kind: EventDrainEnded, Meaning: "The last request in flight ended during a planned stop."},
	{Kind: EventRampChanged, Meaning: "The concurrency limit of the upstream changed, for example at a cold start."},
	{Kind: EventRequestRefused, Meaning: "Requests were refused; one event per kind and second, with a count."},
	{Kind: EventViewSuspect, Meaning: "The process was paused, and its view of the configuration has to be confirmed."},
	{Kind: EventViewConfirmed, Meaning: "The view of the configuration was confirmed after a pause."},
	{Kind: EventStoreFailed, Meaning: "The store stopped answering this reader."},
	{Kind: EventStoreRecovered, Meaning: "The store answers this reader again."},
	{Kind: EventStoreRestored, Meaning: "The store was restored from a copy and may have lost its newest changes."},
	{Kind: EventSourceFailed, Meaning: "A daemon that this one follows gave no usable answer, and another one or the store is asked."},
	{Kind: EventWatchSilent, Meaning: "The watch of the store did not deliver a change that a read has shown, and the content is listed."},
	{Kind: EventValueRefused, Meaning: "A value of the store cannot be decoded and is not used."},
	{Kind: EventSettingsRead, Meaning: "The settings file was read again."},
	{Kind: EventServerFailed, Meaning: "The daemon no longer accepts connections on one of its addresses."},
	{Kind: EventQuotaExceeded, Meaning: "Requests of a tenant were refused because of its quota; at most one event per tenant and ten seconds."},
	{Kind: EventUpstreamLimit, Meaning: "The upstream named another limit on the requests that it takes, or none any more; at most one event a second."},
	{Kind: EventUpstreamLeaving, Meaning: "The upstream said in an answer that it leaves, and gets no new requests."},
	{Kind: EventUpstreamCrashed, Meaning: "The upstream ended while it ran requests."},
	{Kind: EventRequestQuarantined, Meaning: "A request has crashed several upstreams and is passed on to no further one."},
	{Kind: EventRequestCleared, Meaning: "A request that was lost with an upstream was answered by another one, or cleared by an operator."},
}

// Event is one entry of the timeline.
type Event struct {
	// Time is set by the journal.
	Time             Timestamp        `json:"time"`
	Host             HostName         `json:"host"`
	AvailabilityZone AvailabilityZone `json:"availabilityZone"`
	Kind             EventKind        `json:"kind"`
	// Version is the version concerned, 0 if none.
	Version Version `json:"version,omitempty"`
	// Revision is that of the platform's store at the change concerned, 0 if none.
	Revision uint64 `json:"revision,omitempty"`
	// Subject names what the event is about, such as a member, availability zone, role or error
	// kind.
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
