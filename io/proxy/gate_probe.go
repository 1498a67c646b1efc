package proxy

import (
	"net/http"
	"time"

	"verbenaway/core"
)

// serveProbe answers whether the upstream is responsive: 204 if so, 503 if it has stopped
// answering. An entry asks this before it ends an attempt because of missing answers. A leaving entry
// tells in it when it closes the connections of its callers.
func (g *Gate) serveProbe(w http.ResponseWriter, r *http.Request) {
	now := g.config.Clock.Now()
	closesAt, err := closingTime(r.Header, now)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	isSilent := g.admission.IsSilent(now)
	if !closesAt.IsZero() {
		g.deliverWakes(g.admission.CloseSender(now, core.HostName(firstValue(r.Header, keySender)), closesAt))
	}
	g.mu.Unlock()
	g.counters.Probes.Add(1)
	if isSilent {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// closingTime returns the time at which the sender of a request closes the connections of its callers,
// zero if it is not leaving.
func closingTime(header http.Header, now time.Time) (time.Time, error) {
	if firstValue(header, keyCloses) == "" {
		return time.Time{}, nil
	}
	left, err := headerNumber(header, keyCloses, 0)
	if err != nil {
		return time.Time{}, core.Errorf(core.BadRequest, "%s is not a number", HeaderCloses)
	}
	return now.Add(time.Duration(min(left, maxClosingMs)) * time.Millisecond), nil
}

// maxClosingMs avoids an overflow of time.Duration. No planned stop takes that long.
const maxClosingMs = uint64(24 * time.Hour / time.Millisecond)
