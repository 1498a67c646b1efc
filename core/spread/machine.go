package spread

import (
	"math/rand/v2"
	"time"

	"verbenaway/core"
	"verbenaway/core/snap"
)

// Machine is the state machine of one daemon. It is not safe for concurrent use.
type Machine struct {
	config  Config
	timings Timings
	random  *rand.Rand
	// now is the time of the current input, actions the actions that it leads to.
	now     time.Time
	actions []Action

	// served is the version in force, restricted to the local region. Its version never
	// decreases.
	served *core.Snapshot
	// recent holds the latest slices applied to served.
	recent   recentSlices
	buffered buffer
	// forwards are pushes to be forwarded once their newest slice is applied.
	forwards []forward
	// forwarded holds the versions of pushes that were forwarded or wait in forwards.
	forwarded map[core.Version]bool

	ranking *ranking
	leaving bool

	start         start
	viewCheck     viewCheck
	pull          pull
	antiEntropy   antiEntropy
	reader        reader
	hosts         hosts
	reportLimiter reportLimiter
}

// New returns a machine without configuration. The first input starts it.
func New(config Config) *Machine {
	if config.Way == "" {
		config.Way = WayVerbenaway
	}
	m := &Machine{
		config:  config,
		timings: config.Timings.withDefaults(),
		random:  config.Random,
		served:  snap.Empty(config.Self.Region),
	}
	m.buffered.slices = map[core.Version]core.Slice{}
	m.ranking = newRanking(config.Self, nil, false)
	return m
}

// Handle processes one input and returns the actions to carry out. Times must not decrease.
func (m *Machine) Handle(now time.Time, input Input) []Action {
	m.now = now
	m.actions = nil
	if m.start.startedAt.IsZero() {
		m.initStart()
	}
	switch in := input.(type) {
	case Tick:
		m.tick()
	case MembersChanged:
		m.ranking = newRanking(m.config.Self, in.Members, m.leaving)
		m.startTick()
	case DigestReceived:
		m.handleDigest(in.Digest)
	case ExchangeResult:
		m.handleExchangeResult(in)
	case PushReceived:
		m.handlePush(in.Message)
	case PushResult:
		m.handlePushResult(in)
	case PullResult:
		m.handlePullResult(in)
	case HostsResult:
		m.handleHostsResult(in)
	case CheckpointResult:
		m.handleCheckpointResult(in)
	case NotesResult:
		m.handleNotesResult(in)
	case StoreHostsResult:
		m.handleStoreHostsResult(in)
	case Resumed:
		m.handleResumed()
	case VersionObserved:
		m.handleVersionObserved(in)
	case LeaveAnnounced:
		m.leaving = true
		m.ranking.rank = -1
	}
	m.completeTransitions()
	return m.actions
}

// tick runs the decisions that depend on time alone.
func (m *Machine) tick() {
	m.startTick()
	m.viewCheckTick()
	m.roleTick()
	m.hostsTick()
	m.pullTick()
	m.exchangeTick()
}

// completeTransitions runs after each input, since any input may complete a start, a
// confirmation or a wait for a slice.
func (m *Machine) completeTransitions() {
	m.sendForwards()
	m.checkReady()
	m.checkConfirmed()
}

// Served returns the version in force, which is never nil. It may be used for requests only
// while Refusal returns "".
func (m *Machine) Served() *core.Snapshot {
	return m.served
}

// Refusal returns why requests have to be rejected, or "" if they can be served.
func (m *Machine) Refusal() core.ErrorKind {
	switch {
	case !m.start.ready:
		return core.Starting
	case m.viewCheck.active:
		return core.SuspectView
	}
	return ""
}

// Digest returns the digest for messages to other daemons. The driver sets Incarnation,
// MembersHash and Time.
func (m *Machine) Digest(now time.Time) core.Digest {
	age := time.Duration(-1)
	if !m.reader.regionContact.IsZero() {
		age = max(0, now.Sub(m.reader.regionContact))
	}
	return core.Digest{
		Sender:           m.config.Self.Name,
		AvailabilityZone: m.config.Self.AvailabilityZone,
		Region:           m.config.Self.Region,
		Version:          m.served.Version,
		Hash:             m.served.Hash,
		HostsRevision:    m.hosts.list.Revision,
		ReaderAge:        age,
		Ready:            m.Refusal() == "",
	}
}

// Status describes the machine for the admin interface.
type Status struct {
	Version core.Version
	Hash    core.Hash
	Refusal core.ErrorKind
	// Role is "reader", "standInReader", "isolatedReader" or "member".
	Role string
	// ReaderAge is negative if unknown.
	ReaderAge time.Duration
	// StoreError is StoreStale or StoreFork while the store's history is refused, else "".
	StoreError    core.ErrorKind
	HostsRevision uint64
	// Floor is the highest version seen in a digest before the daemon was ready.
	Floor core.Version
	// Newest is the highest known version.
	Newest core.Version
	// LagReason is the reason why the newest version is not in force, "" if it is.
	LagReason string
}

// Status returns the current state.
func (m *Machine) Status(now time.Time) Status {
	return Status{
		Version:       m.served.Version,
		Hash:          m.served.Hash,
		Refusal:       m.Refusal(),
		Role:          m.reader.role.String(),
		ReaderAge:     m.Digest(now).ReaderAge,
		StoreError:    m.reader.fault,
		HostsRevision: m.hosts.list.Revision,
		Floor:         m.start.floor,
		Newest:        max(m.pull.newest, m.served.Version),
		LagReason:     m.lagReason(),
	}
}

func (m *Machine) lagReason() string {
	switch {
	case !m.start.ready && !m.start.peerAnswered:
		return "no peer has responded and the store has not been read to its end"
	case !m.start.ready:
		return "the version floor is not reached"
	case m.viewCheck.active:
		return "no peer or store has confirmed the version since the pause"
	case m.pull.newest <= m.served.Version:
		return ""
	case len(m.buffered.slices) > 0:
		return "a slice before the buffered ones is missing"
	case m.pull.inFlight:
		return "a pull is in flight"
	case len(m.pull.sources) == 0:
		return "no known peer holds the newer version"
	}
	return "waiting for a push or pull"
}

func (m *Machine) emit(action Action) {
	m.actions = append(m.actions, action)
}

// jitter returns a random duration below limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(limit)))
}

// reportLimiter suppresses repeated reports.
type reportLimiter struct {
	last map[reportKey]time.Time
}

type reportKey struct {
	kind    core.EventKind
	version core.Version
	subject string
	detail  string
}

// reportOnce emits a report unless an equal one was emitted less than a minute ago, since each
// further message may show the same condition.
func (m *Machine) reportOnce(report Report) {
	key := reportKey{
		kind:    report.Kind,
		version: report.Version,
		subject: report.Subject,
		detail:  report.Detail,
	}
	if last, ok := m.reportLimiter.last[key]; ok && m.now.Sub(last) < time.Minute {
		return
	}
	if m.reportLimiter.last == nil || len(m.reportLimiter.last) >= 256 {
		m.reportLimiter.last = map[reportKey]time.Time{}
	}
	m.reportLimiter.last[key] = m.now
	m.emit(report)
}

// reportHistoryRefused reports that the history of a peer or the store is not followed.
func (m *Machine) reportHistoryRefused(kind core.ErrorKind, version core.Version, subject string) {
	m.reportOnce(Report{
		Kind:    core.EventHistoryRefused,
		Version: version,
		Subject: subject,
		Detail:  string(kind),
	})
}
