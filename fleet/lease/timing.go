package lease

import (
	"fmt"
	"time"
)

// maxClockDrift is the largest ClockDrift that Validate accepts.
const maxClockDrift = 0.2

// Timing configures the duration of leases. All clients must use the same Timing.
type Timing struct {
	Duration      time.Duration // how long a lease lasts after a grant or renewal
	ClockDrift    float64       // largest relative error of a client's clock rate: 0.05 is 5%
	RenewInterval time.Duration // time between two renewals; an unapplied command is sent again after it
}

// ConfigError reports a configuration field with an invalid value.
type ConfigError struct {
	Field       string // name of the Go field
	Value       any
	Requirement string // requirement that the value does not meet
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

// ownerDuration returns how long an owner may act after it sent a granted
// command, on its own clock. A clock that is slow by ClockDrift advances by this
// result while Duration of exact time passes.
func (t Timing) ownerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 - t.ClockDrift))
}

// observerDuration returns how long any other client waits after it applied a
// granted command, on its own clock. A clock that is fast by ClockDrift advances
// by this result while Duration of exact time passes.
func (t Timing) observerDuration() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.ClockDrift))
}
