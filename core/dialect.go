package core

import (
	"net/http"
	"time"
)

// Dialect reads and writes the headers that a platform's callers and upstreams use. Without a
// Dialect, the request path uses verbenaway's own headers.
type Dialect interface {
	// Timeout returns how long the caller waits; ok is false if the header does not say.
	Timeout(header http.Header) (timeout time.Duration, ok bool, err error)
	// RequestID returns the id of the request for logs.
	RequestID(header http.Header) string
	// NormalizeRequest turns the headers of a caller into those that the request is passed on
	// with.
	NormalizeRequest(header http.Header)
	// APIKey returns the API key of a request; ok is false if the request has none, or one in
	// another form than the platform's.
	APIKey(header http.Header) (key string, ok bool)
	// RemoveIdentity removes the API key of a caller, and the tenant that it claims to be, from the
	// headers that a request is passed on with.
	RemoveIdentity(header http.Header)
	// SetTenant sets the tenant of a request for an upstream.
	SetTenant(header http.Header, tenant TenantName)
	// SetUpstreamHeaders sets the headers that an upstream expects. The instance is
	// Host.Instance, and left the time to the deadline.
	SetUpstreamHeaders(header http.Header, instance string, left time.Duration)
	// ClassifyAnswer tells what the answer of an upstream means for the request.
	ClassifyAnswer(request http.Header, status int, answer http.Header) AnswerClass
	// UpstreamLoad returns the load that an upstream reports with an answer; ok is false if it reports
	// none.
	UpstreamLoad(answer http.Header) (load UpstreamLoad, ok bool)
	// UpstreamNotice returns what an upstream says of itself with an answer.
	UpstreamNotice(answer http.Header) UpstreamNotice
	// ColdRemaining returns how long an upstream stays cold, as it says in the answer to a health check; ok
	// is false if the answer is not that of the instance.
	ColdRemaining(instance string, answer http.Header) (remaining time.Duration, ok bool)
	// SetRefusalHeaders sets the headers of a refusal for the caller and returns its status.
	SetRefusalHeaders(header http.Header, refusal Refusal) (status int)
}

// AnswerClass tells what an upstream's answer means for the request.
type AnswerClass struct {
	// IsMismatched says that the answer does not belong to the request. The other fields but Detail
	// are then unset.
	IsMismatched bool
	// IsIdentified says that the answer names the request. Any other answer may be a late copy of one
	// to an earlier request on the connection.
	IsIdentified bool
	// IsNotRun says that the upstream has certainly not run the request; Kind says why.
	IsNotRun bool
	Kind     ErrorKind
	Detail   string
}

// MaxSlownessAge is the age at which a reported slowness no longer counts. Other programs on the host of
// an upstream come and go within fractions of a second.
const MaxSlownessAge = 500 * time.Millisecond

// UpstreamLoad is the load that an upstream reports.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the factor by which work takes longer on the upstream's host at this moment than
	// usual; 0 if the upstream does not report it.
	Slowness float64
}

// Refusal is an error answer of the daemon itself to a caller.
type Refusal struct {
	Kind      ErrorKind
	RequestID string
	// RetryAfter is the time after which the caller may retry, 0 if unknown.
	RetryAfter time.Duration
}

// RetryBudget limits the number of retries.
type RetryBudget interface {
	// CountRequest counts the first attempt of a request.
	CountRequest(now time.Time)
	// Take takes one retry from the budget and returns false if none is left.
	Take(now time.Time) bool
}

// DecisionKind is a kind of decision on a request.
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

// DecisionKinds lists all kinds of decisions.
var DecisionKinds = []DecisionKindInfo{
	{Kind: DecisionSent, Meaning: "The entry chose an upstream and sent the request to the gatekeeper of that upstream."},
	{Kind: DecisionSentBack, Meaning: "An attempt was refused or failed, and the entry looks for another upstream."},
	{Kind: DecisionRefused, Meaning: "The entry refused the request, which has not run."},
	{Kind: DecisionFailed, Meaning: "The entry answered that the request failed or that its outcome is unknown."},
	{Kind: DecisionAnswered, Meaning: "The entry passed the answer of an upstream on."},
	{Kind: DecisionCut, Meaning: "The answer was cut off, or the caller disconnected."},
	{Kind: DecisionAdmitted, Meaning: "The gatekeeper passed the request on to its upstream."},
	{Kind: DecisionDeclined, Meaning: "The gatekeeper got no answer from its upstream, or did not pass the request on."},
}

// Decision is one decision on a request, for logs.
type Decision struct {
	Kind      DecisionKind
	RequestID string
	Route     RouteName
	Service   ServiceName
	// Tenant is empty for requests without a tenant.
	Tenant TenantName
	// Sender is the host of the entry that sent the request to a gatekeeper, empty in decisions of the
	// entry.
	Sender HostName
	// Host is the host of the upstream concerned, empty if there is none.
	Host     HostName
	Instance string
	// Fingerprint is that of a request that was lost with its upstream, nil otherwise.
	Fingerprint *Fingerprint
	// Version and Revision are those of the configuration that was in force.
	Version  Version
	Revision uint64
	// Attempt counts from 1.
	Attempt int
	// InFlight and Limit are the load that the decision is based on, 0 if there is none.
	InFlight int
	Limit    int
	// Elapsed is the time since the process received the request, and Left the time to its
	// deadline.
	Elapsed time.Duration
	Left    time.Duration
	// Status is the status of the answer, 0 if there is none yet.
	Status     int
	Error      ErrorKind
	RetryAfter time.Duration
	Detail     string
}

// DecisionLog records decisions without blocking.
type DecisionLog interface {
	RecordDecision(decision Decision)
}
