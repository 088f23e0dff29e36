package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	retryBudgetPerCall   = 0.1 // retries earned by the first attempt of each call
	maxRetryBudget       = 10.0
	fleetRetryBackoff    = 100 * time.Millisecond // until a retry is tried that the fleet had no room for
	unseenBackoffDivisor = 4                      // of the Controller's time-out, before the doublings
	maxBackoffDoublings  = 4
)

// retryBudget bounds the retries of calls to a fraction of the calls: the first attempt
// of each call deposits a part of a retry, and a retry withdraws one.
type retryBudget struct {
	tokens float64 // retries that may be made
}

// Deposit adds what the first attempt of a call earns.
func (b *retryBudget) Deposit() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerCall) }

// Available tells whether a retry may be made.
func (b *retryBudget) Available() bool { return b.tokens >= 1 }

// TryWithdraw takes a retry, if there is one.
func (b *retryBudget) TryWithdraw() bool {
	if !b.Available() {
		return false
	}
	b.Withdraw()
	return true
}

// Withdraw takes a retry, or what is left of one.
func (b *retryBudget) Withdraw() { b.tokens = max(0, b.tokens-1) }

// retryOrAbandon decides what follows a call that did not succeed.
//
// A call that the dependency never saw came back at once, and the same again would too:
// its retry waits. Any other is retried with the next time-out of the sequence (section
// 3.6 of the paper).
func (in *Instance) retryOrAbandon(q *request, outcome decision.Outcome) {
	unseen := outcome == decision.Rejected || outcome == decision.ConnectFailed
	switch {
	case !in.acquireCallRetry(q, unseen):
		in.abandonCall(q)
	case unseen:
		q.call.retryAt = in.now + in.retryBackoff(q.call.attempts)
	default:
		q.call.step++
	}
}

// acquireCallRetry tells whether a call may be retried, and takes the retry from the
// budget. Calls of idempotent requests may be, within the budget. Those that were never
// seen by the dependency may be in any case where the request fails without its call.
func (in *Instance) acquireCallRetry(q *request, unseen bool) bool {
	if q.class.Effect == decision.Idempotent && in.retries.TryWithdraw() {
		return true
	}
	if unseen && q.class.DegradedWeight == 0 {
		in.retries.Withdraw()
		return true
	}
	return false
}

// retryBackoff returns how long the retry of an unseen call waits: longer after each
// attempt.
func (in *Instance) retryBackoff(attempts int) time.Duration {
	return in.timeouts.controller.timeout / unseenBackoffDivisor << min(attempts, maxBackoffDoublings)
}

// acquireFleetRetry takes one of the retries that the fleet has left, where the call is
// a retry. If there is none the request skips its call, or waits where it can't.
func (in *Instance) acquireFleetRetry(q *request) bool {
	if q.call.attempts == 0 || in.fleet.AcquireRetry == nil || in.fleet.AcquireRetry() {
		return true
	}
	q.call.retryAt = in.now + fleetRetryBackoff
	if q.class.DegradedWeight > 0 {
		in.abandonCall(q)
	}
	return false
}
