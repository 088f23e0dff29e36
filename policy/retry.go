package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	retryBudgetPerCall  = 0.1 // retries earned by the first attempt of each call
	maxRetryBudget      = 10.0
	fleetRetryBackoff   = 100 * time.Millisecond // while the fleet has no retry left
	retryBackoffDivisor = 4                      // of the Controller's time-out, before the doublings
	maxBackoffDoublings = 4
)

// retryBudget bounds the retries of calls to a fraction of the calls: the first attempt
// of each call deposits a part of a retry, and a retry withdraws one.
type retryBudget struct {
	tokens float64 // retries that may be made
}

// deposit adds what the first attempt of a call earns.
func (b *retryBudget) deposit() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerCall) }

// available tells whether a retry may be made.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// tryWithdraw takes a retry, if there is one.
func (b *retryBudget) tryWithdraw() bool {
	if !b.available() {
		return false
	}
	b.withdraw()
	return true
}

// withdraw takes a retry, or what is left of one.
func (b *retryBudget) withdraw() { b.tokens = max(0, b.tokens-1) }

// retryOrSkipCall decides what follows a call that did not succeed.
//
// A call that the dependency rejected or that never reached it ended at once, and so would
// an immediate retry: its retry waits. Any other is retried with the next time-out of the
// sequence (section 3.6 of the paper).
func (in *Instance) retryOrSkipCall(q *request, outcome decision.Outcome) {
	noEffect := outcome.ProvesNoEffect()
	switch {
	case !in.acquireCallRetry(q, noEffect):
		in.skipCallOrFail(q)
	case noEffect:
		q.call.notBefore = in.now + in.retryBackoff(q.call.attempts)
	default:
		q.call.step++
	}
}

// acquireCallRetry tells whether a call may be retried, and withdraws the retry from the
// budget. Calls of idempotent requests may be retried within the budget. A call that is
// proven to have had no effect may be retried even beyond the budget, and whatever the
// class's Effect, if its request would fail without it; it pays with what is left.
func (in *Instance) acquireCallRetry(q *request, noEffect bool) bool {
	if q.class.Effect == decision.Idempotent && in.retries.tryWithdraw() {
		return true
	}
	if noEffect && q.class.DegradedWeight == 0 {
		in.retries.withdraw()
		return true
	}
	return false
}

// retryBackoff returns how long the retry of a call without effect waits: twice as long
// after each attempt, up to maxBackoffDoublings.
func (in *Instance) retryBackoff(attempts int) time.Duration {
	return in.timeouts.controller.timeout / retryBackoffDivisor << min(attempts, maxBackoffDoublings)
}

// acquireFleetRetry takes one of the retries that the fleet has left, where the call is
// a retry, and tells whether the call may be made. If no retry is left, the request skips
// its call where that earns something, and otherwise tries again after
// fleetRetryBackoff.
func (in *Instance) acquireFleetRetry(q *request) bool {
	if q.call.attempts == 0 || in.fleet.AcquireRetry == nil || in.fleet.AcquireRetry() {
		return true
	}
	q.call.notBefore = in.now + fleetRetryBackoff
	if q.class.DegradedWeight > 0 {
		in.skipCallOrFail(q)
	}
	return false
}
