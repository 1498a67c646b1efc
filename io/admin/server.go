package admin

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"verbenaway/core"
	"verbenaway/core/events"
)

// Config provides the data that the admin handler serves.
type Config struct {
	// Status returns an error if the control plane of the daemon does not answer in time.
	Status func() (Status, error)
	// Hosts returns the known hosts, including dead ones that are in the host list.
	Hosts   func() []core.Host
	Events  func() []core.Event
	Explain func(ExplainRequest) any
	// Metrics is served under /debug/vars.
	Metrics *expvar.Map
}

// NewHandler returns the HTTP handler of the admin interface.
func NewHandler(config Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		status, err := config.Status()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, status)
	})
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, config.Hosts())
	})
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		filter, err := parseFilter(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, events.Merge(filter, config.Events()))
	})
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		writeJSON(w, config.Explain(ExplainRequest{
			Host:   query.Get("host"),
			Path:   query.Get("path"),
			Method: query.Get("method"),
			Tenant: core.TenantName(query.Get("tenant")),
		}))
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintln(w, config.Metrics.String())
	})
	return mux
}

// parseFilter returns the event filter given by the query parameters.
func parseFilter(r *http.Request) (events.Filter, error) {
	query := r.URL.Query()
	filter := events.Filter{
		Kind:             core.EventKind(query.Get("kind")),
		Host:             core.HostName(query.Get("host")),
		AvailabilityZone: core.AvailabilityZone(query.Get("az")),
	}
	if since := query.Get("since"); since != "" {
		parsed, err := time.Parse(time.RFC3339, since)
		if err != nil {
			return filter, core.Errorf(core.BadRequest, "since=%q: want a time such as 2026-01-02T15:04:05Z", since)
		}
		filter.Since = parsed
	}
	return filter, nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
