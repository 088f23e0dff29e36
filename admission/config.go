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

// The figures that a Config does not give, as the platform has them (PROTOCOL:
// 60 ms of slack on every due time, 2 s of grace after the notice to leave).
const (
	answerSlack   = 60 * time.Millisecond
	defaultGrace  = 2 * time.Second
	defaultStop   = 5 * time.Second        // a Shutdown whose context has no deadline
	stopMargin    = 250 * time.Millisecond // before the stop, when all has been answered
	maxAdvice     = time.Second            // longest Retry-After that callers are told
	fallMultiple  = 8                      // requests on the cores for each core that a process survives
	fallSpan      = 1500 * time.Millisecond
	batchGap      = 4 * time.Millisecond
	baseKB        = 16 // of memory that a request is taken to need beside its body
	keysShare     = 8  // one part in so many of the memory is for kept results
	defaultMemory = 64 << 20
	defaultBody   = 64 << 10
)

// Config is what a Server is made of. Classes is required; every other field
// has a default where it is zero.
type Config struct {
	// Classes are the kinds of requests, with their aims, deadlines, worth and
	// effects; package describe reads them from OpenAPI and AsyncAPI documents.
	Classes []describe.Class
	// Routes lead requests to classes, by method and path. Requests that no
	// route matches, and no rule takes, pass to the handler untouched.
	Routes describe.Routes
	// Rules, where not nil, give class and key before the routes are looked at:
	// the first rule that takes a request decides (package match). Their set may
	// be replaced while requests come; each request is classified by one set.
	Rules *match.Rules
	// Cores is the number of cores that the handlers share; 0 for GOMAXPROCS.
	Cores int
	// Memory is what held and running requests and kept results may take, in
	// bytes; 0 for 64 MiB. A request is booked at 16 KiB and its body.
	Memory int64
	// MaxBody bounds a request's body, in bytes; 0 for 64 KiB. A longer one is
	// answered 413 and never seen by the module.
	MaxBody int64
	// DrainGrace is how long after Drain arrivals may still run; 0 for 2 s.
	DrainGrace time.Duration
	// Pools, where not nil, bound the handlers of each class that run at once,
	// with limits that follow their latencies (package limits): for handlers
	// whose work is below them, where the process's own gauges can't tell that
	// it is crowded. Nil leaves the bound to the module's run limit alone.
	Pools *Pools
	// Logger takes what the server has to say; nil for slog.Default().
	Logger *slog.Logger
	// Seed seeds the module's random choices; 0 for one from the clock.
	Seed int64
}

// Pools are the pools' settings: the class whose cheap calls a reserve of
// slots keeps alive under any load, and how many slots that is.
type Pools struct {
	Cheapest string
	Reserve  int
}

// FromDocument gives the configuration of a description's classes and routes,
// with all else at its default.
func FromDocument(d *describe.Document) Config {
	return Config{Classes: d.Classes, Routes: d.Routes}
}

// withDefaults fills in what is zero, and names the first field that makes no sense.
func (c Config) withDefaults() (Config, error) {
	if len(c.Classes) == 0 {
		return c, errors.New("classes: none, at least one is needed")
	}
	known := make(map[string]bool, len(c.Classes))
	for i, class := range c.Classes {
		at := fmt.Sprintf("classes[%d] %q", i, class.Name)
		switch {
		case class.Name == "" || known[class.Name]:
			return c, fmt.Errorf("%s: a name of its own is needed", at)
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective:
			return c, fmt.Errorf("%s: aim %v, deadline %v: an aim and a deadline no shorter are needed",
				at, class.LatencyObjective, class.Deadline)
		case class.Effect == decision.Keyed && class.KeyWindow <= 0:
			return c, fmt.Errorf("%s: a keyed class needs a window", at)
		}
		known[class.Name] = true
	}
	for i, r := range c.Routes {
		if !known[r.Class] {
			return c, fmt.Errorf("routes[%d] %s %s: class %q is not among the classes", i, r.Method, r.Path, r.Class)
		}
	}
	switch {
	case c.Pools != nil && c.Pools.Cheapest != "" && !known[c.Pools.Cheapest]:
		return c, fmt.Errorf("pools: cheapest class %q is not among the classes", c.Pools.Cheapest)
	case c.Pools != nil && c.Pools.Reserve < 0:
		return c, fmt.Errorf("pools: reserve %d: it may not be negative", c.Pools.Reserve)
	case c.Cores < 0, c.Memory < 0, c.MaxBody < 0, c.DrainGrace < 0:
		return c, fmt.Errorf("cores %d, memory %d, max body %d, drain grace %v: none may be negative",
			c.Cores, c.Memory, c.MaxBody, c.DrainGrace)
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

// settings gives what the module is told.
func (c Config) settings() (decision.Settings, []string) {
	s := decision.Settings{
		Cores: c.Cores, Servers: 1, Callers: 1, MemoryKB: float64(c.Memory) / 1024,
		KeyMemoryKB: 1, RunningMemoryFactor: 1, CancelMode: decision.CancelDiscard, MaxRetryAfter: maxAdvice, DeadlineSlack: answerSlack,
		DrainGrace: c.DrainGrace, OverloadRatio: fallMultiple, OverloadWindow: fallSpan, SlowStartMinSpeed: 1, BatchInterval: batchGap,
	}
	names := make([]string, 0, len(c.Classes))
	for _, class := range c.Classes {
		s.Classes = append(s.Classes, class.Class)
		names = append(names, class.Name)
	}
	return s, names
}
