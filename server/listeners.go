package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/admin"
	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/transport"
)

// The shares of the file descriptors that listeners may use for connections.
const (
	platformDescriptorShare       = 0.625 // balancers use at most half of the descriptors; the rest is for other callers
	platformDescriptorShareBeside = 0.375 // while a predecessor still serves on the same socket
	uwsgiDescriptorShare          = 0.125 // each connection needs a second descriptor, to the backend
)

// readHeaderTimeout is how long an operator's HTTP request may take to arrive.
const readHeaderTimeout = 5 * time.Second

// How often idle connections are looked for: a few times within the time after which they
// are closed, between these bounds.
const (
	idleChecksPerTimeout = 4
	minIdleCheckInterval = 20 * time.Millisecond
	maxIdleCheckInterval = 500 * time.Millisecond
)

// Names of the listeners' addresses in errors and log events. The first two are keys of the
// platform's configuration.
const (
	listenKey      = "listen"
	controlKey     = "control"
	uwsgiListenKey = "uwsgi listen"
	metricsKey     = "metrics"
	operatorsKey   = "operators"
)

// front is what the server needs of a front.
type front interface {
	Serve(c *transport.Conn) // serves a connection until it ends
	ReclaimConnections()     // has connections end near the limit
	NotifyDraining()         // tells callers to use other servers
	EndGrace()               // has requests rejected that have not arrived by now
	Drain(by time.Time)      // ends connections once nothing is pending on them, at the latest at a time
	PendingConns() int       // connections that may still have a request, or owe an answer
}

// listener is a front with its listener.
type listener struct {
	front  front
	server *transport.Server
}

// connectionLimit returns how many connections a share of the file descriptors allows.
func connectionLimit(c *config.Config, share float64) int {
	return int(float64(c.MaxDescriptors) * share)
}

// listen listens on the address that a key of the configuration has. The error is a
// *config.KeyError.
func listen(ctx context.Context, key, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &config.KeyError{Key: key, Err: err}
	}
	return l, nil
}

// listenOrInherit opens the platform's listening socket, or takes over the inherited one.
// The error is a *config.KeyError.
func listenOrInherit(ctx context.Context, c *config.Config) (net.Listener, error) {
	if c.ListenFD == 0 {
		return listen(ctx, listenKey, c.ListenAddress)
	}
	l, err := transport.InheritListener(c.ListenFD)
	if err != nil {
		return nil, &config.KeyError{Key: listenKey, Err: err}
	}
	return l, nil
}

// addFront adds a front with its listener, on which nothing is accepted yet.
func (s *Server) addFront(key string, l net.Listener, maxConns int, f front) {
	server := transport.NewServer(l, maxConns, f.Serve, f.ReclaimConnections)
	server.OnAcceptFailures(func(last error, failures int) {
		s.log.Warn("accept_failed", "listener", key, "failures", failures, "error", last.Error())
	})
	s.listeners = append(s.listeners, listener{f, server})
}

// serve accepts connections until the listener is closed, which is no error.
func serve(server *transport.Server) { _ = server.Serve() }

// openCommands opens the listener for operators' commands, if there is one.
func (s *Server) openCommands(c *config.Config) error {
	if c.ControlAddress == "" {
		return nil
	}
	l, err := listen(s.lifetime, controlKey, c.ControlAddress)
	if err != nil {
		return err
	}
	s.log.Info("control", "address", l.Addr().String())
	handler := &admin.CommandHandler{Core: s.core, Serving: s.isOpen}
	s.commands = transport.NewServer(l, admin.MaxCommandConnections, handler.Serve, func() {})
	return nil
}

// openMetrics opens the listener of /metrics, if there is one, and serves it.
func (s *Server) openMetrics(c *config.Config) error {
	if s.recorder == nil {
		return nil
	}
	l, err := listen(s.lifetime, metricsKey, c.MetricsAddress)
	if err != nil {
		return err
	}
	s.metricsAddr = l.Addr()
	s.serveHTTP(l, s.recorder.Handler(), func(err error) {
		s.log.Warn("metrics_stopped", "error", err.Error())
	})
	s.log.Info("metrics", "address", l.Addr().String())
	return nil
}

// openOperators opens the listener of the operators' HTTP endpoints about the fleet, if
// there is one, and serves it.
func (s *Server) openOperators(c *config.Config) error {
	if s.fleet == nil || c.OperatorsAddress == "" {
		return nil
	}
	l, err := listen(s.lifetime, operatorsKey, c.OperatorsAddress)
	if err != nil {
		return err
	}
	s.serveHTTP(l, admin.NewHandler(s.fleet), func(err error) {
		s.log.Warn("operators_stopped", "error", err.Error())
	})
	s.log.Info("operators", "address", l.Addr().String())
	return nil
}

// serveHTTP serves a listener until closeHTTP. If serving ends before that, failed is
// called.
func (s *Server) serveHTTP(l net.Listener, handler http.Handler, failed func(error)) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.httpServers = append(s.httpServers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	}()
}

// closeListeners ends accepting on all listeners at once.
func (s *Server) closeListeners() {
	s.closeFronts()
	if s.commands != nil {
		s.commands.Close()
	}
	s.closeHTTP()
}

// closeFronts ends accepting on the fronts' listeners at once.
func (s *Server) closeFronts() {
	for _, l := range s.listeners {
		l.server.Close()
	}
}

func (s *Server) closeHTTP() {
	for _, server := range s.httpServers {
		_ = server.Close() // the process ends, or the start has failed
	}
}

// idleTimeout holds how long connections may idle. It implements dispatch.Connections.
type idleTimeout struct{ nanoseconds atomic.Int64 }

// SetIdleTimeout implements dispatch.Connections.
func (t *idleTimeout) SetIdleTimeout(after time.Duration) { t.nanoseconds.Store(int64(after)) }

func (t *idleTimeout) duration() time.Duration { return time.Duration(t.nanoseconds.Load()) }

// closeIdleConnections closes idle connections of balancers until the server stops.
func (s *Server) closeIdleConnections() {
	for {
		timeout := s.idleTimeout.duration()
		interval := min(max(timeout/idleChecksPerTimeout, minIdleCheckInterval), maxIdleCheckInterval)
		select {
		case <-s.lifetime.Done():
			return
		case <-time.After(interval):
		}
		s.thrift.CloseIdle(timeout)
	}
}
