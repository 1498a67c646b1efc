package proxy

import (
	"net/http"
	"strconv"

	"verbenaway/core"
)

// The units of the failure ratio in HeaderLoad and of the slowness in HeaderHostLoad.
const (
	permille = 1000
	percent  = 100
)

func (c *gateCall) logDecision(kind core.DecisionKind, errorKind core.ErrorKind, detail string) {
	log := c.gate.config.Decisions
	if log == nil {
		return
	}
	now := c.gate.config.Clock.Now()
	decision := core.Decision{
		Kind:       kind,
		Route:      c.admitRequest.Route,
		Service:    c.admitRequest.Service,
		Tenant:     c.admitRequest.Tenant,
		Sender:     c.admitRequest.Sender,
		Host:       c.gate.config.Self.Name,
		Instance:   c.instance,
		InFlight:   c.inFlight,
		Limit:      c.limit,
		Elapsed:    now.Sub(c.started),
		Left:       c.admitRequest.Deadline.Sub(now),
		Error:      errorKind,
		RetryAfter: c.retryAfter,
		Detail:     detail,
	}
	if c.gate.config.Dialect != nil {
		decision.RequestID = c.gate.config.Dialect.RequestID(c.request.Header)
	}
	if c.snapshot != nil {
		decision.Version, decision.Revision = c.snapshot.Version, c.snapshot.Revision
	}
	log.RecordDecision(decision)
}

// setOwnHeaders sets the headers that the gatekeeper adds to every answer, for the entry.
func (c *gateCall) setOwnHeaders(header http.Header) {
	load := make([]byte, 0, 16)
	load = strconv.AppendInt(load, int64(c.inFlight), 10)
	load = append(load, '/')
	load = strconv.AppendInt(load, int64(c.limit), 10)
	if c.gate.config.Upstream != nil && c.snapshot != nil {
		var hostLoad []byte
		load, hostLoad = c.appendEstimate(load)
		header[keyHostLoad] = []string{string(hostLoad)}
	}
	header[keyLoad] = []string{string(load)}
	if c.hasNotice && c.instance != "" {
		header[keyInstance] = []string{c.instance}
	}
	if c.body != nil && !c.body.isAtEnd() {
		// In full-duplex mode the server cannot reuse a connection whose request body was not
		// read completely: it panics with "invalid concurrent Body.Read call" or parses the rest
		// of the body as a request.
		header["Connection"] = []string{"close"}
	}
	if c.snapshot != nil {
		header[keyVersion] = []string{strconv.FormatUint(uint64(c.snapshot.Version), 10)}
	}
}

// appendEstimate appends the numbers of HeaderLoad that follow the load, and returns those of
// HeaderHostLoad.
func (c *gateCall) appendEstimate(load []byte) (withEstimate, hostLoad []byte) {
	g := c.gate
	now := g.config.Clock.Now()
	g.mu.Lock()
	estimate := g.admission.Estimate(now, c.admitRequest.Route)
	g.mu.Unlock()
	for _, number := range [...]int64{
		estimate.QueueTime.Microseconds(),
		estimate.ServiceTime.Microseconds(),
		int64(estimate.FailureRatio * permille),
	} {
		load = append(load, '/')
		load = strconv.AppendInt(load, number, 10)
	}
	for i, number := range [...]int64{
		int64(estimate.Slowness * percent),
		g.link.Rate(),
		g.link.Wait(now).Microseconds(),
	} {
		if i > 0 {
			hostLoad = append(hostLoad, '/')
		}
		hostLoad = strconv.AppendInt(hostLoad, number, 10)
	}
	return load, hostLoad
}

// recordSlowness passes the slowness that the upstream reports on to admission control.
func (c *gateCall) recordSlowness(answer http.Header) {
	g := c.gate
	load, ok := g.config.Dialect.UpstreamLoad(answer)
	if !ok || load.Slowness <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.RecordSlowness(g.config.Clock.Now(), load.Slowness)
}
