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

// Options configure a core. Settings and Classes are required.
type Options struct {
	Settings         decision.Settings
	Classes          []string // names of Settings.Classes, in their order
	Tenants          []string // names of Settings.Tenants, in their order; nil if there are none
	Seed             int64
	Backend          Backend     // runs requests that have no backend of their own
	Machine          Machine     // nil for no gauges and no deep health checks
	Dependency       Dependency  // if nil, all downstream calls end with decision.ConnectFailed
	Registrar        Registrar   // may be nil
	Connections      Connections // may be nil
	MaxKeyTableBytes int         // bound on the key table including its results; 0 for none
	MailboxCapacity  int         // queued events before senders block; 0 for the default, negative for an unbuffered mailbox

	// Journal makes key states durable; nil keeps them in memory only. A keyed run starts
	// only after its claim is durable.
	Journal Journal
	// RecoveredKeys are the key states that the journal held at the start. A run without a
	// recorded end is in doubt: it does not run again, and its retries fail.
	RecoveredKeys []KeyState
	// InDoubtUntil is set if the journal has lost records. Until then, a key that the table
	// does not know may have run, and attempts of it fail.
	InDoubtUntil time.Time
	// Pools, if not nil, limit the concurrent runs of each class in addition to the module.
	// Their limits adapt to the measured latency (package limits).
	Pools *PoolOptions
	// Logger receives the log events; nil for slog.Default().
	Logger *slog.Logger
	// Observer gets each final answer; may be nil.
	Observer Observer
	// Monitor counts violations of the guard's rules and denials; may be nil.
	Monitor *guard.Monitor
}

// PoolOptions configure the pools.
type PoolOptions struct {
	CheapestClass string
	ReservedSlots int     // slots that only the cheapest class may use
	InitialLimit  float64 // of each pool, in slots
}

// Core executes the decisions of the decision module. Its methods may be called from any
// goroutine.
type Core struct {
	options         Options
	initialClasses  map[string]bool // names of the classes that the core was created with
	clock           *clock.Clock
	log             *slog.Logger
	stallDetector   stallDetector
	currentSettings atomic.Pointer[settingsTable] // read by Submit; only the goroutine of Core.Run replaces it
	loadReport      atomic.Pointer[float64]       // nil if there is no load value
	inFlight        atomic.Int64                  // requests received and not yet answered
	loop            eventLoop

	// Only the goroutine of Core.Run uses the fields below.

	now         time.Duration // time of the current batch on the clock's timeline
	settings    decision.Settings
	module      *policy.Instance // nil until the backend is ready
	gauges      decision.Gauges  // the latest reading
	fleetBounds *decision.FleetBounds
	attempts    map[string]*attempt // by id, from received to finished
	keys        *idempotency.Table
	pools       *limits.Pools // nil if only the module limits concurrent runs
	health      healthState
	replication replicationState
	drain       drainState

	onTransition func(a *attempt, from, to attemptState) // called by transition; only tests set it
}

// New creates a core, which processes events once Run is called. Its error names the
// invalid setting.
func New(opt Options) (*Core, error) {
	c := &Core{
		options: opt, initialClasses: make(map[string]bool), clock: clock.New(), log: opt.Logger, loop: newEventLoop(opt.MailboxCapacity),
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

// recoverKeys puts the key states that the journal held into the table.
func (c *Core) recoverKeys() {
	if !c.options.InDoubtUntil.IsZero() {
		c.replication.inDoubtUntil = c.clock.FromTime(c.options.InDoubtUntil)
	}
	now := c.clock.Now()
	for _, state := range c.options.RecoveredKeys {
		if expiresAt := c.clock.FromTime(state.ExpiresAt); expiresAt > now {
			state.Completed = true // a run without a recorded end ended with its process
			c.keys.Apply(state, expiresAt)
		}
	}
}

// BackendReady reports how long ago the backend became ready, and whether it is cold.
// It creates the module; the slow start of a cold backend counts from when it became ready.
// Further calls have no effect.
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
	if err != nil { // unexpected: applySettings has validated the same settings
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

// SetFleetBounds limits the module to this server's share of the fleet's resources.
// reportDemand gets the number of calls that are in flight or waiting, regardless of the
// bounds. It is not called before the backend is ready. reportDemand and
// FleetBounds.AcquireRetry are called on the goroutine of [Core.Run] and must not block.
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

// host implements decision.Host, the actions of the module. Each method is in the file of
// the stage that it belongs to.
type host struct{ *Core }

// SetIdleTimeout sets how long connections may be idle before they are closed.
func (h host) SetIdleTimeout(after time.Duration) {
	if h.options.Connections != nil {
		h.options.Connections.SetIdleTimeout(after)
	}
}

// Log writes an event of the module to the log; the message is the event's name.
func (h host) Log(event decision.Event) {
	//nolint:sloglint // the message is the event's name, a constant of package decision
	h.log.LogAttrs(context.Background(), slog.LevelInfo, event.Name(), event.Attributes()...)
}
