package proxy

import "net/http"

// The headers of verbenaway. Callers may set HeaderTenant, HeaderTimeout, HeaderDepth and
// HeaderIdempotencyKey; the others pass between daemons only and are removed at the entry.
const (
	HeaderTenant         = "Verbenaway-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time left, in whole milliseconds.
	HeaderTimeout = "Verbenaway-TimeoutMs"
	// HeaderDepth counts the calls on the way, 1 for a call from outside the mesh.
	HeaderDepth   = "Verbenaway-Depth"
	HeaderVersion = "Verbenaway-Version"
	HeaderRoute   = "Verbenaway-Route"
	// HeaderHomeRegions is a comma-separated list, absent if the request may go everywhere.
	HeaderHomeRegions = "Verbenaway-HomeRegions"
	// HeaderSender is the host name of the sending daemon.
	HeaderSender = "Verbenaway-Sender"
	// HeaderClaimed is set by the owner of an idempotency key on a request that it has claimed
	// and that another upstream is to run.
	HeaderClaimed = "Verbenaway-Claimed"
	// HeaderService is the service that the entry chose among the parts of a divided route.
	HeaderService = "Verbenaway-Service"
	// HeaderTarget is the time left until the latency target, in whole milliseconds.
	HeaderTarget = "Verbenaway-TargetMs"
	// HeaderNoWait asks for a refusal rather than a wait, because other upstreams have room.
	HeaderNoWait = "Verbenaway-NoWait"
	// HeaderArrived in a refusal says that the upstream got the request.
	HeaderArrived = "Verbenaway-Arrived"
	// HeaderRetryAfter in a refusal is when room is expected, in whole milliseconds.
	HeaderRetryAfter = "Verbenaway-RetryAfterMs"
	// HeaderLoad in an answer is "inFlight/limit" of the upstream that gave it. Where upstreams
	// register themselves, "/waitUs/holdUs/failedPermille" follows: the microseconds for which a
	// new request of the route would wait for a slot and hold it, and the share of the latest
	// requests that came to nothing.
	HeaderLoad = "Verbenaway-Load"
	// HeaderError in an answer is the error kind of a refusal.
	HeaderError = "Verbenaway-Error"
	// HeaderOutcome in a refusal is one of the outcomes below.
	HeaderOutcome = "Verbenaway-Outcome"
	// HeaderBootID in an answer of an upstream changes when the upstream process restarts.
	HeaderBootID = "Verbenaway-BootId"
	// HeaderShed in an answer of an upstream says that it refused the request unrun because
	// of its load.
	HeaderShed = "Verbenaway-Shed"
)

// The canonical forms of the headers, for direct access to a header map. Get and Set would
// convert the names each time.
var (
	keyArrived     = http.CanonicalHeaderKey(HeaderArrived)
	keyNoWait      = http.CanonicalHeaderKey(HeaderNoWait)
	keyRetryAfter  = http.CanonicalHeaderKey(HeaderRetryAfter)
	keyService     = http.CanonicalHeaderKey(HeaderService)
	keyTarget      = http.CanonicalHeaderKey(HeaderTarget)
	keyBootID      = http.CanonicalHeaderKey(HeaderBootID)
	keyClaimed     = http.CanonicalHeaderKey(HeaderClaimed)
	keyDepth       = http.CanonicalHeaderKey(HeaderDepth)
	keyError       = http.CanonicalHeaderKey(HeaderError)
	keyHomeRegions = http.CanonicalHeaderKey(HeaderHomeRegions)
	keyIdempotency = http.CanonicalHeaderKey(HeaderIdempotencyKey)
	keyLoad        = http.CanonicalHeaderKey(HeaderLoad)
	keyOutcome     = http.CanonicalHeaderKey(HeaderOutcome)
	keyRoute       = http.CanonicalHeaderKey(HeaderRoute)
	keySender      = http.CanonicalHeaderKey(HeaderSender)
	keyShed        = http.CanonicalHeaderKey(HeaderShed)
	keyTenant      = http.CanonicalHeaderKey(HeaderTenant)
	keyTimeout     = http.CanonicalHeaderKey(HeaderTimeout)
	keyVersion     = http.CanonicalHeaderKey(HeaderVersion)
)

// first returns the first value of a header by its canonical name.
func first(header http.Header, key string) string {
	if values := header[key]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// The outcomes that a refusal can report.
const (
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
	OutcomeDone    = "done"
)

// MaxDepth is the deepest chain of calls.
const MaxDepth = 8

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// daemonHeaders pass between daemons only; a caller that sends them is ignored.
var daemonHeaders = []string{
	HeaderVersion,
	HeaderRoute,
	HeaderHomeRegions,
	HeaderSender,
	HeaderClaimed,
	HeaderService,
	HeaderTarget,
	HeaderNoWait,
	HeaderArrived,
	HeaderRetryAfter,
}
