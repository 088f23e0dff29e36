// Package server assembles the app server from its parts and runs it: start, reload, drain.
package server

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/admin"
	"quincerail.example/quincerail/backend"
	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/discovery"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/downstream"
	"quincerail.example/quincerail/fleet"
	"quincerail.example/quincerail/frontend/thrift"
	"quincerail.example/quincerail/frontend/uwsgi"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/handover"
	"quincerail.example/quincerail/idempotency/journal"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/metrics"
	"quincerail.example/quincerail/transport"
)

const (
	sweepLeast       = 20 * time.Millisecond  // between two looks for idle connections
	sweepMost        = 500 * time.Millisecond // likewise
	leaveAgain       = 100 * time.Millisecond // between two looks whom to take leave of, when another takes over
	leaveFleetWithin = time.Second            // for giving up what this process owns there
	closeMargin      = 200 * time.Millisecond // before the kill, when all has been answered and connections end
	lastMargin       = 140 * time.Millisecond // before the kill, when they end even in the middle of a message
	exitMargin       = 80 * time.Millisecond  // before the kill, when the process ends
	unansweredIn     = 20 * time.Millisecond  // for the core to tell what has no answer then
	heapShare        = 0.75                   // of the memory is for the heap
	keysShare        = 8                      // one part in so many of the memory is for kept results
	frontShare       = 0.625                  // of the descriptors: balancers keep to a half, others don't
	besideShare      = 0.375                  // likewise while a process is still there that this one takes over from
	uwsgiShare       = 0.125                  // likewise for the uwsgi front, where a backend connection comes with each
)

// idleLimit holds how long connections may idle.
type idleLimit struct{ after atomic.Int64 }

// SetIdleTimeout implements dispatch.Connections.
func (l *idleLimit) SetIdleTimeout(after time.Duration) { l.after.Store(int64(after)) }

// front is what the server needs of a front.
type front interface {
	Serve(c *transport.Conn)
	MakeRoom()          // has connections end near the limit
	NotifyDraining()    // has callers use other servers
	EndGrace()          // rejects what is not read by now
	Drain(by time.Time) // ends connections, at the latest at a time
	PendingConns() int  // connections that may still have a request, or owe an answer
}

// listener is a front with its listener.
type listener struct {
	front  front
	server *transport.Server
}

// Server is a running app server.
type Server struct {
	config        atomic.Pointer[config.Config] // in force
	core          *dispatch.Core
	link          *backend.Processor
	pool          *downstream.Pool
	registrar     *discovery.Registrar
	thrift        *thrift.Frontend
	uwsgi         *uwsgi.Frontend // nil where it is off, like its backend
	backend       *backend.UWSGI
	uwsgiListen   string
	idle          *idleLimit
	listeners     []listener         // the first is the platform's
	control       *transport.Server  // where operators call; may be nil
	handover      *handover.Endpoint // nil where the listening socket is not inherited
	rules         *match.Rules       // the operator's rules, that the fronts ask first
	keys          *journal.Journal   // where the keys that ran outlive the process; nil where they don't
	log           *slog.Logger
	monitor       *guard.Monitor // of the platform's rules
	metricsAddr   net.Addr
	operators     []*http.Server    // the operator's own listeners
	fleet         *fleet.Fleet      // nil where there is none
	tally         *tally            // nil without a fleet
	recorder      *metrics.Recorder // nil without the operator's listener for them
	reloading     sync.Mutex        // one at a time
	file          *config.Config    // the configuration as its file says
	patch         json.RawMessage   // what the fleet changes of its settings
	serving       atomic.Bool
	stopReporting context.CancelFunc // ends the reports
	stop          context.CancelFunc
}

// Limit sets the process's memory limit and threads from the configuration.
func Limit(c *config.Config) {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB) * heapShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
}

// Start brings an app server up. The uwsgi front is off where u is nil.
func Start(c *config.Config, u *config.UWSGI) (*Server, error) {
	logger := c.Logger
	if logger == nil {
		logger = slog.Default()
	}
	link, pool := backend.NewProcessor(c.Processor, c.Gauges, logger), downstream.NewPool(c.Ledger)
	registrar, idle := discovery.NewRegistrar(c.Name, logger), &idleLimit{}
	idle.SetIdleTimeout(c.Settings.MaxIdleTime)
	monitor := guard.NewMonitor(logger)
	opt := dispatch.Options{
		Monitor: monitor, Settings: c.Settings, Classes: c.Classes, Tenants: c.Tenants, Seed: c.Seed, Logger: logger,
		Backend: link, Machine: link, Dependency: pool, Registrar: registrar, Connections: idle,
		MaxKeyTableBytes: c.MemoryMB << 20 / keysShare,
	}
	var recorder *metrics.Recorder
	var connections thrift.ConnectionObserver
	var counted *tally
	var watching observers
	if c.MetricsListen != "" {
		recorder = metrics.NewRecorder()
		recorder.SetClasses(c.Classes)
		recorder.ObserveRules(monitor)
		watching, connections = append(watching, recorder), recorder
	}
	if c.Fleet != nil && c.Fleet.Window > 0 {
		counted = &tally{}
		counted.tune(c.Classes, c.Settings)
		watching = append(watching, counted)
	}
	if len(watching) > 0 {
		opt.Observer = watching
	}
	var keys *journal.Journal
	if c.KeysDir != "" {
		var err error
		if keys, err = openJournal(c, &opt, logger); err != nil {
			return nil, err
		}
	}
	var member *fleet.Fleet
	var s *Server
	started := false
	defer func() {
		if started {
			return
		}
		if member != nil {
			member.Stop(0)
		}
		if keys != nil {
			if err := keys.Close(); err != nil {
				logger.Warn("keys_close_failed", "error", err.Error())
			}
		}
		if s != nil {
			s.closeListeners()
		}
	}()
	if c.Fleet != nil {
		var err error
		if member, err = fleet.Start(*c.Fleet); err != nil {
			return nil, err
		}
		if recorder != nil {
			recorder.ObserveFleet(member)
		}
	}
	var budgeted *downstream.QuotaLimiter
	if member != nil && member.QuotaAgent(fleet.Calls) != nil {
		budgeted = downstream.NewQuotaLimiter(pool, member.QuotaAgent(fleet.Calls), func() time.Duration { return c.Settings.AbandonedCallDuration })
		opt.Dependency = budgeted
	}
	core, err := dispatch.New(opt)
	if err != nil {
		return nil, err
	}
	link.Attach(core)
	pool.Attach(core)
	if budgeted != nil {
		budgeted.Attach(core)
		pool.Attach(budgeted)
	}
	if member != nil {
		downstream.ApplyFleetBounds(core, member)
	}
	if recorder != nil {
		recorder.SetCore(core)
	}
	rules := &match.Rules{}
	if c.Rules != nil {
		rules.Replace(c.Rules)
	}
	s = &Server{
		core: core, link: link, pool: pool, registrar: registrar, thrift: thrift.New(thrift.Options{Core: core, Rules: rules, Log: logger, Observer: connections, Monitor: monitor}), idle: idle,
		rules: rules, keys: keys, log: logger, monitor: monitor, fleet: member, tally: counted, recorder: recorder, file: c,
	}
	s.config.Store(c)
	if err := s.listen("listen", c.Listen, c.ListenFD, int(float64(c.Sockets)*frontShare), s.thrift); err != nil {
		return nil, err
	}
	if c.Control != "" {
		l, err := net.Listen("tcp", c.Control)
		if err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
		s.log.Info("control", "address", l.Addr().String())
		s.control = transport.NewServer(l, admin.MaxCommandConnections, (&admin.CommandHandler{Core: core, Serving: s.serving.Load}).Serve, func() {})
	}
	if u != nil {
		s.backend = backend.NewUWSGI(core, u.Backend)
		s.uwsgi = uwsgi.New(uwsgi.Options{Core: core, Backend: s.backend, Rules: rules, Config: uwsgiConfig(u)})
		s.uwsgiListen = u.Listen
		if err := s.listen("uwsgi listen", u.Listen, 0, int(float64(c.Sockets)*uwsgiShare), s.uwsgi); err != nil {
			return nil, err
		}
	}
	if err := s.listenHTTP(c, recorder); err != nil {
		return nil, err
	}
	if s.control != nil {
		go s.control.Serve()
	}
	working, stop := context.WithCancel(context.Background())
	s.stop = stop
	go core.Run(working)
	go link.Run(working)
	go s.sweep(working)
	if c.ListenFD == 0 {
		s.open(working, c)
	} else {
		s.handover = handover.NewEndpoint(core, c.Name, logger)
		go s.takeOver(working, c)
	}
	if counted != nil {
		member.Follow(changeable{counted, s})
	}
	started = true
	return s, nil
}

// listenHTTP opens the operator's own listeners, as far as there are any.
func (s *Server) listenHTTP(c *config.Config, recorder *metrics.Recorder) error {
	if recorder != nil {
		hs, addr, err := serveHTTP("metrics", c.MetricsListen, recorder.Handler(), s.log)
		if err != nil {
			return err
		}
		s.operators, s.metricsAddr = append(s.operators, hs), addr
	}
	if c.OperatorsListen != "" && s.fleet != nil {
		hs, _, err := serveHTTP("operators", c.OperatorsListen, admin.NewHandler(s.fleet), s.log)
		if err != nil {
			return err
		}
		s.operators = append(s.operators, hs)
	}
	return nil
}

// closeListeners ends what Start has opened to callers.
func (s *Server) closeListeners() {
	for _, d := range s.listeners {
		d.server.Close()
	}
	if s.control != nil {
		s.control.Close()
	}
	s.closeHTTP()
}

func (s *Server) closeHTTP() {
	for _, hs := range s.operators {
		hs.Close()
	}
}

// open lets callers in.
func (s *Server) open(ctx context.Context, c *config.Config) {
	if ctx.Err() != nil {
		return
	}
	ctx, s.stopReporting = context.WithCancel(ctx)
	go s.registrar.Run(ctx, c.Announce)
	for _, d := range s.listeners {
		go d.server.Serve()
		s.log.Info("listening", "name", c.Name, "address", d.server.Addr().String())
	}
	s.serving.Store(true)
}

// takeOver lets callers in once the keys are known of the process that serves on
// the same socket, if there is one. When that has ended, the next may find this one.
// Where that process does not tell its keys, any key that is not known here may have run
// there, and may run there as long as it lives: such keys fail for a window.
func (s *Server) takeOver(ctx context.Context, c *config.Config) {
	elder, err := s.handover.Connect(ctx)
	if err != nil && s.core.MarkUnknownKeysInDoubt(time.Now().Add(c.KillDelay()+longestWindow(c.Settings))) != nil {
		return // it has stopped
	}
	if elder != nil { // its connections count with those here
		s.listeners[0].server.SetLimit(int(float64(c.Sockets) * besideShare))
		s.open(ctx, c)
		<-elder.Ended()
		s.listeners[0].server.SetLimit(int(float64(c.Sockets) * frontShare))
	} else {
		s.open(ctx, c)
	}
	server, err := s.handover.Listen(ctx)
	if err != nil { // it serves, but its successor won't know its keys
		s.log.Warn("handover_failed", "error", err.Error())
		return
	}
	stop := context.AfterFunc(ctx, server.Close)
	server.Serve()
	stop()
}

// listen opens a front's listener, or takes over the one that fd is if it is not 0.
func (s *Server) listen(key, address string, fd, limit int, f front) error {
	var l net.Listener
	var err error
	if fd != 0 {
		l, err = transport.InheritListener(fd)
	} else {
		l, err = net.Listen("tcp", address)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	server := transport.NewServer(l, limit, f.Serve, f.MakeRoom)
	server.OnAcceptFailures(func(last error, failures int) {
		s.log.Warn("accept_failed", "listener", key, "failures", failures, "error", last.Error())
	})
	s.listeners = append(s.listeners, listener{f, server})
	return nil
}

// longestWindow is the longest window of a keyed class, with the table's slack.
func longestWindow(s decision.Settings) time.Duration {
	var most time.Duration
	for _, c := range s.Classes {
		most = max(most, c.KeyWindow)
	}
	return most + time.Second
}

// Addr is the address that balancers connect to.
func (s *Server) Addr() net.Addr { return s.listeners[0].server.Addr() }

// UWSGIAddr is the address of the uwsgi front, nil where it is off.
func (s *Server) UWSGIAddr() net.Addr {
	if len(s.listeners) < 2 {
		return nil
	}
	return s.listeners[1].server.Addr()
}

// ControlAddr is the address that operators call, nil where there is none.
func (s *Server) ControlAddr() net.Addr {
	if s.control == nil {
		return nil
	}
	return s.control.Addr()
}

// MetricsAddr is the address of the operator's /metrics, nil where there is none.
func (s *Server) MetricsAddr() net.Addr { return s.metricsAddr }

// sweep takes leave of idle connections until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	for {
		after := time.Duration(s.idle.after.Load())
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(max(after/4, sweepLeast), sweepMost)):
		}
		s.thrift.CloseIdle(after)
	}
}

// uwsgiConfig is what the uwsgi front is told of its file.
func uwsgiConfig(u *config.UWSGI) uwsgi.Config {
	return uwsgi.Config{Routes: u.RouteTable(), HealthPath: u.HealthPath, MaxBodyBytes: u.MaxBody}
}
