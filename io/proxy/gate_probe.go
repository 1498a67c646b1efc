package proxy

import "net/http"

// serveProbe answers whether the upstream is responsive: 204 if so, 503 if it has stopped
// answering. An entry asks this before it ends an attempt because of missing answers.
func (g *Gate) serveProbe(w http.ResponseWriter) {
	g.mu.Lock()
	isSilent := g.admission.IsSilent(g.config.Clock.Now())
	g.mu.Unlock()
	g.counters.Probes.Add(1)
	if isSilent {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
