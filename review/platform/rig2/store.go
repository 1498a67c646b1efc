package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key as it was written or deleted.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: ranges and watches over one history.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// isDown makes the store answer every call with 503, which means that nothing was done.
	isDown bool
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		revision: 100,
		items:    map[string]item{},
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	s.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key, or deletes it if the value is nil, and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change := item{
		Key:      key,
		Value:    text,
		Revision: s.revision,
		Created:  s.revision,
		Deleted:  value == nil,
	}
	if known, ok := s.items[key]; ok {
		change.Created = known.Created
	}
	if change.Deleted {
		delete(s.items, key)
		change.Created = 0
	} else {
		s.items[key] = change
	}
	s.history = append(s.history, change)
	s.wake()
	return time.Now()
}

// setDown begins or ends an outage.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wake()
}

// isUp reports whether the store takes writes.
func (s *store) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isDown
}

// refuse answers with 503 during an outage.
func (s *store) refuse(w http.ResponseWriter) bool {
	if s.isUp() {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	if s.refuse(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, found)
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.refuse(w) {
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, value := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, value)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	hasMore := len(found) > pageItems
	if hasMore {
		found = found[:pageItems]
	}
	answer(w, map[string]any{
		"items":          found,
		"has_more":       hasMore,
		"store_revision": s.revision,
	})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		if s.refuse(w) {
			return
		}
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 || isOver {
			answer(w, map[string]any{
				"events":         events,
				"store_revision": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}
