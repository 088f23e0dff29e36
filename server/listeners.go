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

// Shares of the file descriptors that a listener may use for connections.
const (
	platformDescriptorShare = 0.625 // balancers use at most half of the descriptors; the rest is for other callers
	handoverDescriptorShare = 0.375 // of the platform's listener while a predecessor serves on the same socket
	uwsgiDescriptorShare    = 0.125 // each connection needs a second descriptor, for the backend
)

// The server checks for idle connections idleChecksPerTimeout times per idle timeout, but at an
// interval within these bounds.
const (
	idleChecksPerTimeout = 4
	minIdleCheckInterval = 20 * time.Millisecond
	maxIdleCheckInterval = 500 * time.Millisecond
)

// Names of the listeners in errors and log events. The first two are keys of the platform's
// configuration.
const (
	listenKey      = "listen"
	controlKey     = "control"
	uwsgiListenKey = "uwsgi listen"
	metricsKey     = "metrics"
	operatorsKey   = "operators"
)

// frontend accepts requests over one protocol.
type frontend interface {
	Serve(c *transport.Conn) // serves a connection until it ends
	ReclaimConnections()     // closes idle connections when the number of all connections is near the limit
	NotifyDraining()         // tells callers to use other servers
	EndGrace()               // ends the grace period: requests that arrive from now on do not run
	Drain(by time.Time)      // closes each connection once nothing is pending on it, at the latest at the given time
	PendingConns() int       // number of connections that may have an unread request or an unwritten answer
}

// listener is a frontend with the transport server that accepts its connections.
type listener struct {
	frontend frontend
	server   *transport.Server
}

// connectionLimit returns the number of connections that a share of the file descriptors
// allows.
func connectionLimit(c *config.Config, share float64) int {
	return int(float64(c.MaxDescriptors) * share)
}

// listen listens on a TCP address, which is the value of key in the configuration. The error
// is a *config.KeyError.
func listen(ctx context.Context, key, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &config.KeyError{Key: key, Err: err}
	}
	return l, nil
}

// listenOrInherit opens the platform's listening socket, or uses the inherited one if the
// configuration has its descriptor. The error is a *config.KeyError.
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

// addFrontend adds a frontend with its listener. It does not accept connections yet.
func (s *Server) addFrontend(key string, l net.Listener, maxConns int, f frontend) {
	server := transport.NewServer(l, maxConns, f.Serve, f.ReclaimConnections)
	s.limitClients(server)
	s.monitorListener(key, server)
	server.OnAcceptFailures(func(last error, failures int) {
		s.log.Warn("accept_failed", "listener", key, "failures", failures, "error", last.Error())
	})
	s.listeners = append(s.listeners, listener{f, server})
}

// serve accepts connections until the server is closed. transport.Server.Serve returns no
// error then.
func serve(server *transport.Server) { _ = server.Serve() }

// openCommands opens the listener for operators' commands, if the configuration has its
// address.
func (s *Server) openCommands(c *config.Config) error {
	if c.ControlAddress == "" {
		return nil
	}
	l, err := listen(s.lifetimeCtx, controlKey, c.ControlAddress)
	if err != nil {
		return err
	}
	s.log.Info("control", "address", l.Addr().String())
	handler := &admin.CommandHandler{Core: s.core, Serving: s.hasStartedServing}
	s.commandServer = transport.NewServer(l, admin.MaxCommandConnections, handler.Serve, func() {})
	s.limitClients(s.commandServer)
	s.monitorListener(controlKey, s.commandServer)
	return nil
}

// openMetrics opens and serves the listener for /metrics, if metrics are on.
func (s *Server) openMetrics(c *config.Config) error {
	if s.recorder == nil {
		return nil
	}
	l, err := listen(s.lifetimeCtx, metricsKey, c.MetricsAddress)
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

// openOperators opens and serves the listener for the operators' HTTP endpoints about the
// fleet, if this process is in a fleet and the configuration has the address.
func (s *Server) openOperators(c *config.Config) error {
	if s.fleet == nil || c.OperatorsAddress == "" {
		return nil
	}
	l, err := listen(s.lifetimeCtx, operatorsKey, c.OperatorsAddress)
	if err != nil {
		return err
	}
	s.serveHTTP(l, admin.NewHandler(s.fleet), func(err error) {
		s.log.Warn("operators_stopped", "error", err.Error())
	})
	s.log.Info("operators", "address", l.Addr().String())
	return nil
}

// serveHTTP starts to serve a listener until closeHTTP. It calls failed if serving fails
// before that.
func (s *Server) serveHTTP(l net.Listener, handler http.Handler, failed func(error)) {
	limited := newHTTPLimiter(l, maxHTTPConnections)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: httpReadTimeout,
		ReadTimeout:       httpReadTimeout,
		WriteTimeout:      httpWriteTimeout,
		IdleTimeout:       httpIdleTimeout,
		ConnState:         limited.connState,
	}
	s.httpServers = append(s.httpServers, server)
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	}()
}

// closeListeners closes all listeners, without accepting the connections in their accept
// queues first. It also closes the open connections of the HTTP servers.
func (s *Server) closeListeners() {
	s.closeFrontendListeners()
	if s.commandServer != nil {
		s.commandServer.Close()
	}
	s.closeHTTP()
}

// closeFrontendListeners closes the frontends' listeners, without accepting the connections in
// their accept queues first. Open connections stay open.
func (s *Server) closeFrontendListeners() {
	for _, l := range s.listeners {
		l.server.Close()
	}
}

func (s *Server) closeHTTP() {
	for _, server := range s.httpServers {
		_ = server.Close() // an error has no consequence: the process exits, or the start has failed
	}
}

// idleTimeout holds the time after which idle connections are closed. It implements
// dispatch.Connections.
type idleTimeout struct{ nanoseconds atomic.Int64 }

// SetIdleTimeout implements dispatch.Connections.
func (t *idleTimeout) SetIdleTimeout(after time.Duration) { t.nanoseconds.Store(int64(after)) }

func (t *idleTimeout) duration() time.Duration { return time.Duration(t.nanoseconds.Load()) }

// closeIdleConnections closes idle connections of the Thrift frontend until the server stops.
func (s *Server) closeIdleConnections() {
	for {
		timeout := s.idleTimeout.duration()
		interval := min(max(timeout/idleChecksPerTimeout, minIdleCheckInterval), maxIdleCheckInterval)
		select {
		case <-s.lifetimeCtx.Done():
			return
		case <-time.After(interval):
		}
		s.thrift.CloseIdle(timeout)
	}
}
