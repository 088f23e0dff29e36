package routing

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/clock"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/limits"
	"quincerail.example/quincerail/policy"
)

const (
	mailbox      = 1024                  // events that wait; more hold up the connections that bring them
	gaugesWithin = 20 * time.Millisecond // a tick does not wait longer for its gauges
	trialWithin  = time.Second           // nor a deep health check for its work
	noticeLate   = 30 * time.Millisecond // a crowded core may see the notice to leave so much later
	stopMargin   = 250 * time.Millisecond
	stallLogged  = 250 * time.Millisecond // a stall from which on it is logged
)

// ErrStopped is given to what comes after the core has ended.
var ErrStopped = errors.New("stopped")

// Options are what a core is made of. Settings and Classes are required.
type Options struct {
	Settings    decision.Settings
	Classes     []string // names, in the order of the settings
	Tenants     []string // likewise; nil where the settings have none
	Seed        int64
	Backend     Backend     // for requests that name none
	Machine     Machine     // nil: no gauges, and deep checks go by the module alone
	Dependency  Dependency  // nil: calls can't be made
	Presence    Presence    // may be nil
	Connections Connections // may be nil
	KeyBytes    int         // of kept results; 0 for no bound

	// Journal keeps what the table of keys knows beyond the process; nil keeps it
	// in memory only. A keyed run begins once its claim is durable there.
	Journal Journal
	// Recovered is what a journal held at the start: learnt before any request.
	// A run that began and was not told to end is in doubt: it is not run again,
	// and its repeats fail.
	Recovered []KeyState
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

// DroppedClass stands for the class of a request that came under a class which new
// settings no longer have, where answers are counted.
const DroppedClass = "(dropped)"

// Observer is told of each final answer: the class by its name, or DroppedClass, the
// kind, and how long after the request came; repeat tells an answer that was another
// try's result. Its method must not block.
type Observer interface {
	Answered(class string, kind Kind, took time.Duration, repeat bool)
}

// PoolOptions are what the pools are made of.
type PoolOptions struct {
	Cheapest string // class
	Reserve  int    // slots for it alone
	Start    float64
}

// Journal keeps states of keys durably. Its method must not block; done is called
// once, from any goroutine, when the state is durable, or with the reason why
// it can't be.
type Journal interface {
	Record(k KeyState, done func(error))
}

// Core carries out the module's decisions. Its methods may be called from any
// goroutine while Run works; they only leave events.
type Core struct {
	opt    Options
	first  map[string]bool        // names of the classes that were there from the start
	tuned  atomic.Pointer[tuning] // for those that hand in; Run's goroutine replaces it
	events chan func()
	done   chan struct{}
	clock  *clock.Clock
	stalls stallWatch

	inDoubtUntil time.Duration // Options.InDoubtUntil

	// All below belongs to Run's goroutine.
	set       decision.Settings // in force
	module    *policy.Instance
	now       time.Duration // of the batch, on the clock's timeline
	attempts  map[string]*attempt
	keys      *keyTable
	followUps []func() // events that the module's own actions bring
	gauges    decision.Gauges
	bounds    *decision.Bounds        // of a fleet; nil for none
	said      atomic.Pointer[float64] // the free value that callers are told; nil where there is none
	fit       bool                    // health as the module sets it
	stored    bool                    // checks are answered from it alone
	away      bool                    // operators have its callers sent away
	peer      Peer                    // nil where this process is alone
	elder     bool                    // the peer was there first
	untold    []*entry                // keys that a peer which has just come has not been told of
	settled   chan struct{}           // closed once nothing is open; nil where nobody waits for that
	draining  bool
	holdUntil time.Duration // nothing is begun before: a notice to leave may not have been seen yet
	noticeAt  time.Duration // when the notice to leave came at the earliest
	graceEnd  time.Duration // of the drain
	stopAt    time.Duration
	pools     *limits.Pools // nil where runs are bound by the module alone
	log       *slog.Logger
	open      atomic.Int64 // requests handed in and not yet answered, for Open
}

// Open is the number of requests handed in and not answered yet. It may be
// called from any goroutine.
func (c *Core) Open() int64 { return c.open.Load() }

// New makes a core. The error names the setting that makes no sense.
func New(opt Options) (*Core, error) {
	c := &Core{
		opt: opt, first: make(map[string]bool), events: make(chan func(), mailbox),
		done: make(chan struct{}), clock: clock.New(), attempts: make(map[string]*attempt), keys: newKeyTable(opt.KeyBytes), fit: true,
		gauges: decision.Gauges{CoreUse: -1, OnCores: -1, Memory: -1, Conns: -1}, log: opt.Logger,
	}
	if c.log == nil {
		c.log = slog.Default()
	}
	if err := c.retune(opt.Settings, opt.Classes, opt.Tenants); err != nil {
		return nil, err
	}
	for _, name := range opt.Classes {
		c.first[name] = true
	}
	if p := opt.Pools; p != nil {
		cfg := limits.Config{Reserve: p.Reserve, Start: p.Start}
		for _, name := range opt.Classes {
			cfg.Classes = append(cfg.Classes, limits.Class{Name: name, Cheapest: name == p.Cheapest})
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
	for _, k := range opt.Recovered {
		if till := c.clock.At(k.Till); till > now {
			k.Over = true // what ran and was not told to end ended unheard of
			c.keys.learn(k, till)
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
			c.tick()
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
		if len(c.followUps) == 0 {
			break
		}
		events := c.followUps
		c.followUps = nil
		for _, event := range events {
			event()
		}
	}
	c.keys.expire(c.now)
	if c.settled != nil && len(c.attempts) == 0 {
		close(c.settled)
		c.settled = nil
	}
}

// post leaves an event for Run.
func (c *Core) post(event func()) error {
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

// Started tells that the backend came up so long ago, and whether cold. The
// module is born then: how warm it takes the cores to be counts from there.
func (c *Core) Started(cold bool, ago time.Duration) {
	c.post(func() {
		if c.module != nil {
			return
		}
		s := c.set
		s.Cold = cold
		module, err := policy.New(s, c.opt.Seed, host{c})
		if err != nil { // New has tried the same settings
			c.log.Error("module_failed", "error", err.Error())
			return
		}
		c.module = module
		c.stalls.start()
		if c.bounds != nil {
			c.module.Bound(*c.bounds)
		}
		c.module.Decide(c.now - ago)
		if c.draining {
			c.module.Drain(c.noticeAt, c.stopAt)
		}
	})
}

// Bound has the module keep to this server's part of what its fleet shares, and
// tells how many calls it has in hand or would make if it might; wanted is called
// by Run's goroutine and must not block. Bounds.Repeat is called by it too.
func (c *Core) Bound(b decision.Bounds, wanted func(calls int)) error {
	return c.post(func() {
		c.bounds = &b
		if c.module != nil {
			wanted(c.module.Bound(b))
		}
	})
}

// wake arranges the module's timer; it comes with the gauges of the moment, or
// with the last ones if the machine is slow to tell.
func (c *Core) wake(after time.Duration, token int64) {
	time.AfterFunc(after, func() {
		c.post(func() {
			c.answerOverdue()
			if c.opt.Machine == nil {
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
			late := time.AfterFunc(gaugesWithin, func() { c.post(tick) })
			c.opt.Machine.Usage(func(g decision.Gauges) {
				late.Stop()
				c.post(func() { c.gauges = g; tick() })
			})
		})
	})
}

// Check answers a health check: at once from the module's word, or a deep one
// by a trial of the machine where the module has not settled it.
func (c *Core) Check(deep bool, reply func(good bool)) error {
	return c.post(func() {
		if !deep || c.stored || !c.welcome() || c.opt.Machine == nil {
			reply(c.welcome())
			return
		}
		answered := false
		once := func(good bool) {
			c.post(func() {
				if !answered {
					answered = true
					reply(good && c.welcome())
				}
			})
		}
		late := time.AfterFunc(trialWithin, func() { once(false) })
		c.opt.Machine.Trial(func(good bool) { late.Stop(); once(good) })
	})
}

// Drain takes in the notice to leave, which came at a time at the earliest
// (NoticeTime): the process is stopped at another, and all is answered a margin before
// that. From the grace after the notice on, nothing that is read is begun.
func (c *Core) Drain(notice, stopAt time.Time) {
	c.post(func() {
		if c.draining {
			return
		}
		c.draining, c.noticeAt, c.stopAt = true, c.clock.At(notice), c.clock.At(stopAt.Add(-stopMargin))
		c.graceEnd = c.noticeAt + c.set.DrainGrace
		if c.module == nil {
			c.setHealth(false, true)
			return
		}
		c.module.Drain(c.noticeAt, c.stopAt)
	})
}

func (c *Core) setHealth(on, stored bool) {
	c.fit, c.stored = on, stored
	c.report()
}

// wanted tells whether callers are to come whatever this server's health: not before
// anything can run here.
func (c *Core) wanted() bool { return c.module != nil && !c.away && !c.draining }

// welcome tells whether callers are to come.
func (c *Core) welcome() bool { return c.fit && c.wanted() }

// report tells the list whether callers are to come. Where that does not follow a
// server's health, it knows only whether the server runs or drains.
func (c *Core) report() {
	if c.opt.Presence != nil {
		c.opt.Presence.Accepting(c.wanted() && (c.fit || !c.set.Readiness))
	}
}

// Said gives the free value that rides on answers and health checks, as its module
// set it last; ok is false where the settings have none. It may be called from any
// goroutine.
func (c *Core) Said() (value float64, ok bool) {
	if v := c.said.Load(); v != nil {
		return *v, true
	}
	return 0, false
}

// SendAway has callers told to stay away, or to come again, whatever the module
// says of its health. What still comes is served as ever.
func (c *Core) SendAway(on bool, done func()) error {
	return c.post(func() {
		c.setAway(on)
		if c.peer != nil {
			c.peer.Away(on)
		}
		done()
	})
}

func (c *Core) setAway(on bool) {
	if c.away != on {
		c.away = on
		c.log.Info("away", "on", on)
		c.report()
	}
}

// Ready tells whether requests can be run here.
func (c *Core) Ready(reply func(ready bool)) error {
	return c.post(func() { reply(c.module != nil && !c.draining) })
}
