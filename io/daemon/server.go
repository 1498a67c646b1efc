package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"verbenaway/core"
	"verbenaway/io/admin"
	"verbenaway/io/conf"
	"verbenaway/io/peer"
)

// listeners holds the listeners of the four addresses.
type listeners struct {
	caller net.Listener
	gate   net.Listener
	peer   net.Listener
	admin  net.Listener
}

// bind binds all addresses or none.
func bind(settings conf.ListenSettings) (listeners, error) {
	var bound listeners
	bindings := []struct {
		address  string
		listener *net.Listener
	}{
		{address: settings.Caller, listener: &bound.caller},
		{address: settings.Gate, listener: &bound.gate},
		{address: settings.Peer, listener: &bound.peer},
		{address: settings.Admin, listener: &bound.admin},
	}
	for _, binding := range bindings {
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			bound.close()
			return listeners{}, errors.Wrapf(err, "listen on %s", binding.address)
		}
		*binding.listener = listener
	}
	return bound, nil
}

func (l *listeners) addresses() conf.ListenSettings {
	return conf.ListenSettings{
		Caller: l.caller.Addr().String(),
		Gate:   l.gate.Addr().String(),
		Peer:   l.peer.Addr().String(),
		Admin:  l.admin.Addr().String(),
	}
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.gate, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// server is a core.Service that serves a listener.
type server struct {
	name     string
	listener net.Listener
	serve    func(net.Listener) error
	stop     func(context.Context) error
	done     chan error
}

// Name implements core.Service.
func (s *server) Name() string {
	return s.name
}

// Start implements core.Service.
func (s *server) Start(context.Context) error {
	s.done = make(chan error, 1)
	go func() {
		s.done <- s.serve(s.listener)
	}()
	return nil
}

// Stop implements core.Service.
func (s *server) Stop(ctx context.Context) error {
	err := s.stop(ctx)
	return errors.CombineErrors(err, <-s.done)
}

// httpService wraps an HTTP server as a core.Service.
func httpService(name string, listener net.Listener, httpServer *http.Server) core.Service {
	return &server{
		name:     name,
		listener: listener,
		serve: func(l net.Listener) error {
			err := httpServer.Serve(l)
			if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		},
		stop: func(ctx context.Context) error {
			if err := httpServer.Shutdown(ctx); err != nil {
				return errors.CombineErrors(err, httpServer.Close())
			}
			return nil
		},
	}
}

func (d *Daemon) peerService() core.Service {
	peerServer := peer.NewServer(peer.ServerConfig{
		Handler: d.agent,
		Traffic: d.traffic,
	})
	return &server{
		name:     "peerServer",
		listener: d.listeners.peer,
		serve:    peerServer.Serve,
		stop:     peerServer.Stop,
	}
}

func (d *Daemon) gateService() core.Service {
	return httpService("gate", d.listeners.gate, &http.Server{
		Handler:           d.gate,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    128 << 10,
	})
}

func (d *Daemon) entryService() core.Service {
	return httpService("entry", d.listeners.caller, d.entry.Server())
}

func (d *Daemon) adminService() core.Service {
	return httpService("admin", d.listeners.admin, &http.Server{
		Handler: admin.NewHandler(admin.Config{
			Status:  d.Status,
			Hosts:   d.agent.KnownHosts,
			Events:  d.journal.Events,
			Explain: d.explain,
			Metrics: d.metrics(),
		}),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
	})
}
