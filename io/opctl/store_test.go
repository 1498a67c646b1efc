package opctl_test

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"verbenaway/core"
)

// fakeStore is an in-memory store with the interface described in section 5.1 of the design page.
type fakeStore struct {
	mu     sync.Mutex
	values map[string][]byte
	// status is the response to every request if it is not 0.
	status int
	// beforePut is called once, before the next write.
	beforePut func()
	// loseAnswer closes the connection after the next write instead of responding.
	loseAnswer bool
}

// newFakeStore starts an empty store and returns it with its address.
func newFakeStore(t *testing.T) (*fakeStore, string) {
	store := &fakeStore{
		values: map[string][]byte{},
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, server.URL
}

func (s *fakeStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, isValue := strings.CutPrefix(r.URL.Path, "/v1/values/")
	switch {
	case s.status != 0:
		w.WriteHeader(s.status)
	case isValue && r.Method == http.MethodPut:
		s.put(w, r, key)
	case isValue:
		value, found := s.values[key]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(value)
	default:
		s.watch(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	}
}

func (s *fakeStore) put(w http.ResponseWriter, r *http.Request, key string) {
	value, _ := io.ReadAll(r.Body)
	if s.beforePut != nil {
		s.beforePut()
		s.beforePut = nil
	}
	if _, exists := s.values[key]; exists && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.values[key] = value
	if s.loseAnswer {
		s.loseAnswer = false
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
}

// watch returns at most two values, so that readers have to send several requests.
func (s *fakeStore) watch(w http.ResponseWriter, prefix, after string) {
	var found []core.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < 2 {
			found = append(found, core.KeyValue{Key: key, Value: s.values[key]})
		}
	}
	if len(found) == 0 {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}
