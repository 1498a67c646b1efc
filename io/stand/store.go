package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaway/core"
)

const (
	// DefaultOperationsPerSecond is the capacity of the platform's store for all its readers.
	DefaultOperationsPerSecond = 2000
	maxWatchBytes              = 1 << 20
	maxWait                    = 5 * time.Minute
	maxJSONBytes               = 8 << 20
)

// StoreConfig configures a store stand-in.
type StoreConfig struct {
	// Clock is the system clock by default.
	Clock core.Clock
	// OperationsPerSecond is the limit above which calls are refused: 0 means the default, a
	// negative number no limit.
	OperationsPerSecond int
	// HostsLag is the time until readers see a new host list.
	HostsLag time.Duration
}

// Store is a stand-in for the platform's configuration service and host list. It keeps its state
// in memory.
type Store struct {
	clock core.Clock
	mux   *http.ServeMux

	mu       sync.Mutex
	state    storeState
	faults   StoreFaults
	asOf     *core.Version // version of the stale state that is shown; nil shows the current one
	hostsLag time.Duration
	counter  storeCounter
	changed  chan struct{} // closed and replaced with every change
}

// NewStore returns an empty store.
func NewStore(config StoreConfig) *Store {
	clock := config.Clock
	if clock == nil {
		clock = systemClock{}
	}
	limit := config.OperationsPerSecond
	if limit == 0 {
		limit = DefaultOperationsPerSecond
	}
	s := &Store{
		clock: clock,
		mux:   http.NewServeMux(),
		state: storeState{
			values: map[string][]storedValue{},
		},
		hostsLag: config.HostsLag,
		counter:  newStoreCounter(limit, clock.Now()),
		changed:  make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/values/{key...}", s.withCounting(&s.counter.counts.Values, s.getValue))
	s.mux.HandleFunc("PUT /v1/values/{key...}", s.withCounting(&s.counter.counts.Puts, s.putValue))
	s.mux.HandleFunc("GET /v1/watch", s.withCounting(&s.counter.counts.Watches, s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.withCounting(&s.counter.counts.Hosts, s.getHosts))
	s.mux.HandleFunc("PUT /v1/hosts", s.putHosts)
	s.mux.HandleFunc("GET /v1/counters", s.getCounters)
	s.mux.HandleFunc("POST /v1/counters/reset", s.resetCounters)
	s.mux.HandleFunc("POST /v1/faults", s.postFaults)
	return s
}

// Seed reads the notes of a directory: files {number}.toml and checkpoint.toml.
func (s *Store) Seed(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeParked()
	return s.state.seed(dir)
}

// Put writes a value without the checks of the HTTP interface.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.put(key, value)
	s.wakeParked()
}

// SetHosts sets the host list, which readers see after HostsLag. Revision 0 means the number
// after the newest revision.
func (s *Store) SetHosts(list core.HostList) {
	if list.Hosts == nil {
		list.Hosts = []core.Host{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.putHosts(list, s.clock.Now().Add(s.hostsLag))
	s.wakeParked()
}

// Counters returns the counts since the start or the last reset.
func (s *Store) Counters() StoreCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counter.snapshot(s.clock.Now())
}

// ResetCounters sets all counters to 0 except the number of parked calls.
func (s *Store) ResetCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.reset(s.clock.Now())
}

// ServeHTTP serves the interface of the configuration service (section 5.1 of the design page)
// and the control calls of the stand-in.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// wakeParked makes parked calls query the state again. The caller holds the lock.
func (s *Store) wakeParked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withCounting wraps a call of the configuration service with counters, rate limit and faults.
// calls is the counter of this kind of call.
func (s *Store) withCounting(calls *int64, call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		admitted := s.counter.admit(s.clock.Now(), calls)
		s.mu.Unlock()
		counting := &countingWriter{
			ResponseWriter: w,
		}
		body := &countingReader{
			ReadCloser: r.Body,
		}
		r.Body = body
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.counter.counts.BytesIn += body.bytes
			s.counter.counts.BytesOut += counting.bytes
		}()
		if !admitted {
			http.Error(counting, "over the rate limit of the store", http.StatusTooManyRequests)
			return
		}
		if s.applyFaults(counting, r) {
			call(counting, r)
		}
	}
}

func (s *Store) getValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	value, found := s.state.value(key, s.asOf)
	value = s.withFork(core.KeyValue{
		Key:   key,
		Value: value,
	}).Value
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such key: "+key, http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (s *Store) putValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, core.MaxNoteBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, "a value has at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.state.value(key, nil)
	if exists && r.Header.Get("If-None-Match") == "*" {
		http.Error(w, "the key exists: "+key, http.StatusPreconditionFailed)
		return
	}
	s.state.put(key, value)
	s.wakeParked()
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.poll(w, r, func() (any, time.Time) {
		values := s.state.after(query.Get("prefix"), query.Get("after"), s.asOf)
		for i := range values {
			values[i] = s.withFork(values[i])
		}
		if len(values) == 0 {
			return nil, time.Time{}
		}
		return values, time.Time{}
	})
}

// hostsAnswer is a host list with the number of restorations before it.
type hostsAnswer struct {
	core.HostList

	Epoch uint64 `json:"epoch,omitempty"`
}

func (s *Store) getHosts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after must be a revision number", http.StatusBadRequest)
		return
	}
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil && r.URL.Query().Get("epoch") != "" {
		http.Error(w, "epoch must be a number", http.StatusBadRequest)
		return
	}
	s.poll(w, r, func() (any, time.Time) {
		now := s.clock.Now()
		if list := s.state.hostsNow(now); list.Revision != after || s.state.hostsEpoch != epoch {
			return hostsAnswer{
				HostList: list,
				Epoch:    s.state.hostsEpoch,
			}, time.Time{}
		}
		return nil, s.state.nextHostsTime(now)
	})
}

// poll answers a long poll with the result of query once it is not nil, or with 204 after the
// wait. query is called with the lock held; with a nil result it may return the time at which to
// query again.
func (s *Store) poll(w http.ResponseWriter, r *http.Request, query func() (any, time.Time)) {
	wait, err := parseWait(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	isParked := false
	for {
		s.mu.Lock()
		answer, nextQuery := query()
		changed := s.changed
		if answer == nil && !isParked {
			isParked = true
			s.counter.park(s.clock.Now(), 1)
			defer s.unpark()
		}
		s.mu.Unlock()
		if answer != nil {
			writeJSON(w, answer)
			return
		}
		if ended := s.awaitChange(w, r, changed, deadline.C, nextQuery); ended {
			return
		}
	}
}

// awaitChange waits for a change of the state, nextQuery or the deadline. It returns true if the
// call is answered or the caller is gone.
func (s *Store) awaitChange(w http.ResponseWriter, r *http.Request, changed <-chan struct{}, deadline <-chan time.Time, nextQuery time.Time) bool {
	var requery <-chan time.Time
	if !nextQuery.IsZero() {
		timer := time.NewTimer(nextQuery.Sub(s.clock.Now()))
		defer timer.Stop()
		requery = timer.C
	}
	select {
	case <-changed:
		return !s.applyFaults(w, r)
	case <-requery:
		return false
	case <-deadline:
		w.WriteHeader(http.StatusNoContent)
		return true
	case <-r.Context().Done():
		return true
	}
}

func (s *Store) unpark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.park(s.clock.Now(), -1)
}

func (s *Store) putHosts(w http.ResponseWriter, r *http.Request) {
	var list core.HostList
	if !readJSON(w, r, &list) {
		return
	}
	s.SetHosts(list)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func (s *Store) resetCounters(w http.ResponseWriter, _ *http.Request) {
	s.ResetCounters()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults StoreFaults
	if !readJSON(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// parseWait returns the wait of a long poll, at most maxWait.
func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("waitMs")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, fmt.Errorf("waitMs must be a number of milliseconds, not %q", text)
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait), nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON answers 400 and returns false if the body is not the expected JSON.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
