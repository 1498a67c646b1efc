package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"verbenaway/core"
)

const (
	// crashSettleTime bounds the time in which the connections of a process that has ended are all
	// closed. They end at the same moment, but one goroutine after the other notices it.
	crashSettleTime = 10 * time.Millisecond
	crashPollPeriod = time.Millisecond
	// crashDialTimeout bounds the connection that shows whether the process has ended. One that has refuses
	// it at once.
	crashDialTimeout = 100 * time.Millisecond
	// crashReadTimeout is how long a new connection has to stay open: where something else accepts the
	// connections for a process, those for one that has ended are closed at once.
	crashReadTimeout = 20 * time.Millisecond
)

// checkForCrash finds out whether the upstream ended while it ran the call. It is called when an answer
// was lost, which may also be the end of one connection only.
func (c *gateCall) checkForCrash() {
	g := c.gate
	if c.instance == "" {
		return
	}
	running := g.InFlight()
	result, _, _ := g.crashChecks.Do(c.instance, func() (any, error) {
		return g.hasCrashed(), nil
	})
	c.hasCrashed = result.(bool)
	instance := c.instance
	if !c.hasCrashed {
		return
	}
	if before := g.crashed.Swap(&instance); before == nil || *before != instance {
		g.record(core.EventUpstreamCrashed, instance, fmt.Sprintf("%d requests in progress", running))
	}
}

// hasCrashed reports whether the process at the upstream's address has ended: all its connections are
// closed, and it takes no further one.
func (g *Gate) hasCrashed() bool {
	for waited := time.Duration(0); g.transport.openConns.Load() > 0; waited += crashPollPeriod {
		if waited >= crashSettleTime {
			return false
		}
		time.Sleep(crashPollPeriod)
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
	defer cancel()
	conn, err := g.config.Dial(ctx, "tcp", g.config.UpstreamAddress)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() {
		_ = conn.Close()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(crashReadTimeout))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
