// Package admission puts the app server's decisions inside a Go service: what
// is let in, in which order it runs, what is turned away, and that a keyed
// request runs once within its window. It is the daemon's routing core and
// decision module, with the service's handlers as the backend, and keeps the
// daemon's rules:
//
//   - every request that matches a route gets one final answer by its due time:
//     its class's deadline, or sooner where the http.Server's WriteTimeout ends
//     first;
//   - a keyed request (header Idempotency-Key, or the route's own) runs at most
//     once within its window; its repeats get the first result, including one
//     that comes while the first still runs;
//   - a refusal comes at once, 503 with Retry-After: the handler never ran, or
//     its class is safe to repeat;
//   - after Drain, what comes later than the grace never runs, and all that was
//     taken is answered before the stop.
//
// Handlers run in goroutines of their own, with a context that ends when the
// module stops them or their time is over. A handler that ignores it still
// holds its place among the runs until it returns (Stats.Stuck), as it still
// holds a core or a connection below. Responses of classed routes are held in
// memory, because a response may have to be given again, or not at all: they
// can't be streamed.
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
	cfg      Config
	table    *describe.Table // of cfg.Routes
	core     *dispatch.Core
	stop     context.CancelFunc
	draining atomic.Bool
	stats    counters
	conns    conns
	workers  workers
}

// New makes a server and sets it to work; Close ends it. The error names the
// field of the configuration that makes no sense.
func New(cfg Config) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	settings, names := cfg.settings()
	opt := dispatch.Options{
		Settings: settings, Classes: names, Seed: cfg.Seed, Machine: newProcess(cfg.Cores),
		MaxKeyTableBytes: int(cfg.Memory / keysShare),
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

// Config gives the configuration in force, with its defaults filled in.
func (s *Server) Config() Config { return s.cfg }

// Drain takes in that the process ends at stopAt: health checks fail from now
// on, responses ask for their connection to be closed, what comes later than
// the grace is turned away, and all is answered 250 ms before stopAt.
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
	last, cancel := context.WithDeadline(context.WithoutCancel(ctx), stopAt.Add(-stopMargin))
	defer cancel()
	grace := time.NewTimer(min(s.cfg.DrainGrace, time.Until(stopAt)/2))
	select {
	case <-grace.C:
	case <-ctx.Done():
		grace.Stop()
	}
	if idle, wrapped := s.conns.refuse(); wrapped {
		hs.SetKeepAlivesEnabled(false) // each answer closes its connection
		select {
		case <-idle:
		case <-last.Done():
		}
	}
	err := hs.Shutdown(last)
	s.Close()
	if errors.Is(err, context.DeadlineExceeded) { // connections that said half a request are no one's
		err = nil
	}
	return err
}

// Close ends the server. Requests that come after it are turned away; those
// whose handlers were begun and had no answer yet fail, as they may have run.
func (s *Server) Close() {
	s.stop()
	<-s.core.Done()
}

// Health answers health checks: 200 while work is wanted, else 503. With the
// query parameter deep=1 it is good only if a new goroutine is also scheduled
// within 100 ms.
func (s *Server) Health(w http.ResponseWriter, r *http.Request) {
	good := make(chan bool, 1)
	deep := r.URL.Query().Get("deep") == "1"
	if s.core.CheckHealth(deep, func(fit bool) { good <- fit }) != nil || !<-good {
		refuse(w, maxAdvice)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats { return s.stats.read() }
