package policy

import (
	"cmp"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	minCallTimeout      = time.Millisecond // where hardly any time is left
	typicalCallsWaiting = 16               // more need memory of their own
)

// CallNeeded takes in that the run of a request waits for a call to the dependency.
func (in *Instance) CallNeeded(now time.Duration, id string) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state != running {
		return
	}
	q.call = callProgress{}
	q.callCount++
	q.preempting = false
	in.moveTo(q, awaitingCall)
}

// CallDone takes in how a call ended, and how long it took.
func (in *Instance) CallDone(now time.Duration, id string, outcome decision.Outcome, took time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state != callInFlight {
		return
	}
	in.recordCall(q, outcome, took)
	if outcome == decision.Succeeded {
		in.moveTo(q, running)
		return
	}
	in.moveTo(q, awaitingCall)
	if !q.answered {
		in.retryOrSkipCall(q, outcome)
	}
}

// makeCalls makes the calls that requests wait for, while the call quota has room. Those
// come first that lose most without their call.
func (in *Instance) makeCalls() {
	var buffer [typicalCallsWaiting]*request
	for _, q := range in.callsWaiting(buffer[:0]) {
		if in.canCall() {
			in.call(q)
		} else if q.class.DegradedWeight > 0 && in.callShedProbability(q) > 0 {
			in.skipCallOrFail(q)
		}
	}
}

// callsWaiting appends the requests whose calls may be made now to an empty list, in the
// order in which they are made.
func (in *Instance) callsWaiting(waiting []*request) []*request {
	for _, q := range in.live {
		if q.state == awaitingCall && !q.answered && q.call.notBefore <= in.now {
			waiting = append(waiting, q)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(weightOfCall(b), weightOfCall(a)), comparePriority(a, b))
	})
	return waiting
}

// weightOfCall returns the weight that a request loses when it skips its call.
func weightOfCall(q *request) float64 { return q.weight * (1 - q.class.DegradedWeight) }

// call makes one call, unless the circuit breaker or the fleet's retry budget stops it.
// Its time-out is at most the time left until the request's deadline.
func (in *Instance) call(q *request) {
	remaining := q.dueAt - in.now - in.timerInterval
	q.call.timeout = in.chooseTimeout(q, remaining)
	if in.updateBreaker() && !q.call.timeout.diagnostic {
		in.waitOrSkipCall(q)
		return
	}
	if !in.acquireFleetRetry(q) {
		return
	}
	if q.call.attempts == 0 {
		in.retries.deposit()
	}
	q.call.attempts++
	timeout := min(q.call.timeout.duration, remaining, in.maxCallTimeout())
	in.host.Call(q.ID, max(minCallTimeout, timeout))
	in.moveTo(q, callInFlight)
}

// skipCallOrFail has a request go on without its call where that still earns something
// (DegradedWeight), and fails it otherwise.
func (in *Instance) skipCallOrFail(q *request) {
	if q.class.DegradedWeight > 0 {
		in.host.SkipCall(q.ID)
		in.moveTo(q, running)
		return
	}
	in.fail(q)
}

// recordCall takes in what a call's end shows of the dependency, and updates the breaker.
// The breaker ignores a time-out that is neither the last of the sequence nor diagnostic:
// a dependency that works well exceeds the short ones too.
func (in *Instance) recordCall(q *request, outcome decision.Outcome, took time.Duration) {
	in.recordCallTime(outcome, took)
	choice := q.call.timeout
	timedOut := outcome == decision.TimedOut
	if q.class.Effect == decision.Idempotent && choice.diagnostic {
		in.timeouts.recordDiagnostic(outcome, took, q.class.Deadline)
	}
	if timedOut && !choice.final && !choice.diagnostic {
		return
	}
	in.breaker.record(in.now, outcome == decision.Succeeded)
	in.updateBreaker()
}

// recordCallTime takes in how long a call took the dependency. One that timed out is
// abandoned, and takes it for a while longer.
func (in *Instance) recordCallTime(outcome decision.Outcome, took time.Duration) {
	if staysFor := in.settings.AbandonedCallDuration; outcome == decision.TimedOut && staysFor > 0 {
		in.quota.recordAbandoned(in.now, staysFor)
		took += staysFor
	}
	in.quota.meanCallTime = movingAverageTime(in.quota.meanCallTime, took)
}
