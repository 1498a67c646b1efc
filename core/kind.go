package core

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrorKind is an error kind.
type ErrorKind string

// The error kinds; ErrorKinds describes them.
const (
	BadRequest        ErrorKind = "badRequest"
	TooLarge          ErrorKind = "tooLarge"
	Unauthenticated   ErrorKind = "unauthenticated"
	NoRoute           ErrorKind = "noRoute"
	HomeRegion        ErrorKind = "homeRegion"
	DepthExceeded     ErrorKind = "depthExceeded"
	Limited           ErrorKind = "limited"
	Overloaded        ErrorKind = "overloaded"
	Displaced         ErrorKind = "displaced"
	Cold              ErrorKind = "cold"
	Leaving           ErrorKind = "leaving"
	ZoneOut           ErrorKind = "availabilityZoneOut"
	NoUpstream        ErrorKind = "noUpstream"
	Starting          ErrorKind = "starting"
	SuspectView       ErrorKind = "suspectView"
	Quarantined       ErrorKind = "quarantined"
	NotOwner          ErrorKind = "notOwner"
	DeadlineBeforeRun ErrorKind = "deadlineBeforeRun"
	DeadlineInRun     ErrorKind = "deadlineInRun"
	OutcomeUnknown    ErrorKind = "outcomeUnknown"
	UpstreamFailed    ErrorKind = "upstreamFailed"
	CanceledBeforeRun ErrorKind = "canceledBeforeRun"
	Canceled          ErrorKind = "canceled"
	ProtocolError     ErrorKind = "protocolError"
	Internal          ErrorKind = "internal"

	NoteSyntax    ErrorKind = "noteSyntax"
	NoteField     ErrorKind = "noteField"
	NoteSize      ErrorKind = "noteSize"
	NoteNumber    ErrorKind = "noteNumber"
	NoteConflict  ErrorKind = "noteConflict"
	NoteExists    ErrorKind = "noteExists"
	NoteOverlap   ErrorKind = "noteOverlap"
	NoteMissing   ErrorKind = "noteMissing"
	NoteReference ErrorKind = "noteReference"
	NoteRegion    ErrorKind = "noteRegion"

	StoreDown      ErrorKind = "storeDown"
	StoreBusy      ErrorKind = "storeBusy"
	StoreMalformed ErrorKind = "storeMalformed"
	StoreStale     ErrorKind = "storeStale"
	StoreTooLarge  ErrorKind = "storeTooLarge"
	StoreCompacted ErrorKind = "storeCompacted"
	StoreRestored  ErrorKind = "storeRestored"
	StoreFork      ErrorKind = "storeFork"

	PeerUnreachable ErrorKind = "peerUnreachable"
	PeerMalformed   ErrorKind = "peerMalformed"
	PeerFork        ErrorKind = "peerFork"

	SettingUnknown ErrorKind = "settingUnknown"
	SettingType    ErrorKind = "settingType"
	SettingRange   ErrorKind = "settingRange"
	Usage          ErrorKind = "usage"
)

// ErrorKindInfo describes one error kind and the answer that it leads to.
type ErrorKindInfo struct {
	Kind ErrorKind
	// Status is the HTTP status towards callers, 0 for kinds that callers never see.
	Status int
	// NotRun is true only if it is certain that no upstream has run the request.
	NotRun bool
	// Retry is true if another upstream or a later time may succeed.
	Retry bool
	// Meaning says what happened.
	Meaning string
	// Action says what the caller or operator can do.
	Action string
}

// ErrorKinds lists all error kinds.
var ErrorKinds = []ErrorKindInfo{
	{Kind: BadRequest, Status: http.StatusBadRequest, NotRun: true, Meaning: "The request is malformed.", Action: "Correct the request."},
	{Kind: TooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, NotRun: true, Meaning: "The headers are too large.", Action: "Send smaller headers."},
	{Kind: Unauthenticated, Status: http.StatusUnauthorized, NotRun: true, Meaning: "The request has no API key that the configuration in force knows, and its route is not open.", Action: "Send the key of a tenant, or add the key to its tenant."},
	{Kind: NoRoute, Status: http.StatusNotFound, NotRun: true, Meaning: "No route matches host, path, method and tenant.", Action: "Run verbenactl explain with the request."},
	{Kind: HomeRegion, Status: http.StatusForbidden, NotRun: true, Meaning: "The request may not be served in this region.", Action: "Send it to a daemon in one of its home regions."},
	{Kind: DepthExceeded, Status: http.StatusLoopDetected, NotRun: true, Meaning: "The chain of calls is longer than 8.", Action: "Look for a loop between services."},
	{Kind: Limited, Status: http.StatusTooManyRequests, NotRun: true, Meaning: "A limit of the route or tenant is reached.", Action: "Send it later, or raise the limit by a note."},
	{Kind: Overloaded, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "Every slot of the upstream is in use.", Action: "Send it later."},
	{Kind: Displaced, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The request waited for a slot, and more urgent ones came first.", Action: "Send it later."},
	{Kind: Cold, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The upstream is in a cold start and has no free slot.", Action: "Send it later."},
	{Kind: Leaving, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The upstream or daemon is leaving.", Action: "Use another daemon."},
	{Kind: ZoneOut, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The availability zone is taken out.", Action: "None: other availability zones serve the requests."},
	{Kind: NoUpstream, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "No upstream of the service can take the request.", Action: "See verbenactl status for the service's hosts."},
	{Kind: Starting, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The daemon has not yet learned the version in force.", Action: "Use another daemon, or send it later."},
	{Kind: SuspectView, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The daemon was paused or has lost contact with the store, and has not confirmed its view of the configuration yet; or no daemon has said whether the tenant is within its quota.", Action: "Use another daemon, or send it later."},
	{Kind: Quarantined, Status: http.StatusServiceUnavailable, NotRun: true, Meaning: "Upstreams have ended while they ran the same request, which is passed on to no further one.", Action: "Do not send it again; correct the upstream or the request."},
	{Kind: NotOwner, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The daemon may not act as owner of the idempotency key.", Action: "Send it again with the same key."},
	{Kind: DeadlineBeforeRun, Status: http.StatusGatewayTimeout, NotRun: true, Meaning: "The deadline passed before an upstream ran the request.", Action: "Send it again, or raise the timeout by a note."},
	{Kind: DeadlineInRun, Status: http.StatusGatewayTimeout, Meaning: "The deadline passed while an upstream was running the request.", Action: "Look up the outcome before sending it again."},
	{Kind: OutcomeUnknown, Status: http.StatusBadGateway, Meaning: "The request may or may not have run.", Action: "Look up the outcome before sending it again."},
	{Kind: UpstreamFailed, Status: http.StatusBadGateway, Meaning: "An idempotent request failed at each upstream that was tried.", Action: "Send it again."},
	{Kind: CanceledBeforeRun, Status: http.StatusServiceUnavailable, NotRun: true, Retry: true, Meaning: "The connection of the caller ended before an upstream ran the request.", Action: "Send it again."},
	{Kind: Canceled, Status: http.StatusBadGateway, Meaning: "The connection of the caller ended; the request may or may not have run.", Action: "Look up the outcome before sending it again."},
	{Kind: ProtocolError, Status: http.StatusBadRequest, NotRun: true, Meaning: "The HTTP server itself refused the bytes on a connection before they became a request; with status 400, 417, 431, 501 or 505.", Action: "Correct the request. After other requests on the connection, look for a body of the wrong length."},
	{Kind: Internal, Status: http.StatusInternalServerError, Meaning: "An internal error of verbenaway.", Action: "Report it with the log line."},

	{Kind: NoteSyntax, Meaning: "The note is not valid TOML.", Action: "Run verbenactl check on the file."},
	{Kind: NoteField, Meaning: "A field of the note is unknown, missing, of a wrong type or out of range.", Action: "Run verbenactl check on the file."},
	{Kind: NoteSize, Meaning: "The note is larger than 1 MB.", Action: "Split it into several notes."},
	{Kind: NoteNumber, Meaning: "The version differs from the key, or against is not below it.", Action: "Number the note after the newest version."},
	{Kind: NoteConflict, Meaning: "A resource that the note touches changed after the version it was written against.", Action: "Look at the newer note, then write yours against it."},
	{Kind: NoteExists, Meaning: "The note adds a resource that exists.", Action: "Use change instead of add."},
	{Kind: NoteOverlap, Meaning: "Two routes have host, prefix, tenant and a method in common, or an availability zone is in two regions.", Action: "Change one of the two resources."},
	{Kind: NoteMissing, Meaning: "The note changes or withdraws a resource that does not exist.", Action: "Check the name."},
	{Kind: NoteReference, Meaning: "A resource would refer to one that does not exist.", Action: "Add the missing resource, or withdraw both."},
	{Kind: NoteRegion, Meaning: "Home regions are not within those of the service or tenant, or do not exist.", Action: "Correct homeRegions."},

	{Kind: StoreDown, Meaning: "The store does not answer.", Action: "None: the configuration stays in force."},
	{Kind: StoreBusy, Meaning: "The store refuses reads above its rate limit.", Action: "None: readers back off."},
	{Kind: StoreMalformed, Meaning: "The answer of the store cannot be decoded.", Action: "Check the store."},
	{Kind: StoreStale, Meaning: "The content of the store is older than what is in force.", Action: "Restore the missing notes in the store."},
	{Kind: StoreTooLarge, Meaning: "The answer of the store is larger than a daemon reads.", Action: "None: the daemon reads the whole content of the store instead of the changes."},
	{Kind: StoreCompacted, Meaning: "The store no longer has the requested changes.", Action: "None: the daemon reads the whole content of the store."},
	{Kind: StoreRestored, Meaning: "The store was restored from a copy, and its revisions are those of another history.", Action: "None: the daemon reads the whole content of the store."},
	{Kind: StoreFork, Meaning: "The store has a different note under a number that is already in force.", Action: "Restore the original note in the store."},

	{Kind: PeerUnreachable, Meaning: "Another daemon does not answer.", Action: "None."},
	{Kind: PeerMalformed, Meaning: "A message of another daemon cannot be decoded or fails verification.", Action: "Check that all daemons run compatible releases."},
	{Kind: PeerFork, Meaning: "Another daemon has a different history of notes.", Action: "Restart the daemon with the wrong history."},

	{Kind: SettingUnknown, Meaning: "A settings file has an unknown key.", Action: "See the table of settings."},
	{Kind: SettingType, Meaning: "A setting has a wrong type.", Action: "See the table of settings."},
	{Kind: SettingRange, Meaning: "A setting is out of range.", Action: "See the table of settings."},
	{Kind: Usage, Meaning: "The command line is invalid.", Action: "See --help."},
}

var kindIndex = func() map[ErrorKind]ErrorKindInfo {
	index := make(map[ErrorKind]ErrorKindInfo, len(ErrorKinds))
	for _, info := range ErrorKinds {
		index[info.Kind] = info
	}
	return index
}()

// Info returns the entry of a kind in ErrorKinds, or that of Internal for an unknown kind.
func (k ErrorKind) Info() ErrorKindInfo {
	info, ok := kindIndex[k]
	if !ok {
		return kindIndex[Internal]
	}
	return info
}

// Error is an error with an error kind.
type Error struct {
	Kind   ErrorKind
	Detail string
}

// Error returns kind and detail on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Errorf returns an error of a kind; the detail says what was wrong and what is accepted.
func Errorf(kind ErrorKind, format string, args ...any) error {
	return errors.WithStackDepth(&Error{
		Kind:   kind,
		Detail: fmt.Sprintf(format, args...),
	}, 1)
}

// KindOf returns the kind of an error, Internal if it has none, and "" for nil.
func KindOf(err error) ErrorKind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
