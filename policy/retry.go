package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	retryBudgetPerCall  = 0.1                    // retries that the first attempt of each call deposits
	maxRetryBudget      = 10.0                   // retries
	fleetRetryBackoff   = 100 * time.Millisecond // before the next attempt while the fleet has no retry left
	retryBackoffDivisor = 4                      // the base backoff is the Controller's time-out over this
	maxBackoffDoublings = 4
)

// retryBudget limits the retries of calls to a fraction of the calls. The first attempt of
// each call deposits retryBudgetPerCall tokens, and a retry withdraws one.
type retryBudget struct {
	tokens float64 // retries that may be made
}

// deposit adds the tokens for the first attempt of a call.
func (b *retryBudget) deposit() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerCall) }

// available reports whether a retry may be made.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

// tryWithdraw withdraws one token if at least one is left, and reports whether it did.
func (b *retryBudget) tryWithdraw() bool {
	if !b.available() {
		return false
	}
	b.withdraw()
	return true
}

// withdraw withdraws one token, or the fraction that is left.
func (b *retryBudget) withdraw() { b.tokens = max(0, b.tokens-1) }

// retryOrSkipCall schedules the retry of a call that did not succeed. If no retry is
// allowed, it skips the call or fails the request.
//
// A call that the dependency rejected, or that never reached it, is retried after a backoff,
// because an immediate retry would end the same way. Any other call is retried at once with
// the next time-out of the sequence (section 3.6 of the paper).
func (in *Instance) retryOrSkipCall(req *request, outcome decision.Outcome) {
	noEffect := outcome.ProvesNoEffect()
	switch {
	case !in.acquireCallRetry(req, noEffect):
		in.skipCallOrFail(req)
	case noEffect:
		req.call.notBefore = in.now + in.retryBackoff(req.call.attempts)
	default:
		req.call.sequenceIndex++
	}
}

// acquireCallRetry reports whether a call may be retried. If so, it withdraws one token from
// the budget, or the fraction that is left. A call of an idempotent request may be retried
// while the budget has a retry left. A call that had no effect may also be retried in other
// classes, or without a retry left, if the request can't be answered without the call.
func (in *Instance) acquireCallRetry(req *request, noEffect bool) bool {
	if req.class.Idempotency == decision.Idempotent && in.retries.tryWithdraw() {
		return true
	}
	if noEffect && req.class.DegradedWeight == 0 {
		in.retries.withdraw()
		return true
	}
	return false
}

// retryBackoff returns the backoff before the retry of a call that had no effect. It doubles
// with each attempt, up to maxBackoffDoublings times.
func (in *Instance) retryBackoff(attempts int) time.Duration {
	return in.timeouts.controller.timeout / retryBackoffDivisor << min(attempts, maxBackoffDoublings)
}

// acquireFleetRetry reports whether the fleet allows the next attempt of a call. A retry
// takes one of the fleet's remaining retries. If none is left, the call is skipped if the
// request may be degraded; otherwise the next attempt waits for fleetRetryBackoff.
func (in *Instance) acquireFleetRetry(req *request) bool {
	if req.call.attempts == 0 || in.fleet.AcquireRetry == nil || in.fleet.AcquireRetry() {
		return true
	}
	req.call.notBefore = in.now + fleetRetryBackoff
	if req.class.DegradedWeight > 0 {
		in.skipCallOrFail(req)
	}
	return false
}
