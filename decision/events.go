package decision

import (
	"log/slog"
	"time"
)

// Event is a state change of the module that its host writes to the log.
type Event interface {
	// Name returns the event's constant name, in snake_case.
	Name() string
	// Attributes returns the event's values. The key of a value with a unit ends in the unit.
	Attributes() []slog.Attr
}

// DrainStarted reports that the process is shutting down.
type DrainStarted struct {
	StopsIn time.Duration // time left until the process exits
}

// Name implements Event.
func (DrainStarted) Name() string { return "drain_started" }

// Attributes implements Event.
func (e DrainStarted) Attributes() []slog.Attr {
	return []slog.Attr{slog.Int64("stops_in_ms", e.StopsIn.Milliseconds())}
}

// HealthChanged reports that the instance became healthy or unhealthy.
type HealthChanged struct {
	Healthy        bool
	ErrorRate      float64 // moving average of own runs that failed or hung, 0 to 1
	ReadLagSeconds float64 // moving average of Request.ReadLag
}

// Name implements Event.
func (HealthChanged) Name() string { return "health_changed" }

// Attributes implements Event.
func (e HealthChanged) Attributes() []slog.Attr {
	return []slog.Attr{
		slog.Bool("healthy", e.Healthy),
		slog.Float64("error_rate", e.ErrorRate),
		slog.Float64("read_lag_seconds", e.ReadLagSeconds),
	}
}

// CircuitBreakerChanged reports that the circuit breaker for the dependency opened or
// closed.
type CircuitBreakerChanged struct {
	Open bool // only diagnostic calls are made
}

// Name implements Event.
func (CircuitBreakerChanged) Name() string { return "circuit_breaker_changed" }

// Attributes implements Event.
func (e CircuitBreakerChanged) Attributes() []slog.Attr {
	return []slog.Attr{slog.Bool("open", e.Open)}
}
