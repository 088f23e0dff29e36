package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	breakerFailureRate  = 0.5 // of recent calls, beyond which the breaker opens
	breakerOpenDuration = time.Second
)

// circuitBreaker stops ordinary calls to a dependency that fails.
//
// It is closed while calls go through. When most recent calls failed it opens for
// breakerOpenDuration. Diagnostic calls are made in either state, as those of a
// half-open breaker: one that succeeds closes it at once, one that fails keeps it open.
type circuitBreaker struct {
	failureRate float64       // moving fraction of calls that failed, or timed out at the longest time-out
	openUntil   time.Duration // it is open before then
	open        bool          // as of the last update
}

// record takes in how a call ended, and opens or closes the breaker.
func (b *circuitBreaker) record(now time.Duration, succeeded bool) {
	b.failureRate = movingRate(b.failureRate, !succeeded)
	switch {
	case succeeded:
		b.openUntil = now
	case b.failureRate > breakerFailureRate:
		b.openUntil = now + breakerOpenDuration
	}
}

// update brings the state up to date, and tells whether it changed.
func (b *circuitBreaker) update(now time.Duration) (changed bool) {
	open := now < b.openUntil
	changed = open != b.open
	b.open = open
	return changed
}

// updateBreaker brings the breaker up to date and logs a change. It tells whether the
// breaker is open, which stops all calls but diagnostic ones.
func (in *Instance) updateBreaker() bool {
	if in.breaker.update(in.now) {
		in.host.Log(decision.CircuitBreakerChanged{Open: in.breaker.open})
	}
	return in.breaker.open
}

// waitOrSkipCall decides on a call that an open breaker stops. A request that is not
// idempotent and earns nothing without its call waits until the breaker may close. Any
// other skips its call, or fails if it earns nothing without it.
func (in *Instance) waitOrSkipCall(q *request) {
	if q.class.Effect != decision.Idempotent && q.class.DegradedWeight == 0 {
		q.call.notBefore = in.breaker.openUntil
		return
	}
	in.skipCallOrFail(q)
}
