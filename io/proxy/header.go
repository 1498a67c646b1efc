package proxy

import "net/http"

// The headers of verbenaway. Callers may set HeaderTenant, HeaderTimeout, HeaderDepth and
// HeaderIdempotencyKey; the entry removes the others from their requests.
const (
	HeaderTenant         = "Verbenaway-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time left until the deadline, in whole milliseconds.
	HeaderTimeout = "Verbenaway-TimeoutMs"
	// HeaderDepth is the length of the chain of calls, 1 for a call from outside the mesh.
	HeaderDepth = "Verbenaway-Depth"
	// HeaderVersion is the version of the configuration that the sender uses.
	HeaderVersion = "Verbenaway-Version"
	HeaderRoute   = "Verbenaway-Route"
	// HeaderHomeRegions is a comma-separated list. It is absent if the request may run in any
	// region.
	HeaderHomeRegions = "Verbenaway-HomeRegions"
	// HeaderSender is the host name of the sending daemon.
	HeaderSender = "Verbenaway-Sender"
	// HeaderClaimed is set by the owner of an idempotency key on a request whose key it has
	// claimed and which it delegates to another upstream.
	HeaderClaimed = "Verbenaway-Claimed"
	// HeaderService is the service of the route, or the one chosen by its traffic split.
	HeaderService = "Verbenaway-Service"
	// HeaderTarget is the time left until the latency target, in whole milliseconds.
	HeaderTarget = "Verbenaway-TargetMs"
	// HeaderNoWait asks for a refusal rather than queueing, because other upstreams seem to
	// have free slots.
	HeaderNoWait = "Verbenaway-NoWait"
	// HeaderArrived in a refusal says that the upstream may have received the request.
	HeaderArrived = "Verbenaway-Arrived"
	// HeaderRetryAfter in a refusal is the time until a free slot is expected, in whole
	// milliseconds.
	HeaderRetryAfter = "Verbenaway-RetryAfterMs"
	// HeaderProbe asks a gatekeeper whether its upstream is responsive, instead of a request.
	HeaderProbe = "Verbenaway-Probe"
	// HeaderCloses is the time until the sender closes the connections of its callers because it is
	// leaving, in whole milliseconds. An answer is of no use to it afterwards. Together with HeaderProbe,
	// it holds for all queued requests of the sender.
	HeaderCloses = "Verbenaway-ClosesMs"
	// HeaderRateLimit in an answer of an upstream is the number of requests a second that it takes from
	// all hosts together, as a decimal number. In a request it is what the process that HeaderInstance
	// names said in an answer to the sender. In an answer of a gatekeeper HeaderInstance names the process
	// that has sent it.
	HeaderRateLimit = "Verbenaway-RateLimit"
	HeaderInstance  = "Verbenaway-Instance"
	// HeaderSuspect is the fingerprint of a request, in hexadecimal digits. It says that upstreams have ended
	// while they ran such a request.
	HeaderSuspect = "Verbenaway-Suspect"
	// HeaderCrashed in a refusal names the process that ended while it ran the request.
	HeaderCrashed = "Verbenaway-Crashed"
	// HeaderLoad in an answer is "inFlight/limit" of the upstream that sent it. Where upstreams
	// register themselves, "/queueUs/serviceUs/failedPermille" follows: the expected queue time
	// and service time of a new request of the route, in microseconds, and the failure ratio of
	// the latest requests. There are never more numbers: earlier releases drop a longer report.
	HeaderLoad = "Verbenaway-Load"
	// HeaderHostLoad in an answer is "slownessPercent/linkBytesPerSecond/linkUs": how long work takes
	// at this moment compared with the service time, the speed of the host's link and the time that an
	// answer would wait for it. 0 means unknown. Further numbers are ignored.
	HeaderHostLoad = "Verbenaway-HostLoad"
	// HeaderError in an answer is the error kind of a refusal.
	HeaderError = "Verbenaway-Error"
	// HeaderOutcome in a refusal is one of the outcomes below.
	HeaderOutcome = "Verbenaway-Outcome"
	// HeaderBootID in an answer of an upstream changes when the upstream process restarts.
	HeaderBootID = "Verbenaway-BootId"
	// HeaderShed in an answer of an upstream says that it refused the request because of its
	// load, without running it.
	HeaderShed = "Verbenaway-Shed"
)

// The canonical names of the headers, for direct access to a header map; Get and Set would
// canonicalize them each time.
var (
	keyArrived     = http.CanonicalHeaderKey(HeaderArrived)
	keyProbe       = http.CanonicalHeaderKey(HeaderProbe)
	keyNoWait      = http.CanonicalHeaderKey(HeaderNoWait)
	keyRetryAfter  = http.CanonicalHeaderKey(HeaderRetryAfter)
	keyService     = http.CanonicalHeaderKey(HeaderService)
	keyTarget      = http.CanonicalHeaderKey(HeaderTarget)
	keyBootID      = http.CanonicalHeaderKey(HeaderBootID)
	keyCloses      = http.CanonicalHeaderKey(HeaderCloses)
	keyClaimed     = http.CanonicalHeaderKey(HeaderClaimed)
	keyCrashed     = http.CanonicalHeaderKey(HeaderCrashed)
	keySuspect     = http.CanonicalHeaderKey(HeaderSuspect)
	keyDepth       = http.CanonicalHeaderKey(HeaderDepth)
	keyError       = http.CanonicalHeaderKey(HeaderError)
	keyHomeRegions = http.CanonicalHeaderKey(HeaderHomeRegions)
	keyInstance    = http.CanonicalHeaderKey(HeaderInstance)
	keyRateLimit   = http.CanonicalHeaderKey(HeaderRateLimit)
	keyIdempotency = http.CanonicalHeaderKey(HeaderIdempotencyKey)
	keyHostLoad    = http.CanonicalHeaderKey(HeaderHostLoad)
	keyLoad        = http.CanonicalHeaderKey(HeaderLoad)
	keyOutcome     = http.CanonicalHeaderKey(HeaderOutcome)
	keyRoute       = http.CanonicalHeaderKey(HeaderRoute)
	keySender      = http.CanonicalHeaderKey(HeaderSender)
	keyShed        = http.CanonicalHeaderKey(HeaderShed)
	keyTenant      = http.CanonicalHeaderKey(HeaderTenant)
	keyTimeout     = http.CanonicalHeaderKey(HeaderTimeout)
	keyVersion     = http.CanonicalHeaderKey(HeaderVersion)
)

// firstValue returns the first value of a header by its canonical name, or "".
func firstValue(header http.Header, key string) string {
	if values := header[key]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// The values of HeaderOutcome.
const (
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
	OutcomeDone    = "done"
)

// MaxDepth limits the length of a chain of calls.
const MaxDepth = 8

// hopByHopHeaders apply to one connection only and are never forwarded.
var hopByHopHeaders = []string{
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

// daemonHeaders are used between daemons only. The entry removes them from the requests of
// callers.
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
	HeaderProbe,
	HeaderCloses,
	HeaderRateLimit,
	HeaderInstance,
	HeaderCrashed,
	HeaderSuspect,
	HeaderHostLoad,
}
