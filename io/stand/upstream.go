package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaway/core"
	"verbenaway/io/proxy"
)

// The distributions of the service time.
const (
	DistributionFixed       = "fixed"
	DistributionUniform     = "uniform"
	DistributionExponential = "exponential"
)

const (
	maxServiceTime = time.Minute
	statusCanceled = 499
)

// UpstreamConfig configures an upstream stand-in.
type UpstreamConfig struct {
	// Clock is the system clock by default.
	Clock            core.Clock
	Host             core.HostName
	AvailabilityZone core.AvailabilityZone
	Service          core.ServiceName
	// Slots is the number of concurrent requests when warm; 18 by default.
	Slots int
	// Connections is the maximum number of connections; 0 means no limit.
	Connections int
	// ConnectionCost delays the first request on each connection.
	ConnectionCost time.Duration
	// ColdSlots is the number of concurrent requests in cold start; Slots by default. A cold
	// start takes ColdFor.
	ColdSlots int
	ColdFor   time.Duration
	// StartWarm skips the first cold start.
	StartWarm bool
	// ColdTolerance is the number of requests that the upstream sheds within a second of cold
	// start before it fails; Slots by default, since as many may be underway when the cold
	// start begins.
	ColdTolerance int
	// ServiceTime is the mean service time, Distribution one of the constants above.
	ServiceTime  time.Duration
	Distribution string
	// BodyBytes is the length of answers to requests without the parameter bytes; 256 by default.
	BodyBytes int64
	Seed      uint64
	// CallURL is the base URL of the daemon for calls to other services. CallHost and CallPath
	// are the HTTP host and path of such a call.
	CallURL  string
	CallHost string
	CallPath string
}

// Upstream is a stand-in for one instance of a service. It answers every path. The query parameters
// bytes, serviceMs and calls set the length of the answer, the service time and the length of the
// chain of calls to other services.
type Upstream struct {
	config UpstreamConfig
	clock  core.Clock
	mux    *http.ServeMux
	client *http.Client

	mu                 sync.Mutex
	random             *rand.Rand
	capacity           capacity
	runs               runCounter
	faults             UpstreamFaults
	faultsChanged      chan struct{} // closed and replaced when the faults change
	arrivals           int64
	restarts           int
	refusedConnections map[net.Conn]bool
	unusedConnections  map[string]bool // connections without a request, by remote address
}

// NewUpstream returns an upstream, which begins with a cold start unless StartWarm is set.
func NewUpstream(config UpstreamConfig) *Upstream {
	config = withDefaults(config)
	u := &Upstream{
		config: config,
		clock:  config.Clock,
		mux:    http.NewServeMux(),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: config.Slots,
			},
		},
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		capacity: capacity{
			slots:     config.Slots,
			coldSlots: config.ColdSlots,
			coldFor:   config.ColdFor,
			tolerance: config.ColdTolerance,
		},
		runs:               newRunCounter(),
		faultsChanged:      make(chan struct{}),
		refusedConnections: map[net.Conn]bool{},
		unusedConnections:  map[string]bool{},
	}
	if !config.StartWarm {
		u.capacity.startCold(u.clock.Now())
	}
	u.mux.HandleFunc("/", u.serve)
	u.mux.HandleFunc("GET /health", u.health)
	u.mux.HandleFunc("GET /control/runs", u.getRuns)
	u.mux.HandleFunc("POST /control/runs/reset", u.resetRuns)
	u.mux.HandleFunc("POST /control/faults", u.postFaults)
	return u
}

func withDefaults(config UpstreamConfig) UpstreamConfig {
	if config.Clock == nil {
		config.Clock = systemClock{}
	}
	if config.Slots == 0 {
		config.Slots = 18
	}
	if config.ColdSlots == 0 {
		config.ColdSlots = config.Slots
	}
	if config.ColdTolerance == 0 {
		config.ColdTolerance = config.Slots
	}
	if config.BodyBytes == 0 {
		config.BodyBytes = 256
	}
	return config
}

// ServeHTTP serves requests and the control calls of the stand-in.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mux.ServeHTTP(w, r)
}

// Close closes the idle connections to the daemon at CallURL.
func (u *Upstream) Close() {
	u.client.CloseIdleConnections()
}

// Runs returns the counts, with ByID if byID is set.
func (u *Upstream) Runs(byID bool) Runs {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs.snapshot(byID)
}

// ResetRuns clears all counts except those of requests in flight and open connections.
func (u *Upstream) ResetRuns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs.reset()
}

// runParams are the parameters of one run.
type runParams struct {
	id          string // request id
	bytes       int64
	calls       int
	serviceTime time.Duration // negative until begin draws it, if the request does not set it
	faults      UpstreamFaults
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.delayFirstRequest(r)
	params, err := u.parseParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch u.begin(r, &params) {
	case shed:
		u.refuse(w)
		return
	case overload:
		// A process that crashes under load resets its connections without an answer.
		resetConnection(w)
		return
	case run:
	}
	defer u.end()
	ctx, cancel := withRequestTimeout(r)
	defer cancel()
	u.run(w, r.WithContext(ctx), params)
}

func (u *Upstream) parseParams(r *http.Request) (runParams, error) {
	query := r.URL.Query()
	params := runParams{
		id:    r.Header.Get(HeaderRequestID),
		bytes: u.config.BodyBytes,
	}
	parseNumber := func(name string, fallback int64) (int64, error) {
		text := query.Get(name)
		if text == "" {
			return fallback, nil
		}
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value < 0 {
			return 0, fmt.Errorf("parameter %s must be a number of at least 0, not %q", name, text)
		}
		return value, nil
	}
	var err error
	if params.bytes, err = parseNumber("bytes", u.config.BodyBytes); err != nil {
		return params, err
	}
	calls, err := parseNumber("calls", 0)
	if err != nil {
		return params, err
	}
	params.calls = int(calls)
	ms, err := parseNumber("serviceMs", -1)
	params.serviceTime = min(time.Duration(ms)*time.Millisecond, maxServiceTime)
	return params, err
}

// begin decides whether a request runs, counts it, and sets its faults and service time.
func (u *Upstream) begin(r *http.Request, params *runParams) decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	params.faults = u.nextFaults()
	if params.serviceTime < 0 {
		params.serviceTime = u.drawServiceTime()
	}
	params.serviceTime += time.Duration(params.faults.Delay)
	decided := shed
	if !params.faults.Drain && !params.faults.Shed {
		decided = u.capacity.decide(u.runs.counts.InFlight, now)
	}
	switch decided {
	case run:
		u.runs.begin(runID(r, params.id), isNonIdempotent(r), now)
	case shed:
		u.runs.counts.Shed++
		if u.capacity.isCold(now) {
			u.runs.counts.ColdShed++
		}
	case overload:
		u.runs.counts.ColdOverloads++
		u.restarts++
		u.capacity.startCold(now)
	}
	return decided
}

// runID returns the id that all repetitions of a request share.
func runID(r *http.Request, id string) string {
	if key := r.Header.Get(proxy.HeaderIdempotencyKey); key != "" {
		return key
	}
	return id
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs.counts.InFlight--
}

// run runs a request and answers it.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request, params runParams) {
	uploaded, checksum, err := checksumOf(r.Body)
	if err != nil || !sleep(r.Context(), params.serviceTime) || (params.faults.Hang && !u.hang(r.Context())) {
		u.answerCanceled(w)
		return
	}
	if err := u.callNext(r, params); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if params.faults.ResetBefore {
		resetConnection(w)
		return
	}
	header := w.Header()
	u.setIdentity(header)
	header.Set(HeaderRequestID, params.id)
	header.Set(HeaderChecksum, Checksum(params.id, params.bytes))
	header.Set(HeaderBodyBytes, strconv.FormatInt(params.bytes, 10))
	header.Set(HeaderUploadChecksum, checksum)
	header.Set(HeaderUploadBytes, strconv.FormatInt(uploaded, 10))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.FormatInt(params.bytes, 10))
	u.sendBody(w, r, params)
}

// sendBody sends the body in two halves and applies faults between them.
func (u *Upstream) sendBody(w http.ResponseWriter, r *http.Request, params runParams) {
	body := NewBody(params.id, params.bytes)
	_, _ = body.cutFirst(params.bytes / 2).WriteTo(w)
	faults := params.faults
	if faults.ResetAfter || faults.Cut || faults.SlowBody > 0 {
		_ = http.NewResponseController(w).Flush()
	}
	switch {
	case faults.ResetAfter:
		resetConnection(w)
		return
	case faults.Cut:
		closeConnection(w)
		return
	case faults.SlowBody > 0 && !sleep(r.Context(), time.Duration(faults.SlowBody)):
		panic(http.ErrAbortHandler)
	}
	_, _ = body.WriteTo(w)
}

// answerCanceled counts and answers a request that was canceled or timed out while it ran.
func (u *Upstream) answerCanceled(w http.ResponseWriter) {
	u.mu.Lock()
	u.runs.counts.Canceled++
	u.mu.Unlock()
	http.Error(w, "cancelled while it ran", statusCanceled)
}

// refuse answers that a request did not run, because of load or a drain.
func (u *Upstream) refuse(w http.ResponseWriter) {
	u.setIdentity(w.Header())
	w.Header().Set(proxy.HeaderShed, "1")
	http.Error(w, "not run: no slot left", http.StatusServiceUnavailable)
}

// setIdentity sets the headers with the boot id and the host name, and with the limit if there is one.
func (u *Upstream) setIdentity(header http.Header) {
	u.mu.Lock()
	restarts, limit := u.restarts, u.faults.RateLimit
	u.mu.Unlock()
	if limit > 0 {
		header.Set(proxy.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	header.Set(proxy.HeaderBootID, fmt.Sprintf("%s-%d", u.config.Host, restarts))
	header.Set(HeaderUpstream, string(u.config.Host))
}

// withRequestTimeout applies the timeout in the header proxy.HeaderTimeout, if there is one.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(proxy.HeaderTimeout), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
