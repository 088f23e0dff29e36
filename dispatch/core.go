package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/clock"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/limits"
	"quincerail.example/quincerail/policy"
)

// Options are what a core is made of. Settings and Classes are required.
type Options struct {
	Settings         decision.Settings
	Classes          []string // names, in the order of the settings
	Tenants          []string // likewise; nil where the settings have none
	Seed             int64
	Backend          Backend     // for requests that name none
	Machine          Machine     // nil: no gauges, and deep health checks report the module's view
	Dependency       Dependency  // nil: downstream calls fail to connect
	Registrar        Registrar   // may be nil
	Connections      Connections // may be nil
	MaxKeyTableBytes int         // bound on the key table with its results; 0 for none

	// Journal makes states of keys durable; nil keeps them in memory only. A keyed run
	// begins once its claim is durable.
	Journal Journal
	// RecoveredKeys is what a journal held at the start. A run that began and has no
	// recorded end is in doubt: it is not run again, and its retries fail.
	RecoveredKeys []KeyState
	// InDoubtUntil is set where a journal lost records: until then, a key that the table
	// does not know may have run, and an attempt of it fails.
	InDoubtUntil time.Time
	// Pools, if not nil, bound the runs of each class below the module, with limits that
	// adapt (package limits).
	Pools *PoolOptions
	// Logger takes the log events; nil for slog.Default().
	Logger *slog.Logger
	// Observer gets each final answer; may be nil.
	Observer Observer
	// Monitor counts violations of the rules, and what was denied to keep them; may be nil.
	Monitor *guard.Monitor
}

// PoolOptions are what the pools are made of.
type PoolOptions struct {
	CheapestClass string
	ReservedSlots int // for the cheapest class alone
	InitialLimit  float64
}

// Core carries out the decisions of the decision module. Its methods may be called from
// any goroutine while Run works.
type Core struct {
	options         Options
	initialClasses  map[string]bool // names of the classes that were there from the start
	clock           *clock.Clock
	log             *slog.Logger
	stallDetector   stallDetector
	currentSettings atomic.Pointer[settingsTable] // for Submit; Run's goroutine replaces it
	loadReport      atomic.Pointer[float64]       // nil where the settings have none
	inFlight        atomic.Int64                  // requests handed in and not yet answered
	loop            eventLoop

	// All below belongs to Run's goroutine.

	now         time.Duration // of the batch, on the clock's timeline
	settings    decision.Settings
	module      *policy.Instance // nil until the backend is ready
	gauges      decision.Gauges  // as read last
	fleetBounds *decision.FleetBounds
	attempts    map[string]*attempt // by id, from received to finished
	keys        *idempotency.Table
	pools       *limits.Pools // nil where the module alone bounds runs
	health      healthState
	replication replicationState
	drain       drainState

	onTransition func(a *attempt, from, to attemptState) // set by tests only
}

// New makes a core. The error names the setting that is invalid.
func New(opt Options) (*Core, error) {
	c := &Core{
		options: opt, initialClasses: make(map[string]bool), clock: clock.New(), log: opt.Logger, loop: newEventLoop(),
		gauges:   decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1},
		attempts: make(map[string]*attempt), keys: idempotency.NewTable(opt.MaxKeyTableBytes),
		health: healthState{healthy: true},
	}
	if c.log == nil {
		c.log = slog.Default()
	}
	if err := c.applySettings(opt.Settings, opt.Classes, opt.Tenants); err != nil {
		return nil, err
	}
	for _, name := range opt.Classes {
		c.initialClasses[name] = true
	}
	if err := c.createPools(); err != nil {
		return nil, err
	}
	c.recoverKeys()
	return c, nil
}

func (c *Core) createPools() (err error) {
	p := c.options.Pools
	if p == nil {
		return nil
	}
	cfg := limits.Config{ReservedSlots: p.ReservedSlots, InitialLimit: p.InitialLimit}
	for _, name := range c.options.Classes {
		cfg.Classes = append(cfg.Classes, limits.Class{Name: name, Cheapest: name == p.CheapestClass})
	}
	c.pools, err = limits.New(cfg)
	return err
}

// recoverKeys applies what a journal held.
func (c *Core) recoverKeys() {
	if !c.options.InDoubtUntil.IsZero() {
		c.replication.inDoubtUntil = c.clock.FromTime(c.options.InDoubtUntil)
	}
	now := c.clock.Now()
	for _, state := range c.options.RecoveredKeys {
		if expiresAt := c.clock.FromTime(state.ExpiresAt); expiresAt > now {
			state.Completed = true // a run without a recorded end has ended with its process
			c.keys.Apply(state, expiresAt)
		}
	}
}

// BackendReady reports that the backend came up so long ago, and whether it is cold. The
// module is created then: its slow start counts from there.
func (c *Core) BackendReady(cold bool, ago time.Duration) {
	c.notify(backendReady{cold, ago})
}

type backendReady struct {
	cold bool
	ago  time.Duration
}

func (e backendReady) apply(c *Core) {
	if c.module != nil {
		return
	}
	s := c.settings
	s.SlowStart = e.cold
	module, err := policy.New(s, c.options.Seed, host{c})
	if err != nil { // applySettings has tried the same settings
		c.log.Error("module_failed", "error", err.Error())
		return
	}
	c.module = module
	c.stallDetector.start()
	if c.fleetBounds != nil {
		c.module.SetFleetBounds(*c.fleetBounds)
	}
	c.module.Decide(c.now - e.ago)
	if c.drain.draining {
		c.module.Drain(c.drain.noticeAt, c.drain.stopAt)
	}
}

// SetFleetBounds has the module keep to this server's part of what its fleet shares.
// reportDemand gets how many calls are in flight or waited for, whatever the bounds; it is
// called by Run's goroutine, as FleetBounds.AcquireRetry is, and must not block.
func (c *Core) SetFleetBounds(b decision.FleetBounds, reportDemand func(calls int)) error {
	return c.enqueue(fleetBoundsSet{b, reportDemand})
}

type fleetBoundsSet struct {
	bounds       decision.FleetBounds
	reportDemand func(calls int)
}

func (e fleetBoundsSet) apply(c *Core) {
	c.fleetBounds = &e.bounds
	if c.module != nil {
		e.reportDemand(c.module.SetFleetBounds(e.bounds))
	}
}

// host carries out the module's actions: it implements decision.Host. Its methods are in
// the files of the stages that they belong to.
type host struct{ *Core }

// SetIdleTimeout sets how long connections may idle.
func (h host) SetIdleTimeout(after time.Duration) {
	if h.options.Connections != nil {
		h.options.Connections.SetIdleTimeout(after)
	}
}

// Log writes an event of the module to the log, under the event's name.
func (h host) Log(event decision.Event) {
	//nolint:sloglint // the message is the event's name, a constant of package decision
	h.log.LogAttrs(context.Background(), slog.LevelInfo, event.Name(), event.Attributes()...)
}
