package dispatch

import (
	"context"
	"errors"
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

const (
	mailboxCapacity  = 1024                  // events that wait; more hold up the connections that bring them
	maxGaugeWait     = 20 * time.Millisecond // a tick does not wait longer for its gauges
	maxDeepCheckWait = time.Second           // nor a deep health check for its work
	drainNoticeDelay = 30 * time.Millisecond // a crowded core may see the notice to leave so much later
	stopMargin       = 250 * time.Millisecond
	minLoggedStall   = 250 * time.Millisecond // a stall from which on it is logged
)

// ErrStopped is given to what comes after the core has ended.
var ErrStopped = errors.New("stopped")

// Options are what a core is made of. Settings and Classes are required.
type Options struct {
	Settings         decision.Settings
	Classes          []string // names, in the order of the settings
	Tenants          []string // likewise; nil where the settings have none
	Seed             int64
	Backend          Backend     // for requests that name none
	Machine          Machine     // nil: no gauges, and deep checks go by the module alone
	Dependency       Dependency  // nil: calls can't be made
	Registrar        Registrar   // may be nil
	Connections      Connections // may be nil
	MaxKeyTableBytes int         // of kept results; 0 for no bound

	// Journal keeps what the table of keys knows beyond the process; nil keeps it
	// in memory only. A keyed run begins once its claim is durable there.
	Journal Journal
	// RecoveredKeys is what a journal held at the start: learnt before any request.
	// A run that began and was not told to end is in doubt: it is not run again,
	// and its repeats fail.
	RecoveredKeys []KeyState
	// InDoubtUntil is set where a journal lost records: until then, a key that the
	// table does not know may have run, and a try of it fails.
	InDoubtUntil time.Time
	// Pools, where not nil, bound the runs of each class below the module, with
	// limits that adapt (package limits); the classes are those of Settings,
	// and Cheapest names the one that the reserve is for.
	Pools *PoolOptions
	// Logger takes what the core has to say: no line a request but for faults;
	// nil for slog.Default().
	Logger *slog.Logger
	// Observer, where not nil, is told of each final answer, for metrics.
	Observer Observer
	// Monitor counts broken rules, and what was denied to keep them; may be nil.
	Monitor *guard.Monitor
}

// RemovedClass stands for the class of a request that came under a class which new
// settings no longer have, where answers are counted.
const RemovedClass = "(dropped)"

// Observer is told of each final answer: the class by its name, or DroppedClass, the
// kind, and how long after the request came; repeat tells an answer that was another
// try's result. Its method must not block.
type Observer interface {
	ObserveResponse(class string, kind OutcomeKind, took time.Duration, repeat bool)
}

// PoolOptions are what the pools are made of.
type PoolOptions struct {
	CheapestClass string // class
	ReservedSlots int    // slots for it alone
	InitialLimit  float64
}

// Core carries out the module's decisions. Its methods may be called from any
// goroutine while Run works; they only leave events.
type Core struct {
	options         Options
	initialClasses  map[string]bool               // names of the classes that were there from the start
	currentSettings atomic.Pointer[settingsTable] // for those that hand in; Run's goroutine replaces it
	events          chan func()
	done            chan struct{}
	clock           *clock.Clock
	stallDetector   stallDetector

	inDoubtUntil time.Duration // Options.InDoubtUntil

	// All below belongs to Run's goroutine.
	settings        decision.Settings // in force
	module          *policy.Instance
	now             time.Duration // of the batch, on the clock's timeline
	attempts        map[string]*attempt
	keys            *idempotency.Table
	deferredEvents  []func() // events that the module's own actions bring
	gauges          decision.Gauges
	bounds          *decision.FleetBounds   // of a fleet; nil for none
	loadReport      atomic.Pointer[float64] // the free value that callers are told; nil where there is none
	healthy         bool                    // health as the module sets it
	healthCached    bool                    // checks are answered from it alone
	trafficDisabled bool                    // operators have its callers sent away
	peer            Peer                    // nil where this process is alone
	predecessor     bool                    // the peer was there first
	pendingKeys     []*idempotency.Entry    // keys that a peer which has just come has not been told of
	idle            chan struct{}           // closed once nothing is open; nil where nobody waits for that
	draining        bool
	stallHoldUntil  time.Duration // nothing is begun before: a notice to leave may not have been seen yet
	drainNoticeAt   time.Duration // when the notice to leave came at the earliest
	graceEnd        time.Duration // of the drain
	stopAt          time.Duration
	pools           *limits.Pools // nil where runs are bound by the module alone
	log             *slog.Logger
	onTransition    func(a *attempt, from, to attemptState) // set by tests only
	inFlight        atomic.Int64                            // requests handed in and not yet answered, for Open
}

// InFlight is the number of requests handed in and not answered yet. It may be
// called from any goroutine.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// New makes a core. The error names the setting that makes no sense.
func New(opt Options) (*Core, error) {
	c := &Core{
		options: opt, initialClasses: make(map[string]bool), events: make(chan func(), mailboxCapacity),
		done: make(chan struct{}), clock: clock.New(), attempts: make(map[string]*attempt), keys: idempotency.NewTable(opt.MaxKeyTableBytes), healthy: true,
		gauges: decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}, log: opt.Logger,
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
	if p := opt.Pools; p != nil {
		cfg := limits.Config{ReservedSlots: p.ReservedSlots, InitialLimit: p.InitialLimit}
		for _, name := range opt.Classes {
			cfg.Classes = append(cfg.Classes, limits.Class{Name: name, Cheapest: name == p.CheapestClass})
		}
		var err error
		if c.pools, err = limits.New(cfg); err != nil {
			return nil, err
		}
	}
	if !opt.InDoubtUntil.IsZero() {
		c.inDoubtUntil = c.clock.At(opt.InDoubtUntil)
	}
	now := c.clock.Now()
	for _, k := range opt.RecoveredKeys {
		if till := c.clock.At(k.ExpiresAt); till > now {
			k.Completed = true // what ran and was not told to end ended unheard of
			c.keys.Apply(k, till)
		}
	}
	return c, nil
}

// Run takes events until ctx ends. All that are ready form one batch, after
// which the module decides once.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			c.advanceClock()
			event()
		}
		for ready := true; ready; {
			select {
			case event := <-c.events:
				event()
			default:
				ready = false
			}
		}
		c.decide()
	}
}

// Done is closed when Run has ended.
func (c *Core) Done() <-chan struct{} { return c.done }

// decide lets the module settle the batch, and again what that itself brought.
func (c *Core) decide() {
	for c.module != nil {
		c.module.Decide(c.now)
		if len(c.deferredEvents) == 0 {
			break
		}
		events := c.deferredEvents
		c.deferredEvents = nil
		for _, event := range events {
			event()
		}
	}
	c.keys.Expire(c.now)
	if c.idle != nil && len(c.attempts) == 0 {
		close(c.idle)
		c.idle = nil
	}
}

// enqueue leaves an event for Run.
func (c *Core) enqueue(event func()) error {
	select {
	case <-c.done: // even if there is room: nobody would take it
		return ErrStopped
	default:
	}
	select {
	case c.events <- event:
		return nil
	case <-c.done:
		return ErrStopped
	}
}

// BackendReady tells that the backend came up so long ago, and whether cold. The
// module is born then: how warm it takes the cores to be counts from there.
func (c *Core) BackendReady(cold bool, ago time.Duration) {
	c.enqueue(func() {
		if c.module != nil {
			return
		}
		s := c.settings
		s.SlowStart = cold
		module, err := policy.New(s, c.options.Seed, host{c})
		if err != nil { // New has tried the same settings
			c.log.Error("module_failed", "error", err.Error())
			return
		}
		c.module = module
		c.stallDetector.start()
		if c.bounds != nil {
			c.module.SetFleetBounds(*c.bounds)
		}
		c.module.Decide(c.now - ago)
		if c.draining {
			c.module.Drain(c.drainNoticeAt, c.stopAt)
		}
	})
}

// SetFleetBounds has the module keep to this server's part of what its fleet shares, and
// tells how many calls it has in hand or would make if it might; wanted is called
// by Run's goroutine and must not block. Bounds.Repeat is called by it too.
func (c *Core) SetFleetBounds(b decision.FleetBounds, wanted func(calls int)) error {
	return c.enqueue(func() {
		c.bounds = &b
		if c.module != nil {
			wanted(c.module.SetFleetBounds(b))
		}
	})
}

// scheduleTick arranges the module's timer; it comes with the gauges of the moment, or
// with the last ones if the machine is slow to tell.
func (c *Core) scheduleTick(after time.Duration, token int64) {
	time.AfterFunc(after, func() {
		c.enqueue(func() {
			c.respondOverdue()
			if c.options.Machine == nil {
				c.module.Tick(c.now, token, c.gauges)
				return
			}
			ticked := false
			tick := func() {
				if !ticked {
					ticked = true
					c.module.Tick(c.now, token, c.gauges)
				}
			}
			late := time.AfterFunc(maxGaugeWait, func() { c.enqueue(tick) })
			c.options.Machine.ReadGauges(func(g decision.Gauges) {
				late.Stop()
				c.enqueue(func() { c.gauges = g; tick() })
			})
		})
	})
}

// CheckHealth answers a health check: at once from the module's word, or a deep one
// by a trial of the machine where the module has not settled it.
func (c *Core) CheckHealth(deep bool, reply func(good bool)) error {
	return c.enqueue(func() {
		if !deep || c.healthCached || !c.ready() || c.options.Machine == nil {
			reply(c.ready())
			return
		}
		answered := false
		once := func(good bool) {
			c.enqueue(func() {
				if !answered {
					answered = true
					reply(good && c.ready())
				}
			})
		}
		late := time.AfterFunc(maxDeepCheckWait, func() { once(false) })
		c.options.Machine.CheckHealth(func(good bool) { late.Stop(); once(good) })
	})
}

// Drain takes in the notice to leave, which came at a time at the earliest
// (NoticeTime): the process is stopped at another, and all is answered a margin before
// that. From the grace after the notice on, nothing that is read is begun.
func (c *Core) Drain(notice, stopAt time.Time) {
	c.enqueue(func() {
		if c.draining {
			return
		}
		c.draining, c.drainNoticeAt, c.stopAt = true, c.clock.At(notice), c.clock.At(stopAt.Add(-stopMargin))
		c.graceEnd = c.drainNoticeAt + c.settings.DrainGrace
		if c.module == nil {
			c.setHealth(false, true)
			return
		}
		c.module.Drain(c.drainNoticeAt, c.stopAt)
	})
}

func (c *Core) setHealth(on, stored bool) {
	c.healthy, c.healthCached = on, stored
	c.reportToRegistrar()
}

// acceptsTraffic tells whether callers are to come whatever this server's health: not before
// anything can run here.
func (c *Core) acceptsTraffic() bool { return c.module != nil && !c.trafficDisabled && !c.draining }

// ready tells whether callers are to come.
func (c *Core) ready() bool { return c.healthy && c.acceptsTraffic() }

// reportToRegistrar tells the list whether callers are to come. Where that does not follow a
// server's health, it knows only whether the server runs or drains.
func (c *Core) reportToRegistrar() {
	if c.options.Registrar != nil {
		c.options.Registrar.SetAccepting(c.acceptsTraffic() && (c.healthy || !c.settings.ListFollowsHealth))
	}
}

// LoadReport gives the free value that rides on answers and health checks, as its module
// set it last; ok is false where the settings have none. It may be called from any
// goroutine.
func (c *Core) LoadReport() (value float64, ok bool) {
	if v := c.loadReport.Load(); v != nil {
		return *v, true
	}
	return 0, false
}

// SetTrafficDisabled has callers told to stay away, or to come again, whatever the module
// says of its health. What still comes is served as ever.
func (c *Core) SetTrafficDisabled(on bool, done func()) error {
	return c.enqueue(func() {
		c.setTrafficDisabled(on)
		if c.peer != nil {
			c.peer.SetTrafficDisabled(on)
		}
		done()
	})
}

func (c *Core) setTrafficDisabled(on bool) {
	if c.trafficDisabled != on {
		c.trafficDisabled = on
		c.log.Info("away", "on", on)
		c.reportToRegistrar()
	}
}

// Ready tells whether requests can be run here.
func (c *Core) Ready(reply func(ready bool)) error {
	return c.enqueue(func() { reply(c.module != nil && !c.draining) })
}
