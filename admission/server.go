// Package admission embeds the app server's decisions in a Go service as net/http
// middleware: which requests are admitted, in which order they run, which are shed, and
// that a request with an idempotency key runs once within its window. It runs the
// daemon's core (package dispatch) and decision module (package policy) with the service's
// handlers as the backend, and keeps the daemon's rules:
//
//   - every request that matches a route gets one final answer by its deadline: its
//     class's, or sooner where the http.Server's WriteTimeout ends first;
//   - a keyed request (header Idempotency-Key, or the route's own) runs at most once
//     within its window; retries get the first result, also while the first still runs;
//   - a request is shed at once, with 503 and Retry-After: its handler never ran, or its
//     class is idempotent;
//   - after Drain, what arrives later than the grace never runs, and all that was read is
//     answered before the stop.
//
// Handlers run in goroutines of their own, with a context that is cancelled by the
// decision module or at the deadline. A handler that ignores it keeps its place among the
// runs until it returns (Stats.Stuck), as it still uses a core or a connection. Responses
// of classed routes are held in memory, because a response may have to be sent again, or
// not at all: they can't be streamed.
//
// The daemon's design and rules are in docs/architecture.md; embedding is in
// docs/library.md.
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

// Server admits requests before a service's handlers. Its methods are safe
// for concurrent use.
type Server struct {
	cfg         Config
	table       *describe.Table // of cfg.Routes
	core        *dispatch.Core
	stop        context.CancelFunc
	draining    atomic.Bool
	stats       counters
	connections connections
	workers     workers
}

// New starts a server; Close ends it. The error names the field of the configuration that
// makes no sense.
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

// Config returns the configuration in force, with its defaults filled in.
func (s *Server) Config() Config { return s.cfg }

// Drain prepares for the end of the process at stopAt: health checks fail from now on,
// responses ask for their connection to be closed, what arrives later than the grace is
// shed, and all is answered 250 ms before stopAt.
func (s *Server) Drain(stopAt time.Time) {
	s.draining.Store(true)
	s.core.Drain(s.core.DrainNoticeTime(), stopAt)
}

// Shutdown drains and then shuts hs down. For the grace the listeners stay
// open, so that callers learn of the drain and go elsewhere. Then the sockets
// of those made by Listener close, while the connections that are open are
// served until they end or the stop is near, and hs.Shutdown follows. Without
// such listeners, hs.Shutdown follows the grace at once. The process ends at
// ctx's deadline, or 5 s from now if it has none; Close comes last. The error
// is that of hs.Shutdown, but for its deadline.
func (s *Server) Shutdown(ctx context.Context, hs *http.Server) error {
	stopAt, ok := ctx.Deadline()
	if !ok {
		stopAt = time.Now().Add(defaultStop)
	}
	s.Drain(stopAt)
	last, cancel := context.WithDeadline(context.WithoutCancel(ctx), stopAt.Add(-answerMargin))
	defer cancel()
	grace := time.NewTimer(min(s.cfg.DrainGrace, time.Until(stopAt)/2))
	select {
	case <-grace.C:
	case <-ctx.Done():
		grace.Stop()
	}
	if idle, wrapped := s.connections.closeListeners(); wrapped {
		hs.SetKeepAlivesEnabled(false) // each answer closes its connection
		select {
		case <-idle:
		case <-last.Done():
		}
	}
	err := hs.Shutdown(last)
	s.Close()
	if errors.Is(err, context.DeadlineExceeded) { // connections with an incomplete request are owed nothing
		err = nil
	}
	return err
}

// Close ends the server. Later requests are shed; those whose handlers were started and
// have no answer yet fail, as they may have run.
func (s *Server) Close() {
	s.stop()
	<-s.core.Done()
}

// Health answers health checks: 200 while requests are admitted, else 503. With the query
// parameter deep=1 a new goroutine must also be scheduled within 100 ms.
func (s *Server) Health(w http.ResponseWriter, r *http.Request) {
	healthy := make(chan bool, 1)
	deep := r.URL.Query().Get("deep") == "1"
	if s.core.CheckHealth(deep, func(ok bool) { healthy <- ok }) != nil || !<-healthy {
		shed(w, maxRetryAfter)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats { return s.stats.read() }
