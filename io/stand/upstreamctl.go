package stand

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"verbenaway/io/proxy"
)

// Health is the answer of the health endpoint. Status is "ok", "cold" or "draining", unless the
// fault HealthStatus replaces it.
type Health struct {
	Status   string `json:"status"`
	InFlight int    `json:"inFlight"`
	Slots    int    `json:"slots"`
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	health := Health{
		Status:   "ok",
		InFlight: u.runs.counts.InFlight,
		Slots:    u.config.Slots,
	}
	switch {
	case u.faults.HealthStatus != "":
		health.Status = u.faults.HealthStatus
	case u.faults.Drain:
		health.Status = "draining"
	case u.capacity.isCold(u.clock.Now()):
		health.Status = "cold"
	}
	u.mu.Unlock()
	u.setIdentity(w.Header())
	writeJSON(w, health)
}

func (u *Upstream) getRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, u.Runs(r.URL.Query().Get("byId") != ""))
}

func (u *Upstream) resetRuns(w http.ResponseWriter, _ *http.Request) {
	u.ResetRuns()
	w.WriteHeader(http.StatusNoContent)
}

func (u *Upstream) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults UpstreamFaults
	if !readJSON(w, r, &faults) {
		return
	}
	u.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// observe counts connections and closes those over the limit.
func (u *Upstream) observe(connection net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := &u.runs.counts
	switch state {
	case http.StateNew:
		if u.config.Connections > 0 && counts.Connections >= u.config.Connections {
			counts.ConnectionsRefused++
			u.refusedConnections[connection] = true
			_ = connection.Close()
			return
		}
		counts.Connections++
		counts.MaxConnections = max(counts.MaxConnections, counts.Connections)
		if u.config.ConnectionCost > 0 {
			u.unusedConnections[connection.RemoteAddr().String()] = true
		}
	case http.StateClosed, http.StateHijacked:
		if u.refusedConnections[connection] {
			delete(u.refusedConnections, connection)
			return
		}
		counts.Connections--
		delete(u.unusedConnections, connection.RemoteAddr().String())
	case http.StateActive, http.StateIdle:
	}
}

// delayFirstRequest delays the first request on a connection by ConnectionCost.
func (u *Upstream) delayFirstRequest(r *http.Request) {
	u.mu.Lock()
	unused := u.unusedConnections[r.RemoteAddr]
	delete(u.unusedConnections, r.RemoteAddr)
	u.mu.Unlock()
	if unused {
		sleep(r.Context(), u.config.ConnectionCost)
	}
}

// callNext calls the next service of a chain through the local daemon. It sends the depth that it
// received, since the entry increments it.
func (u *Upstream) callNext(r *http.Request, params runParams) error {
	if params.calls == 0 || u.config.CallURL == "" {
		return nil
	}
	depth, err := strconv.Atoi(r.Header.Get(proxy.HeaderDepth))
	if err != nil {
		depth = 1
	}
	address := fmt.Sprintf("%s%s?calls=%d&bytes=%d", u.config.CallURL, u.config.CallPath, params.calls-1, params.bytes)
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s.%d", params.id, depth+1)
	request.Host = u.config.CallHost
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set(proxy.HeaderDepth, strconv.Itoa(depth))
	if deadline, ok := r.Context().Deadline(); ok {
		request.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return u.callAndCheck(request, id)
}

func (u *Upstream) callAndCheck(request *http.Request, id string) error {
	response, err := u.client.Do(request)
	if err != nil {
		return err
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call from service to service: status %d, error kind %q",
			response.StatusCode, response.Header.Get(proxy.HeaderError))
	}
	_, err = CheckAnswer(id, response.Header, response.Body)
	return err
}
