package stand

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// discardLog drops the errors that net/http logs for connections closed by injected faults.
var discardLog = log.New(io.Discard, "", 0)

// systemClock implements core.Clock with the system time.
type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.ResponseWriter.Write(data)
	w.bytes += int64(n)
	return n, err
}

// countingReader counts the bytes of a request body.
type countingReader struct {
	io.ReadCloser
	bytes int64
}

func (r *countingReader) Read(data []byte) (int, error) {
	n, err := r.ReadCloser.Read(data)
	r.bytes += int64(n)
	return n, err
}

// Server serves a stand-in on one address.
type Server struct {
	listener net.Listener
	server   *http.Server
	done     chan error // the result of server.Serve
}

// connObserver is implemented by stand-ins that count their connections.
type connObserver interface {
	observe(connection net.Conn, state http.ConnState)
}

// Serve starts a server for a stand-in; with port 0 the kernel chooses a free port.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: 10 * time.Second,
			ErrorLog:          discardLog,
		},
		done: make(chan error, 1),
	}
	if observer, ok := handler.(connObserver); ok {
		s.server.ConnState = observer.observe
	}
	go func() {
		s.done <- s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the address as HOST:PORT.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// URL returns the base URL.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// Close closes all connections and returns once the server has ended.
func (s *Server) Close() error {
	return s.end(s.server.Close())
}

// Shutdown waits for requests in flight until ctx ends, then closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return s.Close()
	}
	return s.end(nil)
}

func (s *Server) end(err error) error {
	if served := <-s.done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
