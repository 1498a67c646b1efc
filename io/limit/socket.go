package limit

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ControlFunc sets options of a socket, for net.ListenConfig.
type ControlFunc func(network, address string, conn syscall.RawConn) error

// WithReceiveBuffer bounds the bytes that the kernel receives ahead on each connection of a listener. It
// suits senders nearby: over a long path, the bound divided by the round-trip time limits the throughput.
func WithReceiveBuffer(bytes int, next ControlFunc) ControlFunc {
	// The kernel doubles the value, for its own data.
	return withOption(unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2, next)
}

// WithWindow bounds the window of each connection of a listener as it begins. The kernel lifts the bound
// for a connection that is read fast, so that it holds for those that are not read.
func WithWindow(bytes int, next ControlFunc) ControlFunc {
	return withOption(unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes, next)
}

func withOption(level, option, value int, next ControlFunc) ControlFunc {
	return func(network, address string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), level, option, value)
		})
		if err = errors.CombineErrors(err, optionErr); err != nil {
			return errors.Wrap(err, "set the bound on unread bytes")
		}
		return next(network, address, conn)
	}
}

// isClosedByPeer reports whether the end of the stream has arrived, also behind bytes that were not read.
func isClosedByPeer(raw syscall.RawConn) bool {
	isClosed := false
	_ = raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{
			{
				Fd:     int32(descriptor),
				Events: unix.POLLRDHUP,
			},
		}
		count, err := unix.Poll(poll, 0)
		isClosed = err == nil && count > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return isClosed
}
