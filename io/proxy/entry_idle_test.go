package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// closingConn sends its address to a channel when it is closed.
type closingConn struct {
	net.Conn
	address string
	once    sync.Once
	closed  chan<- string
}

// Close sends the address, once, and closes the connection.
func (c *closingConn) Close() error {
	c.once.Do(func() { c.closed <- c.address })
	return c.Conn.Close()
}

// TestEntryIdleConnections guards against so many idle connections, to one gatekeeper or to all,
// that the process reaches its limit of open files.
func TestEntryIdleConnections(t *testing.T) {
	c := qt.New(t)
	const gates, perGate = maxIdleConns/maxIdleConnsPerGate + 4, maxIdleConnsPerGate + 6
	const all = gates * perGate
	closed := make(chan string, all)
	received := make(chan struct{}, all)
	answer := make(chan struct{})
	transport := newTransport(func(_ context.Context, _, address string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			received <- struct{}{}
			<-answer
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}()
		return &closingConn{Conn: client, address: address, closed: closed}, nil
	})
	t.Cleanup(transport.CloseIdleConnections)
	var group sync.WaitGroup
	for n := range all {
		group.Go(func() {
			request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://10.0.0.%d:80/", n%gates), http.NoBody)
			c.Check(err, qt.IsNil)
			response, err := transport.RoundTrip(request)
			if c.Check(err, qt.IsNil) {
				c.Check(response.Body.Close(), qt.IsNil)
			}
		})
	}
	for range all {
		<-received
	}
	close(answer)
	group.Wait()
	open := map[string]int{}
	for n := range gates {
		open[fmt.Sprintf("10.0.0.%d:80", n)] = perGate
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for left := all; left > maxIdleConns; left-- {
		select {
		case address := <-closed:
			open[address]--
		case <-ctx.Done():
			c.Fatalf("%d connections stay open, want at most %d", left, maxIdleConns)
		}
	}
	for address, n := range open {
		c.Check(n <= maxIdleConnsPerGate, qt.IsTrue, qt.Commentf("gatekeeper %s keeps %d idle connections", address, n))
	}
}
