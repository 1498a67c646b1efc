package core

import (
	"net/http"
	"time"
)

// Dialect is how the callers and upstreams of a platform write in headers what the request
// path needs. Without one the headers of verbenaway itself hold.
type Dialect interface {
	// Timeout returns how long the caller waits; ok is false if it does not say.
	Timeout(header http.Header) (timeout time.Duration, ok bool, err error)
	// RequestID returns what identifies the request in logs.
	RequestID(header http.Header) string
	// Receive turns the headers of a caller into those that the request has on its way.
	Receive(header http.Header)
	// Ask sets the headers that an upstream expects. The instance is that of Host.
	Ask(header http.Header, instance string, left time.Duration)
	// Examine tells what the answer of an upstream to a request means.
	Examine(request http.Header, status int, answer http.Header) Examination
	// Refuse sets the headers of a refusal for the caller and returns its status.
	Refuse(header http.Header, refusal Refusal) (status int)
}

// Examination is the meaning of an upstream's answer.
type Examination struct {
	// IsForeign says that the answer cannot be that of the request.
	IsForeign bool
	// IsNotRun says that the upstream certainly has not run the request; Kind says why.
	IsNotRun bool
	Kind     Kind
	Detail   string
}

// Refusal is an answer of the daemon itself to a caller.
type Refusal struct {
	Kind      Kind
	RequestID string
	// RetryAfter is when the caller may come back, 0 if unknown.
	RetryAfter time.Duration
}

// RetryBudget bounds how often requests are sent again.
type RetryBudget interface {
	// Request counts a request that is sent for the first time.
	Request(now time.Time)
	// Take uses up one repeat if there is one.
	Take(now time.Time) bool
}

// DecisionKind is one of the closed list of decisions on a request.
type DecisionKind string

// The kinds of decisions; DecisionKinds describes them.
const (
	DecisionSent     DecisionKind = "sent"
	DecisionSentBack DecisionKind = "sentBack"
	DecisionRefused  DecisionKind = "refused"
	DecisionFailed   DecisionKind = "failed"
	DecisionAnswered DecisionKind = "answered"
	DecisionCut      DecisionKind = "cut"
	DecisionAdmitted DecisionKind = "admitted"
	DecisionDeclined DecisionKind = "declined"
)

// DecisionKindInfo describes one kind of decision for reference pages.
type DecisionKindInfo struct {
	Kind    DecisionKind
	Meaning string
}

// DecisionKinds is the closed list of decisions.
var DecisionKinds = []DecisionKindInfo{
	{Kind: DecisionSent, Meaning: "The entry chose an upstream and sent the request to the gatekeeper beside it."},
	{Kind: DecisionSentBack, Meaning: "An attempt came to nothing and the entry looks for another upstream."},
	{Kind: DecisionRefused, Meaning: "The entry answered that the request has not run."},
	{Kind: DecisionFailed, Meaning: "The entry answered that the request failed or that its outcome is unknown."},
	{Kind: DecisionAnswered, Meaning: "The entry passed the answer of an upstream on."},
	{Kind: DecisionCut, Meaning: "The answer broke off, or the caller went away."},
	{Kind: DecisionAdmitted, Meaning: "The gatekeeper passed the request on to its upstream."},
	{Kind: DecisionDeclined, Meaning: "The gatekeeper did not get an answer from its upstream, or did not ask it."},
}

// Decision is one decision on a request, for logs.
type Decision struct {
	Kind      DecisionKind
	RequestID string
	Route     RouteName
	Service   ServiceName
	// Host is the upstream concerned, empty if there is none.
	Host     HostName
	Instance string
	// Version and Revision are those of the configuration that decided.
	Version  Version
	Revision uint64
	// Attempt counts from 1.
	Attempt int
	// InFlight and Limit are the load that decided, 0 if none did.
	InFlight int
	Limit    int
	// Elapsed is the time since the process got the request; Left is that to its deadline.
	Elapsed time.Duration
	Left    time.Duration
	// Status is the status of the answer, 0 if there is none yet.
	Status     int
	Error      Kind
	RetryAfter time.Duration
	Detail     string
}

// DecisionLog takes decisions. Its method does not block.
type DecisionLog interface {
	Decide(decision Decision)
}
