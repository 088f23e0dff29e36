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

// Default values of the fields of Config, and of the timeout of Shutdown.
const (
	defaultDrainGrace  = 2 * time.Second
	defaultStopTimeout = 5 * time.Second // timeout of Shutdown if its context has no deadline
	defaultMemory      = 64 << 20        // in bytes
	defaultMaxBody     = 64 << 10        // in bytes
)

// Settings that Config does not expose. decision.Settings documents those of the decision
// module.
const (
	deadlineSlack     = 60 * time.Millisecond
	overloadRatio     = 8 // the decision module's OverloadRatio, in runnable requests per core
	overloadWindow    = 1500 * time.Millisecond
	batchInterval     = 4 * time.Millisecond
	answerMargin      = 250 * time.Millisecond // requests are answered at least this long before the stop
	maxRetryAfter     = time.Second            // upper limit of Retry-After
	requestOverheadKB = 16                     // memory reserved for a request in addition to its body
	keyTableFraction  = 8                      // cached responses may use 1/keyTableFraction of Config.Memory
)

const bytesPerKB = 1024

// Config configures a Server. Classes is required. Every other field has a default, which
// replaces the zero value.
type Config struct {
	// Classes are the request classes, with their latency objectives, deadlines, priority
	// weights and idempotency. Package describe reads them from OpenAPI and AsyncAPI
	// documents.
	Classes []describe.Class
	// Routes assign requests to classes by method and path. Requests that match neither a
	// rule nor a route are passed to the handler unchanged.
	Routes describe.Routes
	// Rules, if not nil, are evaluated before the routes. The first rule that matches a
	// request determines its class and key (package match). The rule set may be replaced
	// while requests are served; each request is classified by a single set.
	Rules *match.ActiveRules
	// Cores is the number of cores that the handlers share; 0 means GOMAXPROCS.
	Cores int
	// Memory limits the memory of queued requests, running requests and cached responses,
	// in bytes; 0 means 64 MiB. A request reserves 16 KiB plus the size of its body.
	Memory int64
	// MaxBody limits the size of a request's body, in bytes; 0 means 64 KiB. A request with
	// a larger body is rejected with status 413 and does not reach the decision module.
	MaxBody int64
	// DrainGrace is how long after the call of Drain new requests may still run; 0 means 2 s.
	DrainGrace time.Duration
	// Pools, if not nil, limit the concurrent handlers of each class. The limits adapt to
	// the measured latencies (package limits). They are meant for handlers that wait for
	// another service, because the gauges of this process don't show that service's
	// overload. If nil, only the decision module's concurrency limit applies.
	Pools *Pools
	// Logger receives the server's log events; nil means slog.Default().
	Logger *slog.Logger
	// Seed seeds the decision module's random choices; 0 means a seed from the clock.
	Seed int64
}

// Pools configure the concurrency limits per class.
type Pools struct {
	Cheapest string // name of the class with the cheapest requests; empty for none
	Reserve  int    // number of slots that only this class may use
}

// FromDocument returns a configuration with the classes and routes of an API description.
// The other fields are zero.
func FromDocument(d *describe.Document) Config {
	return Config{Classes: d.Classes, Routes: d.Routes}
}

// withDefaults validates a configuration and replaces zero values by their defaults. The
// error names the first invalid field.
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
		c.MaxBody = defaultMaxBody
	}
	if c.DrainGrace == 0 {
		c.DrainGrace = defaultDrainGrace
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.Seed == 0 {
		c.Seed = time.Now().UnixNano()
	}
	return c, nil
}

// validate returns an error that names the first invalid field, or nil.
func (c Config) validate() error {
	known, err := c.validateClasses()
	if err != nil {
		return err
	}
	for i, r := range c.Routes {
		if !known[r.Class] {
			return fmt.Errorf("routes[%d] %s %s: class %q is not defined", i, r.Method, r.Path, r.Class)
		}
	}
	switch {
	case c.Pools != nil && c.Pools.Cheapest != "" && !known[c.Pools.Cheapest]:
		return fmt.Errorf("pools: cheapest class %q is not defined", c.Pools.Cheapest)
	case c.Pools != nil && c.Pools.Reserve < 0:
		return fmt.Errorf("pools: reserve %d is negative", c.Pools.Reserve)
	case c.Cores < 0, c.Memory < 0, c.MaxBody < 0, c.DrainGrace < 0:
		return fmt.Errorf("cores %d, memory %d, max body %d, drain grace %v: values must not be negative",
			c.Cores, c.Memory, c.MaxBody, c.DrainGrace)
	}
	return nil
}

// validateClasses returns the set of class names, or an error that names the first invalid
// class.
func (c Config) validateClasses() (known map[string]bool, err error) {
	if len(c.Classes) == 0 {
		return nil, errors.New("classes: none are defined, at least one is required")
	}
	known = make(map[string]bool, len(c.Classes))
	for i, class := range c.Classes {
		at := fmt.Sprintf("classes[%d] %q", i, class.Name)
		switch {
		case class.Name == "" || known[class.Name]:
			return nil, fmt.Errorf("%s: name is empty or not unique", at)
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective:
			return nil, fmt.Errorf("%s: latency objective %v must be positive and not longer than the deadline %v",
				at, class.LatencyObjective, class.Deadline)
		case class.Idempotency == decision.Keyed && class.KeyWindow <= 0:
			return nil, fmt.Errorf("%s: key window %v of a keyed class must be positive", at, class.KeyWindow)
		}
		known[class.Name] = true
	}
	return known, nil
}

// settings returns the settings of the decision module, and the class names in the order of
// Settings.Classes.
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
