package policy

import (
	"cmp"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	minCallTimeout  = time.Millisecond // even if less time remains until the deadline
	typicalDueCalls = 16               // more of them cause a heap allocation
)

// CallNeeded records that the run of a request waits for a call to the dependency.
func (in *Instance) CallNeeded(now time.Duration, id string) {
	in.now = now
	req := in.requests[id]
	if req == nil || req.state != running {
		return
	}
	req.call = callProgress{}
	req.callCount++
	req.preempting = false
	in.setState(req, awaitingCall)
}

// CallDone records how an attempt of a call ended, and how long it took.
func (in *Instance) CallDone(now time.Duration, id string, outcome decision.Outcome, took time.Duration) {
	in.now = now
	req := in.requests[id]
	if req == nil || req.state != callInFlight {
		return
	}
	in.recordCall(req, outcome, took)
	if outcome == decision.Succeeded {
		in.setState(req, running)
		return
	}
	in.setState(req, awaitingCall)
	if !req.answered {
		in.retryOrSkipCall(req, outcome)
	}
}

// makeCalls makes the calls that requests wait for, as far as the call quota allows, in the
// order of dueCalls. Without quota, it skips a call that would wait too long if the
// request may be degraded.
func (in *Instance) makeCalls() {
	var buffer [typicalDueCalls]*request
	for _, req := range in.dueCalls(buffer[:0]) {
		if in.canCall() {
			in.call(req)
		} else if req.class.DegradedWeight > 0 && in.callShedProbability(req) > 0 {
			in.skipCallOrFail(req)
		}
	}
}

// dueCalls returns the requests whose calls are due, appended to the empty slice waiting.
// The requests that lose the most weight without their call come first.
func (in *Instance) dueCalls(waiting []*request) []*request {
	for _, req := range in.unfinished {
		if req.state == awaitingCall && !req.answered && req.call.notBefore <= in.now {
			waiting = append(waiting, req)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(weightLostWithoutCall(b), weightLostWithoutCall(a)), comparePriority(a, b))
	})
	return waiting
}

// weightLostWithoutCall returns the weight that a request loses if its call is skipped.
func weightLostWithoutCall(req *request) float64 { return req.weight * (1 - req.class.DegradedWeight) }

// call makes one attempt of a call, unless the circuit breaker or the fleet's retry budget
// prevents it. The call times out at least one timer interval before the request's deadline,
// unless that leaves less than minCallTimeout.
func (in *Instance) call(req *request) {
	remaining := req.dueAt - in.now - in.timerInterval
	req.call.timeout = in.chooseTimeout(req, remaining)
	if in.updateBreaker() && !req.call.timeout.diagnostic {
		in.waitOrSkipCall(req)
		return
	}
	if !in.acquireFleetRetry(req) {
		return
	}
	if req.call.attempts == 0 {
		in.retries.deposit()
	}
	req.call.attempts++
	timeout := min(req.call.timeout.duration, remaining, in.maxCallTimeout())
	in.host.Call(req.ID, max(minCallTimeout, timeout))
	in.setState(req, callInFlight)
}

// skipCallOrFail resumes a request without its call if a degraded answer earns weight, and
// fails it otherwise.
func (in *Instance) skipCallOrFail(req *request) {
	if req.class.DegradedWeight > 0 {
		in.host.SkipCall(req.ID)
		in.setState(req, running)
		return
	}
	in.fail(req)
}

// recordCall updates the call time, the time-outs and the circuit breaker after a call. The
// breaker ignores a time-out that is neither the last of the sequence nor diagnostic,
// because calls to a healthy dependency also exceed the short time-outs.
func (in *Instance) recordCall(req *request, outcome decision.Outcome, took time.Duration) {
	in.recordCallTime(outcome, took)
	choice := req.call.timeout
	timedOut := outcome == decision.TimedOut
	if req.class.Idempotency == decision.Idempotent && choice.diagnostic {
		in.timeouts.recordDiagnostic(outcome, took, req.class.Deadline)
	}
	if timedOut && !choice.final && !choice.diagnostic {
		return
	}
	in.breaker.record(in.now, outcome == decision.Succeeded)
	in.updateBreaker()
}

// recordCallTime records how long the dependency worked on a call. A call that timed out is
// abandoned, and takes AbandonedCallDuration more.
func (in *Instance) recordCallTime(outcome decision.Outcome, took time.Duration) {
	if extra := in.settings.AbandonedCallDuration; outcome == decision.TimedOut && extra > 0 {
		in.callQuota.recordAbandoned(in.now, extra)
		took += extra
	}
	in.callQuota.meanCallTime = movingAverageTime(in.callQuota.meanCallTime, took)
}
