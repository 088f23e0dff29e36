package admission

import (
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/match"
)

// Defaults of a Config's fields and of Shutdown.
const (
	defaultGrace  = 2 * time.Second
	defaultStop   = 5 * time.Second // after which a Shutdown ends whose context has no deadline
	defaultMemory = 64 << 20        // in bytes
	defaultBody   = 64 << 10        // in bytes
)

// Settings that a Config does not have. decision.Settings documents those of the module.
const (
	deadlineSlack     = 60 * time.Millisecond
	overloadRatio     = 8 // runnable requests per core that the process survives
	overloadWindow    = 1500 * time.Millisecond
	batchInterval     = 4 * time.Millisecond
	answerMargin      = 250 * time.Millisecond // how long before the stop all is answered
	maxRetryAfter     = time.Second            // longest Retry-After
	requestOverheadKB = 16                     // memory reserved for a request beside its body
	keyTableFraction  = 8                      // one part in so many of the memory is for cached responses
)

const bytesPerKB = 1024

// Config is what a Server is made of. Classes is required; every other field
// has a default where it is zero.
type Config struct {
	// Classes are the kinds of requests, with their latency objectives, deadlines,
	// priority weights and effects; package describe reads them from OpenAPI and
	// AsyncAPI documents.
	Classes []describe.Class
	// Routes lead requests to classes, by method and path. Requests that no
	// route matches, and no rule takes, pass to the handler untouched.
	Routes describe.Routes
	// Rules, where not nil, give class and key before the routes are looked at:
	// the first rule that takes a request decides (package match). Their set may
	// be replaced while requests come; each request is classified by one set.
	Rules *match.ActiveRules
	// Cores is the number of cores that the handlers share; 0 for GOMAXPROCS.
	Cores int
	// Memory bounds what queued and running requests and cached responses take, in
	// bytes; 0 for 64 MiB. A request reserves 16 KiB and the size of its body.
	Memory int64
	// MaxBody bounds a request's body, in bytes; 0 for 64 KiB. A longer one is
	// answered 413 and never seen by the module.
	MaxBody int64
	// DrainGrace is how long after Drain arrivals may still run; 0 for 2 s.
	DrainGrace time.Duration
	// Pools, where not nil, bound the handlers of each class that run at once,
	// with limits that follow their latencies (package limits): for handlers
	// that wait for another service, whose overload the process's own gauges
	// don't show. Nil leaves the bound to the module's concurrency limit alone.
	Pools *Pools
	// Logger takes the server's log events; nil for slog.Default().
	Logger *slog.Logger
	// Seed seeds the module's random choices; 0 for one from the clock.
	Seed int64
}

// Pools are the settings of the work pools: the class of cheap requests for which slots
// are reserved under any load, and how many slots.
type Pools struct {
	Cheapest string
	Reserve  int
}

// FromDocument returns the configuration of a description's classes and routes. Its other
// fields are zero, so they have their defaults.
func FromDocument(d *describe.Document) Config {
	return Config{Classes: d.Classes, Routes: d.Routes}
}

// withDefaults validates a configuration and fills in what is zero. The error names the
// first invalid field.
func (c Config) withDefaults() (Config, error) {
	if err := c.validate(); err != nil {
		return c, err
	}
	if c.Cores == 0 {
		c.Cores = runtime.GOMAXPROCS(0)
	}
	if c.Memory == 0 {
		c.Memory = defaultMemory
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultBody
	}
	if c.DrainGrace == 0 {
		c.DrainGrace = defaultGrace
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Seed == 0 {
		c.Seed = time.Now().UnixNano()
	}
	return c, nil
}

// validate returns an error that names the first invalid field, if there is one.
func (c Config) validate() error {
	known, err := c.validateClasses()
	if err != nil {
		return err
	}
	for i, r := range c.Routes {
		if !known[r.Class] {
			return fmt.Errorf("routes[%d] %s %s: class %q is not among the classes", i, r.Method, r.Path, r.Class)
		}
	}
	switch {
	case c.Pools != nil && c.Pools.Cheapest != "" && !known[c.Pools.Cheapest]:
		return fmt.Errorf("pools: cheapest class %q is not among the classes", c.Pools.Cheapest)
	case c.Pools != nil && c.Pools.Reserve < 0:
		return fmt.Errorf("pools: reserve %d: it may not be negative", c.Pools.Reserve)
	case c.Cores < 0, c.Memory < 0, c.MaxBody < 0, c.DrainGrace < 0:
		return fmt.Errorf("cores %d, memory %d, max body %d, drain grace %v: none may be negative",
			c.Cores, c.Memory, c.MaxBody, c.DrainGrace)
	}
	return nil
}

// validateClasses returns the set of the classes' names, or an error that names the first
// invalid class.
func (c Config) validateClasses() (known map[string]bool, err error) {
	if len(c.Classes) == 0 {
		return nil, errors.New("classes: none, at least one is needed")
	}
	known = make(map[string]bool, len(c.Classes))
	for i, class := range c.Classes {
		at := fmt.Sprintf("classes[%d] %q", i, class.Name)
		switch {
		case class.Name == "" || known[class.Name]:
			return nil, fmt.Errorf("%s: a name of its own is needed", at)
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective:
			return nil, fmt.Errorf("%s: aim %v, deadline %v: an aim and a deadline no shorter are needed",
				at, class.LatencyObjective, class.Deadline)
		case class.Idempotency == decision.Keyed && class.KeyWindow <= 0:
			return nil, fmt.Errorf("%s: a keyed class needs a window", at)
		}
		known[class.Name] = true
	}
	return known, nil
}

// settings returns the decision module's settings and the names of the classes.
func (c Config) settings() (decision.Settings, []string) {
	s := decision.Settings{
		Cores: c.Cores, Servers: 1, Callers: 1, MemoryKB: float64(c.Memory) / bytesPerKB,
		KeyMemoryKB: 1, RunningMemoryFactor: 1, CancelMode: decision.CancelDiscard, MaxRetryAfter: maxRetryAfter, DeadlineSlack: deadlineSlack,
		DrainGrace: c.DrainGrace, OverloadRatio: overloadRatio, OverloadWindow: overloadWindow, SlowStartMinSpeed: 1, BatchInterval: batchInterval,
	}
	names := make([]string, 0, len(c.Classes))
	for _, class := range c.Classes {
		s.Classes = append(s.Classes, class.Class)
		names = append(names, class.Name)
	}
	return s, names
}
