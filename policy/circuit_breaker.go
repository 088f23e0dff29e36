package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	breakerFailureRate  = 0.5 // fraction of recent calls that failed, above which the breaker opens
	breakerOpenDuration = time.Second
)

// circuitBreaker prevents ordinary calls to a dependency that fails.
//
// A closed breaker allows all calls. If more than breakerFailureRate of the recent calls
// failed, it opens for breakerOpenDuration. Diagnostic calls are allowed in both states, like
// the probes of a half-open breaker: a success closes the breaker at once, and a failure
// keeps it open.
type circuitBreaker struct {
	failureRate float64       // moving average of the fraction of failed calls; see Instance.recordCall
	openUntil   time.Duration // the breaker is open until this time
	open        bool          // state at the last update
}

// record records whether a call succeeded, and opens or closes the breaker accordingly.
func (b *circuitBreaker) record(now time.Duration, succeeded bool) {
	b.failureRate = movingRate(b.failureRate, !succeeded)
	switch {
	case succeeded:
		b.openUntil = now
	case b.failureRate > breakerFailureRate:
		b.openUntil = now + breakerOpenDuration
	}
}

// update sets the state for the current time, and reports whether it changed.
func (b *circuitBreaker) update(now time.Duration) (changed bool) {
	open := now < b.openUntil
	changed = open != b.open
	b.open = open
	return changed
}

// updateBreaker updates the breaker and logs a change. It reports whether the breaker is
// open, which prevents all but diagnostic calls.
func (in *Instance) updateBreaker() bool {
	if in.breaker.update(in.now) {
		in.host.Log(decision.CircuitBreakerChanged{Open: in.breaker.open})
	}
	return in.breaker.open
}

// waitOrSkipCall handles a call that an open breaker prevents. A request that is not
// idempotent and needs its call (DegradedWeight is 0) waits until the breaker may close. For
// any other request the call is skipped, or the request fails if it needs the call.
func (in *Instance) waitOrSkipCall(req *request) {
	if req.class.Idempotency != decision.Idempotent && req.class.DegradedWeight == 0 {
		req.call.notBefore = in.breaker.openUntil
		return
	}
	in.skipCallOrFail(req)
}
