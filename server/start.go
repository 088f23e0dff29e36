package server

import (
	"context"
	"log/slog"
	"time"

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
	"quincerail.example/quincerail/store"
)

const (
	// keyTableMemoryDivisor bounds the table of idempotency keys: it may use the process's
	// memory divided by this number.
	keyTableMemoryDivisor = 8

	// keysSyncNever is the value of Config.KeysSync that leaves syncing to the operating
	// system.
	keysSyncNever = "never"

	// keyWindowSlack is the time for which a key is kept after its window.
	keyWindowSlack = time.Second
)

// mailboxCapacity is dispatch.Options.MailboxCapacity. Only tests change it.
var mailboxCapacity = 0

// Start starts a server. If uwsgiFile is nil, the uwsgi frontend is off. Callers can connect
// when Start returns or, if the listening socket is inherited, once the predecessor's keys are
// known. After an error nothing is left running. The error is a *config.KeyError if listening
// on an address fails.
func Start(c *config.Config, uwsgiFile *config.UWSGI) (*Server, error) {
	s := newServer(c)
	if err := s.prepare(c, uwsgiFile); err != nil {
		s.abandonStart()
		return nil, err
	}
	s.run(c)
	return s, nil
}

// newServer creates the server and the parts whose creation can't fail.
func newServer(c *config.Config) *Server {
	log := c.Logger
	if log == nil {
		log = slog.Default()
	}
	s := &Server{
		log:         log,
		monitor:     guard.NewMonitor(log),
		processor:   backend.NewProcessor(c.ProcessorAddress, c.Gauges, log),
		dependency:  downstream.NewPool(c.DependencyAddress),
		registrar:   discovery.NewRegistrar(c.Name, log),
		rules:       &match.ActiveRules{},
		idleTimeout: &idleTimeout{},
		fileConfig:  c,
	}
	s.lifetimeCtx, s.stop = context.WithCancel(context.Background())
	s.reportingCtx, s.stopReporting = context.WithCancel(s.lifetimeCtx)
	s.activeConfig.Store(c)
	s.idleTimeout.SetIdleTimeout(c.Settings.MaxIdleTime)
	if c.Rules != nil {
		s.rules.Replace(c.Rules)
	}
	s.createObservers(c)
	s.createInputBudget(c)
	return s
}

// createObservers creates the observers of answers that the configuration turns on.
func (s *Server) createObservers(c *config.Config) {
	if c.MetricsAddress != "" {
		s.recorder = metrics.NewRecorder()
		s.recorder.SetClasses(c.Classes)
		s.recorder.RegisterRules(s.monitor)
	}
	if c.Fleet != nil && c.Fleet.RolloutWindow > 0 {
		s.outcomes = &outcomeCounter{}
		s.outcomes.setObjectives(c.Classes, c.Settings)
	}
}

// prepare creates the parts whose creation can fail, each after the parts that it needs, and
// opens the listeners. Until run is called, the process serves only the fleet's messages,
// /metrics and the operators' HTTP requests.
func (s *Server) prepare(c *config.Config, uwsgiFile *config.UWSGI) error {
	recovered, err := s.openJournal(c)
	if err != nil {
		return err
	}
	if err := s.joinFleet(c); err != nil {
		return err
	}
	if err := s.createCore(c, recovered); err != nil {
		return err
	}
	if err := s.openThriftFrontend(c); err != nil {
		return err
	}
	if err := s.openCommands(c); err != nil {
		return err
	}
	if err := s.openUWSGIFrontend(c, uwsgiFile); err != nil {
		return err
	}
	if err := s.openMetrics(c); err != nil {
		return err
	}
	return s.openOperators(c)
}

// abandonStart stops the fleet's goroutines and closes the journal and the listeners after
// prepare has failed.
func (s *Server) abandonStart() {
	s.stop()
	if s.fleet != nil {
		s.fleet.Stop(0) // does not wait until the leases are released
	}
	s.closeJournal()
	s.closeListeners()
}

// openJournal opens the journal of idempotency keys, if the configuration has its directory,
// and returns the recovered keys.
func (s *Server) openJournal(c *config.Config) (recovered journal.RecoveredState, err error) {
	if c.KeysDir == "" {
		return recovered, nil
	}
	sync := store.SyncAlways
	if c.KeysSync == keysSyncNever {
		sync = store.SyncNever
	}
	opened, recovered, err := journal.Open(journal.Options{
		Dir:           c.KeysDir,
		Sync:          sync,
		LongestWindow: longestKeyWindow(c.Settings),
		Logger:        s.log,
	})
	if err != nil {
		return recovered, err
	}
	s.journal = opened
	return recovered, nil
}

func (s *Server) closeJournal() {
	if s.journal == nil {
		return
	}
	if err := s.journal.Close(); err != nil {
		s.log.Warn("keys_close_failed", "error", err.Error())
	}
}

// longestKeyWindow returns the longest time for which a key of any class is kept.
func longestKeyWindow(settings decision.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.KeyWindow)
	}
	return longest + keyWindowSlack
}

// joinFleet starts this process's membership in its fleet, if it is in one.
func (s *Server) joinFleet(c *config.Config) error {
	if c.Fleet == nil {
		return nil
	}
	member, err := fleet.Start(*c.Fleet)
	if err != nil {
		return err
	}
	s.fleet = member
	if s.recorder != nil {
		s.recorder.RegisterFleet(member)
	}
	return nil
}

// createCore creates the core and connects it with the other parts.
func (s *Server) createCore(c *config.Config, recovered journal.RecoveredState) error {
	options := dispatch.Options{
		Settings:         c.Settings,
		Classes:          c.Classes,
		Tenants:          c.Tenants,
		Seed:             c.Seed,
		Logger:           s.log,
		Monitor:          s.monitor,
		Observer:         s.observer(),
		Backend:          s.processor,
		Machine:          s.processor,
		Dependency:       s.dependency,
		Registrar:        s.registrar,
		Connections:      s.idleTimeout,
		MaxKeyTableBytes: c.MemoryMB * bytesPerMB / keyTableMemoryDivisor,
		RecoveredKeys:    recovered.States,
		InDoubtUntil:     recovered.InDoubtUntil,
		MailboxCapacity:  mailboxCapacity,
	}
	if s.journal != nil {
		options.Journal = s.journal
	}
	limiter := s.quotaLimiter(c)
	if limiter != nil {
		options.Dependency = limiter
	}
	core, err := dispatch.New(options)
	if err != nil {
		return err
	}
	s.core = core
	s.attachCore(limiter)
	return nil
}

// quotaLimiter returns a limiter that keeps downstream calls within this process's rights to
// the fleet's quota of calls. It returns nil if there is no such quota.
func (s *Server) quotaLimiter(c *config.Config) *downstream.QuotaLimiter {
	if s.fleet == nil {
		return nil
	}
	calls := s.fleet.QuotaAgent(fleet.CallQuota)
	if calls == nil {
		return nil
	}
	return downstream.NewQuotaLimiter(s.dependency, calls, func() time.Duration { return c.Settings.AbandonedCallDuration })
}

// attachCore connects the other parts to the core, which receives their events. The outcomes
// of downstream calls go through the limiter if there is one.
func (s *Server) attachCore(limiter *downstream.QuotaLimiter) {
	s.processor.Attach(s.core)
	if limiter != nil {
		limiter.Attach(s.core)
		s.dependency.Attach(limiter)
	} else {
		s.dependency.Attach(s.core)
	}
	if s.fleet != nil {
		downstream.ApplyFleetBounds(s.core, s.fleet)
	}
	if s.recorder != nil {
		s.recorder.SetCore(s.core)
	}
}

// openThriftFrontend opens the frontend for balancers.
func (s *Server) openThriftFrontend(c *config.Config) error {
	options := thrift.Options{Core: s.core, Rules: s.rules, Log: s.log, Monitor: s.monitor}
	if s.recorder != nil {
		options.Observer = s.recorder
	}
	s.thrift = thrift.New(options)
	l, err := listenOrInherit(s.lifetimeCtx, c)
	if err != nil {
		return err
	}
	s.addFrontend(listenKey, l, connectionLimit(c, platformDescriptorShare), s.thrift)
	return nil
}

// openUWSGIFrontend opens the uwsgi frontend, if it is on.
func (s *Server) openUWSGIFrontend(c *config.Config, file *config.UWSGI) error {
	if file == nil {
		return nil
	}
	s.uwsgiListen = file.Listen
	s.uwsgiBackend = backend.NewUWSGI(s.core, file.Backend)
	s.uwsgi = uwsgi.New(uwsgi.Options{Core: s.core, Backend: s.uwsgiBackend, Rules: s.rules, Config: uwsgiConfig(file)})
	l, err := listen(s.lifetimeCtx, uwsgiListenKey, file.Listen)
	if err != nil {
		return err
	}
	s.addFrontend(uwsgiListenKey, l, connectionLimit(c, uwsgiDescriptorShare), s.uwsgi)
	return nil
}

// uwsgiConfig returns the uwsgi frontend's configuration from its file.
func uwsgiConfig(file *config.UWSGI) uwsgi.Config {
	return uwsgi.Config{Routes: file.RouteTable(), HealthPath: file.HealthPath, MaxBodyBytes: file.MaxBody}
}

// run starts the parts' goroutines. startServing starts those of the frontends' listeners.
func (s *Server) run(c *config.Config) {
	if s.commandServer != nil {
		go serve(s.commandServer)
	}
	go s.core.Run(s.lifetimeCtx)
	go s.processor.Run(s.lifetimeCtx)
	go s.closeIdleConnections()
	go s.reportWithheld()
	if c.ListenFD == 0 {
		s.startServing(c)
	} else {
		s.enter(stateTakingOver)
		s.handover = handover.NewEndpoint(s.core, c.Name, s.log)
		go s.takeOver(c)
	}
	if s.outcomes != nil { // only in a fleet with rollouts
		s.fleet.SetRolloutTarget(fleetTarget{s.outcomes, s})
	}
}

// startServing starts to accept callers and to report to the discovery service, unless the
// server has stopped.
func (s *Server) startServing(c *config.Config) {
	if s.lifetimeCtx.Err() != nil {
		return
	}
	go s.registrar.Run(s.reportingCtx, c.DiscoveryAddress)
	for _, l := range s.listeners {
		go serve(l.server)
		s.log.Info("listening", "name", c.Name, "address", l.server.Addr().String())
	}
	s.enter(stateServing)
}

// takeOver starts to serve once the predecessor, the process that serves on the same socket,
// has replicated its keys, or at once if there is no predecessor. If the predecessor does not
// replicate its keys in time, requests whose keys are unknown fail. After the predecessor has
// disconnected, a successor may take over from this process.
func (s *Server) takeOver(c *config.Config) {
	predecessor, err := s.handover.Connect(s.lifetimeCtx)
	if err != nil && s.markKeysInDoubt(c) != nil {
		return // the core has stopped, so the server has stopped too
	}
	if predecessor != nil {
		s.serveWithPredecessor(predecessor, c)
	} else {
		s.startServing(c)
	}
	s.listenForSuccessor()
}

// markKeysInDoubt makes the core fail requests whose keys it does not know: they may have run
// in a predecessor that did not replicate its keys, and may run there until it is killed. The
// error reports that the core has stopped.
func (s *Server) markKeysInDoubt(c *config.Config) error {
	predecessorKilled := time.Now().Add(c.KillDelay())
	return s.core.MarkUnknownKeysInDoubt(predecessorKilled.Add(longestKeyWindow(c.Settings)))
}

// serveWithPredecessor starts to serve, and returns when the predecessor has disconnected.
// Until then the limit of connections is lower, because both processes accept connections.
func (s *Server) serveWithPredecessor(predecessor *handover.Peer, c *config.Config) {
	platform := s.listeners[0].server
	platform.SetLimit(connectionLimit(c, handoverDescriptorShare))
	s.startServing(c)
	<-predecessor.Disconnected()
	platform.SetLimit(connectionLimit(c, platformDescriptorShare))
}

// listenForSuccessor accepts the connection of a successor until the server stops. If it can't
// listen, the server continues to serve, but a successor will not know its keys.
func (s *Server) listenForSuccessor() {
	server, err := s.handover.Listen(s.lifetimeCtx)
	if err != nil {
		s.log.Warn("handover_failed", "error", err.Error())
		return
	}
	defer context.AfterFunc(s.lifetimeCtx, server.Close)()
	serve(server)
}
