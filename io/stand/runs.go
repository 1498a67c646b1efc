package stand

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Runs are the counts of an upstream stand-in since its start or the last reset.
type Runs struct {
	// Requests counts requests that began to run, including canceled ones.
	Requests int64 `json:"requests"`
	// Orders counts the non-idempotent requests among them.
	Orders int64 `json:"orders"`
	// Duplicated counts repeated runs of non-idempotent requests.
	Duplicated int64 `json:"duplicated"`
	// Repeated counts repeated runs of idempotent requests.
	Repeated int64 `json:"repeated"`
	Canceled int64 `json:"cancelled"`
	// Shed counts requests refused with the header proxy.HeaderShed, ColdShed those of them in
	// cold start.
	Shed     int64 `json:"shed"`
	ColdShed int64 `json:"coldShed"`
	// ColdOverloads counts how often the upstream failed under load in cold start.
	ColdOverloads int64 `json:"coldOverloads"`
	// LastStart is when the last request began to run, in Unix milliseconds; 0 if none.
	LastStart     int64 `json:"lastNewWorkMs"`
	InFlight      int   `json:"inFlight"`
	MaxConcurrent int   `json:"maxConcurrent"`
	// Connections is the number of open connections and MaxConnections its peak.
	// ConnectionsRefused counts connections over the limit, which are closed at once.
	Connections        int   `json:"connections"`
	MaxConnections     int   `json:"maxConnections"`
	ConnectionsRefused int64 `json:"connectionsRefused"`
	// ByID is the number of runs of each non-idempotent request, by idempotency key or, without
	// one, by request id. It is set only if asked for.
	ByID map[string]int `json:"byId,omitempty"`
}

// runCounter counts runs; the lock of the upstream protects it.
type runCounter struct {
	counts Runs
	orders map[string]int
	// idempotent is keyed by the hash of the id, which saves memory: most requests are
	// idempotent.
	idempotent map[uint64]int32
}

func newRunCounter() runCounter {
	return runCounter{
		orders:     map[string]int{},
		idempotent: map[uint64]int32{},
	}
}

func (c *runCounter) begin(id string, nonIdempotent bool, now time.Time) {
	c.counts.Requests++
	c.counts.LastStart = now.UnixMilli()
	c.counts.InFlight++
	c.counts.MaxConcurrent = max(c.counts.MaxConcurrent, c.counts.InFlight)
	switch {
	case nonIdempotent:
		c.counts.Orders++
		c.orders[id]++
		if c.orders[id] > 1 {
			c.counts.Duplicated++
		}
	case id != "":
		hash := xxhash.Sum64String(id)
		c.idempotent[hash]++
		if c.idempotent[hash] > 1 {
			c.counts.Repeated++
		}
	}
}

// snapshot returns a copy of the counts, with ByID if byID is set.
func (c *runCounter) snapshot(byID bool) Runs {
	counts := c.counts
	if byID {
		counts.ByID = make(map[string]int, len(c.orders))
		for id, runs := range c.orders {
			counts.ByID[id] = runs
		}
	}
	return counts
}

// reset clears all counts except those of requests in flight and open connections.
func (c *runCounter) reset() {
	inFlight, connections := c.counts.InFlight, c.counts.Connections
	*c = newRunCounter()
	c.counts.InFlight = inFlight
	c.counts.MaxConcurrent = inFlight
	c.counts.Connections = connections
	c.counts.MaxConnections = connections
}

// isNonIdempotent returns whether a request must not run twice.
func isNonIdempotent(r *http.Request) bool {
	return r.Method == http.MethodPost || r.Method == http.MethodPatch
}
