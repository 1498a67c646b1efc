package proxy

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// DeadPeerConfig bounds how long a connection may be silent before it counts as dead.
type DeadPeerConfig struct {
	// UserTimeout is how long sent bytes may wait for their acknowledgement.
	UserTimeout time.Duration
	// Idle is the time without traffic after which the peer is probed, Probes times with Idle
	// between them. Whole seconds.
	Idle   time.Duration
	Probes int
}

// Dialer returns a dialer whose connections end when the peer is silent.
func (s DeadPeerConfig) Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: s.Control,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     s.Idle,
			Interval: s.Idle,
			Count:    s.Probes,
		},
	}
}

// Control sets the bound on unacknowledged bytes, for net.Dialer and net.ListenConfig.
func (s DeadPeerConfig) Control(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(errors.Wrap(err, "socket options"), errors.Wrap(optionErr, "set the bound on unacknowledged bytes"))
}
