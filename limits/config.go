package limits

import "fmt"

// Defaults of a Config.
const (
	defaultInitialLimit = 4
	defaultMaxLimit     = 1000
)

// Class is what a pool needs to know of its class.
type Class struct {
	Name     string
	Cheapest bool // it may take the reserved slots
}

// Config configures Pools. Limits are numbers of slots.
type Config struct {
	Classes       []Class
	InitialLimit  float64 // of each pool; 0 for 4
	MaxLimit      float64 // of each pool; 0 for 1,000
	ReservedSlots int     // for the cheapest class alone, beyond its pool's limit
}

// ConfigError reports a configuration that makes no sense.
type ConfigError struct{ Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return "limits: configuration: " + e.Reason }

func (c Config) withDefaults() Config {
	if c.InitialLimit == 0 {
		c.InitialLimit = defaultInitialLimit
	}
	if c.MaxLimit == 0 {
		c.MaxLimit = defaultMaxLimit
	}
	return c
}

// validate returns a *ConfigError if the configuration makes no sense.
func (c Config) validate() error {
	if len(c.Classes) == 0 {
		return &ConfigError{"no classes"}
	}
	if c.InitialLimit < minLimit || c.MaxLimit < c.InitialLimit || c.ReservedSlots < 0 {
		return &ConfigError{fmt.Sprintf("start %v, most %v, reserve %d", c.InitialLimit, c.MaxLimit, c.ReservedSlots)}
	}
	return nil
}
