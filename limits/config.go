package limits

import "fmt"

// Defaults of a Config.
const (
	defaultInitialLimit = 4
	defaultMaxLimit     = 1000
)

// Class is the configuration of one class, which has a pool of its own.
type Class struct {
	Name     string
	Cheapest bool // its runs may take the reserved slots
}

// Config configures Pools. Limits are numbers of slots.
type Config struct {
	Classes       []Class
	InitialLimit  float64 // of each pool; 0 means 4
	MaxLimit      float64 // of each pool; 0 means 1,000
	ReservedSlots int     // only for the cheapest class, in addition to its pool's limit
}

// ConfigError reports an invalid configuration. Reason names the field.
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

// validate returns a *ConfigError if the configuration is invalid.
func (c Config) validate() error {
	if len(c.Classes) == 0 {
		return &ConfigError{"Classes is empty"}
	}
	if c.InitialLimit < minLimit || c.MaxLimit < c.InitialLimit || c.ReservedSlots < 0 {
		return &ConfigError{fmt.Sprintf("InitialLimit %v, MaxLimit %v, ReservedSlots %d; want 1 <= InitialLimit <= MaxLimit and ReservedSlots >= 0", c.InitialLimit, c.MaxLimit, c.ReservedSlots)}
	}
	return nil
}
