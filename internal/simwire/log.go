package simwire

import (
	"fmt"

	"quincerail.example/quincerail/decision"
)

// LogText returns the text of an event of the decision module for the wire.
func LogText(event decision.Event) string {
	switch e := event.(type) {
	case decision.DrainStarted:
		return fmt.Sprintf("drain: leaving in %v", e.StopsIn)
	case decision.HealthChanged:
		return fmt.Sprintf("well: %v; share of own runs failing or hanging %.2f, reads late by %.1f s",
			e.Healthy, e.ErrorRate, e.ReadLagSeconds)
	case decision.CircuitBreakerChanged:
		return fmt.Sprintf("below failed: %v", e.Open)
	default:
		return event.Name()
	}
}
