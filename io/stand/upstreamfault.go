package stand

import (
	"context"
	"net/http"
	"time"

	"verbenaway/core"
)

// UpstreamFaults are the faults that an upstream stand-in injects. The zero value means no fault.
// Each POST replaces all faults.
type UpstreamFaults struct {
	// Drain refuses new requests with proxy.HeaderShed and finishes those in flight.
	Drain bool `json:"drain"`
	// Shed refuses new requests with proxy.HeaderShed as if every slot were in use.
	Shed bool `json:"shed"`
	// ColdStart begins a cold start once and keeps the boot id.
	ColdStart bool `json:"fallCold"`
	// Restart begins a cold start once, with a new boot id.
	Restart bool `json:"restart"`
	// Hang keeps requests running without an answer until Hang is turned off or they are canceled.
	Hang bool `json:"hang"`
	// ResetBefore and ResetAfter reset the connection after the request has run: before the
	// first byte of the answer, or after the headers and half of the body.
	ResetBefore bool `json:"resetBefore"`
	ResetAfter  bool `json:"resetAfter"`
	// Cut closes the connection without a reset after half of the body.
	Cut bool `json:"cut"`
	// SlowBody is the pause between the two halves of each body.
	SlowBody core.Duration `json:"slowBody"`
	// Delay is added to the service time.
	Delay core.Duration `json:"delay"`
	// RateLimit is the number of requests a second that the upstream names in its answers as what it
	// takes, 0 for none.
	RateLimit float64 `json:"rateLimit"`
	// HealthStatus replaces the status that the health endpoint reports.
	HealthStatus string `json:"healthSays"`
	// Every limits Hang, ResetBefore, ResetAfter, Cut, SlowBody and Delay to every n-th
	// request; 0 and 1 mean every request.
	Every int64 `json:"every"`
}

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
	if faults.ColdStart || faults.Restart {
		u.capacity.startCold(u.clock.Now())
	}
	if faults.Restart {
		u.restarts++
	}
	close(u.faultsChanged)
	u.faultsChanged = make(chan struct{})
}

// nextFaults returns the faults for the next request. The caller holds the lock.
func (u *Upstream) nextFaults() UpstreamFaults {
	u.arrivals++
	faults := u.faults
	if faults.Every > 1 && u.arrivals%faults.Every != 0 {
		return UpstreamFaults{
			Drain: faults.Drain,
			Shed:  faults.Shed,
		}
	}
	return faults
}

// hang waits until Hang is turned off; it returns false if ctx ended.
func (u *Upstream) hang(ctx context.Context) bool {
	return waitWhile(ctx, func() (isHanging bool, changed <-chan struct{}) {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.faults.Hang, u.faultsChanged
	})
}

// resetConnection closes the connection of a request with a TCP reset where possible.
func resetConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// closeConnection closes the connection in the middle of an answer without a reset.
func closeConnection(w http.ResponseWriter) {
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = buffered.Flush()
	_ = connection.Close()
}

// drawServiceTime draws a service time from the configured distribution. The caller holds the lock.
func (u *Upstream) drawServiceTime() time.Duration {
	mean := float64(u.config.ServiceTime)
	switch u.config.Distribution {
	case DistributionExponential:
		// At most 10 times the mean, so that a single draw cannot dominate a benchmark.
		return time.Duration(min(u.random.ExpFloat64(), 10) * mean)
	case DistributionUniform:
		return time.Duration(2 * u.random.Float64() * mean)
	default:
		return u.config.ServiceTime
	}
}
