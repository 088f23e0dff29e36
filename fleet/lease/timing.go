package lease

import (
	"fmt"
	"time"
)

// maxClockDrift is the largest drift bound that Validate accepts.
const maxClockDrift = 0.2

// Timing is how long leases last. All clients must be configured with the same.
type Timing struct {
	Duration      time.Duration // of a lease after a grant or renewal
	ClockDrift    float64       // bound on how fast or slow a client's clock runs: 0.05 is 5%
	RenewInterval time.Duration // between two renewals, and until an unanswered command is sent again
}

// ConfigError reports a configuration field with an invalid value.
type ConfigError struct {
	Field       string // name of the Go field
	Value       any
	Requirement string // that the value does not meet
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("lease: %s is %v, but must be %s", e.Field, e.Value, e.Requirement)
}

// Validate returns a *ConfigError for the first field with an invalid value.
func (t Timing) Validate() error {
	driftInRange := t.ClockDrift >= 0 && t.ClockDrift <= maxClockDrift // false for NaN
	switch {
	case t.Duration <= 0:
		return &ConfigError{"Duration", t.Duration, "more than 0"}
	case !driftInRange:
		return &ConfigError{"ClockDrift", t.ClockDrift, fmt.Sprintf("from 0 to %v", maxClockDrift)}
	case t.RenewInterval <= 0 || t.RenewInterval > t.ownerDuration()/2:
		return &ConfigError{"RenewInterval", t.RenewInterval, fmt.Sprintf("more than 0 and at most half of %v", t.ownerDuration())}
	}
	return nil
}

// ownerDuration is how long an owner acts after it sent a granted command: the
// duration on a clock that runs as slow as the drift bound allows.
func (t Timing) ownerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.ClockDrift))
}

// observerDuration is how long any other client waits after it applied a
// granted command: the duration on a clock that runs as fast as the bound allows.
func (t Timing) observerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.ClockDrift))
}
