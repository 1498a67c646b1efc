package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps changes for watches.
	historyTime = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// firstRevision is the revision of the empty store.
	firstRevision = 100
)

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Lease     int    `json:"lease"`
	Deleted   bool   `json:"deleted,omitempty"`
	at        time.Time
}

// store is a sound store.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// compacted is the revision up to which the history is gone.
	compacted uint64
	changed   chan struct{}
}

func newStore(address string) (*store, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &store{
		revision:  firstRevision,
		compacted: firstRevision,
		items:     map[string]storeItem{},
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key; a nil value deletes it. The store has acknowledged the change when put returns.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Deleted:  value == nil,
		at:       time.Now(),
	}
	if item.Deleted {
		delete(s.items, key)
	} else {
		item.CreatedAt = s.revision
		if known, ok := s.items[key]; ok {
			item.CreatedAt = known.CreatedAt
		}
		s.items[key] = item
	}
	s.history = append(s.history, item)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return item.at
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, hasMore := []storeItem{}, 0, false
	for _, key := range keys {
		item := s.items[key]
		if len(items) > 0 && (len(items) == maxPageItems || size+len(item.Value) > maxPageBytes) {
			hasMore = true
			break
		}
		items = append(items, item)
		size += len(item.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has_more": hasMore, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed, isGone := s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		switch {
		case isGone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a client that has left needs no answer
}
