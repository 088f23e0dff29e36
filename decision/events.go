package decision

import (
	"log/slog"
	"time"
)

// Event is a change of the module's state that its host writes to the log.
type Event interface {
	// Name is the event's constant name, in snake_case.
	Name() string
	// Attributes are the event's values; a value that has a unit names it in its key.
	Attributes() []slog.Attr
}

// DrainStarted tells that the process is being stopped.
type DrainStarted struct {
	StopsIn time.Duration // time left until the process ends
}

// Name implements Event.
func (DrainStarted) Name() string { return "drain_started" }

// Attributes implements Event.
func (e DrainStarted) Attributes() []slog.Attr {
	return []slog.Attr{slog.Int64("stops_in_ms", e.StopsIn.Milliseconds())}
}

// HealthChanged tells that the instance's judgement of its own health changed.
type HealthChanged struct {
	Healthy        bool
	ErrorRate      float64 // moving average of own runs that failed or hung, 0 to 1
	ReadLagSeconds float64 // moving average of the time from a request's arrival to its being read
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

// CircuitBreakerChanged tells that the circuit breaker of the dependency opened or closed.
type CircuitBreakerChanged struct {
	Open bool // ordinary calls are stopped
}

// Name implements Event.
func (CircuitBreakerChanged) Name() string { return "circuit_breaker_changed" }

// Attributes implements Event.
func (e CircuitBreakerChanged) Attributes() []slog.Attr {
	return []slog.Attr{slog.Bool("open", e.Open)}
}
