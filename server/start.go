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
	// keyTableMemoryDivisor is the part of the process's memory, one in so many, that the
	// table of idempotency keys may take.
	keyTableMemoryDivisor = 8

	// keysSyncNever is the value of Config.KeysSync that leaves syncing to the operating
	// system.
	keysSyncNever = "never"

	// keyWindowSlack is how much longer than its window a key is kept.
	keyWindowSlack = time.Second
)

// Start starts a server. The uwsgi front is off where uwsgiFile is nil. Callers are let in
// when Start returns, or, where the listening socket is inherited, once the predecessor's
// keys are known. After an error nothing is left running; where an address can't be listened
// on, the error is a *config.KeyError.
func Start(c *config.Config, uwsgiFile *config.UWSGI) (*Server, error) {
	s := newServer(c)
	if err := s.prepare(c, uwsgiFile); err != nil {
		s.abandonStart()
		return nil, err
	}
	s.run(c)
	return s, nil
}

// newServer makes the parts that can't fail.
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
		rules:       &match.Rules{},
		idleTimeout: &idleTimeout{},
		fromFile:    c,
	}
	s.lifetime, s.stop = context.WithCancel(context.Background())
	s.reporting, s.stopReporting = context.WithCancel(s.lifetime)
	s.inForce.Store(c)
	s.idleTimeout.SetIdleTimeout(c.Settings.MaxIdleTime)
	if c.Rules != nil {
		s.rules.Replace(c.Rules)
	}
	s.createObservers(c)
	return s
}

// createObservers makes the parts that count answers.
func (s *Server) createObservers(c *config.Config) {
	if c.MetricsAddress != "" {
		s.recorder = metrics.NewRecorder()
		s.recorder.SetClasses(c.Classes)
		s.recorder.ObserveRules(s.monitor)
	}
	if c.Fleet != nil && c.Fleet.RolloutWindow > 0 {
		s.outcomes = &outcomeCounter{}
		s.outcomes.setObjectives(c.Classes, c.Settings)
	}
}

// prepare makes the parts that can fail, each after those that it needs, and opens the
// listeners. From the outside only the fleet's messages and the operators' HTTP requests are
// taken yet.
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
	if err := s.openPlatformFront(c); err != nil {
		return err
	}
	if err := s.openCommands(c); err != nil {
		return err
	}
	if err := s.openUWSGIFront(c, uwsgiFile); err != nil {
		return err
	}
	if err := s.openMetrics(c); err != nil {
		return err
	}
	return s.openOperators(c)
}

// abandonStart ends what prepare has started before it failed: the fleet's goroutines, the
// journal, and the listeners.
func (s *Server) abandonStart() {
	s.stop()
	if s.fleet != nil {
		s.fleet.Stop(0) // without waiting until the others know
	}
	s.closeJournal()
	s.closeListeners()
}

// openJournal opens the journal of idempotency keys, if there is one, and returns what it
// recovered.
func (s *Server) openJournal(c *config.Config) (recovered journal.Recovered, err error) {
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

// longestKeyWindow returns how long a key is kept at most, in any class.
func longestKeyWindow(settings decision.Settings) time.Duration {
	var longest time.Duration
	for _, class := range settings.Classes {
		longest = max(longest, class.KeyWindow)
	}
	return longest + keyWindowSlack
}

// joinFleet starts this process's part in its fleet, if it is in one.
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
		s.recorder.ObserveFleet(member)
	}
	return nil
}

// createCore makes the core and connects it with the parts around it.
func (s *Server) createCore(c *config.Config, recovered journal.Recovered) error {
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

// quotaLimiter limits calls to this process's part of the fleet's quota; nil where there
// is none.
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

// attachCore tells the parts around the core where their events go.
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

// openPlatformFront opens the front for balancers.
func (s *Server) openPlatformFront(c *config.Config) error {
	options := thrift.Options{Core: s.core, Rules: s.rules, Log: s.log, Monitor: s.monitor}
	if s.recorder != nil {
		options.Observer = s.recorder
	}
	s.thrift = thrift.New(options)
	l, err := listenOrInherit(s.lifetime, c)
	if err != nil {
		return err
	}
	s.addFront(listenKey, l, connectionLimit(c, platformDescriptorShare), s.thrift)
	return nil
}

// openUWSGIFront opens the uwsgi front, if there is one.
func (s *Server) openUWSGIFront(c *config.Config, file *config.UWSGI) error {
	if file == nil {
		return nil
	}
	s.uwsgiListen = file.Listen
	s.uwsgiBackend = backend.NewUWSGI(s.core, file.Backend)
	s.uwsgi = uwsgi.New(uwsgi.Options{Core: s.core, Backend: s.uwsgiBackend, Rules: s.rules, Config: uwsgiConfig(file)})
	l, err := listen(s.lifetime, uwsgiListenKey, file.Listen)
	if err != nil {
		return err
	}
	s.addFront(uwsgiListenKey, l, connectionLimit(c, uwsgiDescriptorShare), s.uwsgi)
	return nil
}

// uwsgiConfig returns what the uwsgi front needs of its file.
func uwsgiConfig(file *config.UWSGI) uwsgi.Config {
	return uwsgi.Config{Routes: file.RouteTable(), HealthPath: file.HealthPath, MaxBodyBytes: file.MaxBody}
}

// run starts the parts' goroutines. The listeners of the fronts are served by openToCallers.
func (s *Server) run(c *config.Config) {
	if s.commands != nil {
		go serve(s.commands)
	}
	go s.core.Run(s.lifetime)
	go s.processor.Run(s.lifetime)
	go s.closeIdleConnections()
	if c.ListenFD == 0 {
		s.openToCallers(c)
	} else {
		s.enter(stateTakingOver)
		s.handover = handover.NewEndpoint(s.core, c.Name, s.log)
		go s.takeOver(c)
	}
	if s.outcomes != nil { // made only in a fleet with rollouts
		s.fleet.SetRolloutTarget(fleetTarget{s.outcomes, s})
	}
}

// openToCallers lets callers in, unless the server has stopped.
func (s *Server) openToCallers(c *config.Config) {
	if s.lifetime.Err() != nil {
		return
	}
	go s.registrar.Run(s.reporting, c.DiscoveryAddress)
	for _, l := range s.listeners {
		go serve(l.server)
		s.log.Info("listening", "name", c.Name, "address", l.server.Addr().String())
	}
	s.enter(stateServing)
}

// takeOver lets callers in once the keys of the process that serves on the same socket are
// known, if there is one. When that process has ended, the next one may take over from
// this.
func (s *Server) takeOver(c *config.Config) {
	predecessor, err := s.handover.Connect(s.lifetime)
	if err != nil && s.markKeysInDoubt(c) != nil {
		return // the core has stopped, and the server with it
	}
	if predecessor != nil {
		s.serveBeside(predecessor, c)
	} else {
		s.openToCallers(c)
	}
	s.awaitSuccessor()
}

// markKeysInDoubt has requests fail whose keys are not known here: they may have run in a
// predecessor whose keys are unknown, and may run there until it is killed. The error
// reports that the core has stopped.
func (s *Server) markKeysInDoubt(c *config.Config) error {
	predecessorKilled := time.Now().Add(c.KillDelay())
	return s.core.MarkUnknownKeysInDoubt(predecessorKilled.Add(longestKeyWindow(c.Settings)))
}

// serveBeside lets callers in, and returns when the predecessor has ended. Until then the
// connections of both count.
func (s *Server) serveBeside(predecessor *handover.Peer, c *config.Config) {
	platform := s.listeners[0].server
	platform.SetLimit(connectionLimit(c, platformDescriptorShareBeside))
	s.openToCallers(c)
	<-predecessor.Ended()
	platform.SetLimit(connectionLimit(c, platformDescriptorShare))
}

// awaitSuccessor lets a successor connect until the server stops. Where that is not
// possible the server goes on: a successor will not know its keys.
func (s *Server) awaitSuccessor() {
	server, err := s.handover.Listen(s.lifetime)
	if err != nil {
		s.log.Warn("handover_failed", "error", err.Error())
		return
	}
	defer context.AfterFunc(s.lifetime, server.Close)()
	serve(server)
}
