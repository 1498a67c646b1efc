package limit

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// outgoingConn is a connection of a Dialer.
type outgoingConn struct {
	net.Conn
	budget *Budget
	// raw is nil for a connection without a descriptor.
	raw syscall.RawConn
	// owner is the connection whose request is in service, nil if there is none.
	owner  atomic.Pointer[Conn]
	closed sync.Once
}

func (b *Budget) newOutgoingConn(conn net.Conn) *outgoingConn {
	c := &outgoingConn{
		Conn:   conn,
		budget: b,
		raw:    rawConn(conn),
	}
	b.outgoing.Add(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialed[c] = struct{}{}
	return c
}

// Close implements net.Conn.
func (c *outgoingConn) Close() error {
	c.closed.Do(func() {
		c.budget.outgoing.Add(-1)
		c.budget.mu.Lock()
		defer c.budget.mu.Unlock()
		delete(c.budget.dialed, c)
	})
	return c.Conn.Close()
}

// SetOwner records that a connection of a Dialer serves a request that came on owner. What the kernel has
// received of the answer then counts for owner, which is closed if memory runs short and its caller does
// not read. Other connections are left alone.
func SetOwner(conn net.Conn, owner *Conn) {
	if c, ok := conn.(*outgoingConn); ok {
		c.owner.Store(owner)
	}
}

// ReleaseOwner ends what SetOwner has recorded, unless the connection serves a request of another owner.
func ReleaseOwner(conn net.Conn, owner *Conn) {
	if c, ok := conn.(*outgoingConn); ok {
		c.owner.CompareAndSwap(owner, nil)
	}
}

// unreadAnswers returns what the kernel has received of answers and nobody has read, by their owners. The
// caller holds mu.
func (b *Budget) unreadAnswers() map[*Conn]int64 {
	unread := map[*Conn]int64{}
	for c := range b.dialed {
		if owner := c.owner.Load(); owner != nil {
			unread[owner] += queued(c.raw)
		}
	}
	return unread
}
