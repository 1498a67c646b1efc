package proxy

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DeadPeerConfig configures the detection of unresponsive peers of TCP connections.
type DeadPeerConfig struct {
	// UserTimeout bounds the time in which sent bytes must be acknowledged (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Idle is the time without traffic before the first keepalive probe, and the interval
	// between probes; a connection ends after Probes unanswered ones. Idle must be in whole
	// seconds.
	Idle   time.Duration
	Probes int
}

// Dialer returns a dialer whose connections end when the peer is unresponsive.
func (d DeadPeerConfig) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: d.Control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     d.Idle,
			Interval: d.Idle,
			Count:    d.Probes,
		},
	}
}

// Control sets TCP_USER_TIMEOUT, for net.Dialer and net.ListenConfig.
func (d DeadPeerConfig) Control(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(errors.Wrap(err, "socket options"), errors.Wrap(optionErr, "set the bound on unacknowledged bytes"))
}
