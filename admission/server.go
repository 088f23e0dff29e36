// Package admission embeds the app server's admission control in a Go service as net/http
// middleware. It decides which requests are admitted, in which order they run and which are
// shed, and it runs a request with an idempotency key once within its window. The package
// runs the daemon's core (package dispatch) and decision module (package policy) with the
// service's handlers as the backend. It follows the same rules as the daemon:
//
//   - Every request that matches a rule or a route gets exactly one final answer by its
//     deadline. The deadline is that of its class, or earlier if the http.Server's
//     WriteTimeout ends first.
//   - A keyed request (header Idempotency-Key, or the header that the route names) runs at
//     most once within its window. Retries get the result of the first attempt. If the first
//     attempt is still running, they wait for it.
//   - A request that is shed is answered at once, with status 503 and Retry-After. Its handler
//     never ran, or its class is idempotent.
//   - After Drain, requests that arrive after the grace period never run, and all requests
//     that were read are answered before the stop.
//
// Handlers run on separate goroutines, with a context that is cancelled by the decision module
// or at the deadline. A handler that ignores its context counts as running until it returns
// (Stats.Stuck), because it still uses a core or a connection. Responses of classified
// requests are held in memory and can't be streamed, because a response may be sent several
// times or not at all.
//
// docs/architecture.md describes the daemon's design and rules, docs/library.md the use of
// this package.
package admission

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/dispatch"
)

// Server controls the admission of requests to a service's handlers. Its methods are safe for
// concurrent use.
type Server struct {
	cfg         Config
	table       *describe.Table // compiled from cfg.Routes
	core        *dispatch.Core
	stop        context.CancelFunc
	draining    atomic.Bool
	stats       counters
	connections connections
	workers     workers
}

// New starts a server; Close stops it. The error names the invalid field of the configuration.
func New(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	settings, names := cfg.settings()
	opt := dispatch.Options{
		Settings: settings, Classes: names, Seed: cfg.Seed, Machine: newProcessMachine(cfg.Cores),
		MaxKeyTableBytes: int(cfg.Memory / keyTableFraction),
	}
	if cfg.Pools != nil {
		opt.Pools = &dispatch.PoolOptions{CheapestClass: cfg.Pools.Cheapest, ReservedSlots: cfg.Pools.Reserve}
	}
	core, err := dispatch.New(opt)
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go core.Run(ctx)
	core.BackendReady(false, 0)
	return &Server{
		cfg: cfg, table: cfg.Routes.Compile(), core: core, stop: stop,
		workers: workers{jobs: make(chan job), done: ctx.Done()},
	}, nil
}

// Config returns the server's configuration, with zero values replaced by their defaults.
func (s *Server) Config() Config { return s.cfg }

// Drain begins a graceful shutdown of a process that stops at stopAt. From now on, health
// checks fail and responses carry the header Connection: close. Requests that arrive after
// the grace period are shed. All requests are answered at least 250 ms before stopAt.
func (s *Server) Drain(stopAt time.Time) {
	s.draining.Store(true)
	s.core.Drain(s.core.DrainNoticeTime(), stopAt)
}

// Shutdown drains the server and then shuts hs down, in these steps:
//
//   - The listeners stay open for the grace period, but at most for half of the time until the stop,
//     so that callers learn of the drain and use another server.
//   - The sockets of the listeners that were wrapped by Listener are closed. Open connections are
//     served until all are closed or the stop is near. This step is skipped if there are no
//     such listeners.
//   - hs.Shutdown and then Close are called.
//
// The stop is at ctx's deadline, or 5 s from now if ctx has none. The error is that of
// hs.Shutdown, except that context.DeadlineExceeded is not an error.
func (s *Server) Shutdown(ctx context.Context, hs *http.Server) error {
	stopAt, ok := ctx.Deadline()
	if !ok {
		stopAt = time.Now().Add(defaultStopTimeout)
	}
	s.Drain(stopAt)
	answerCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), stopAt.Add(-answerMargin))
	defer cancel()
	grace := time.NewTimer(min(s.cfg.DrainGrace, time.Until(stopAt)/2))
	select {
	case <-grace.C:
	case <-ctx.Done():
		grace.Stop()
	}
	if idle, wrapped := s.connections.closeListeners(); wrapped {
		hs.SetKeepAlivesEnabled(false) // net/http closes each connection after its next response
		select {
		case <-idle:
		case <-answerCtx.Done():
		}
	}
	err := hs.Shutdown(answerCtx)
	s.Close()
	if errors.Is(err, context.DeadlineExceeded) { // an incomplete request needs no response
		err = nil
	}
	return err
}

// Close stops the server. Later requests are shed. Requests that have no answer yet fail,
// because their handlers may have run.
func (s *Server) Close() {
	s.stop()
	<-s.core.Done()
}

// Health answers health checks: status 200 while requests are admitted, 503 otherwise. A deep
// check (query parameter deep=1) also fails if a new goroutine is not scheduled within 100 ms.
func (s *Server) Health(w http.ResponseWriter, r *http.Request) {
	healthy := make(chan bool, 1)
	deep := r.URL.Query().Get("deep") == "1"
	if s.core.CheckHealth(deep, func(ok bool) { healthy <- ok }) != nil || !<-healthy {
		shed(w, maxRetryAfter)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stats returns the current values of the counters.
func (s *Server) Stats() Stats { return s.stats.read() }
