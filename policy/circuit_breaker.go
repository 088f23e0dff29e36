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

// record takes in how a call ended.
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

// breakerOpen tells whether ordinary calls are stopped, and logs it when that changed.
func (in *Instance) breakerOpen() bool {
	if in.breaker.update(in.now) {
		in.host.Log(decision.CircuitBreakerChanged{Open: in.breaker.open})
	}
	return in.breaker.open
}

// callWhileOpen decides on a call that an open breaker stops. A request that nobody can
// run again, and that fails without its call, waits. Any other skips its call or fails.
func (in *Instance) callWhileOpen(q *request) {
	if q.class.Effect != decision.Idempotent && q.class.DegradedWeight == 0 {
		q.call.retryAt = in.breaker.openUntil
		return
	}
	in.abandonCall(q)
}
