package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	callUtilizationTarget    = 0.4         // fraction of CallQuota in flight on average
	hungCallUtilizationLimit = 0.9         // fraction of CallQuota over CallQuotaWindow if all calls hang
	minCallQuota             = 0.005       // calls in flight; a CallQuota of 0 may be a rounded value
	callCreditWindow         = time.Second // an idle instance accrues credit for this long
	callBurstFactor          = 2.0         // calls in flight at full credit, as a multiple of the target
	initialCallsPerRun       = 1           // for classes with CallsDependency, before their first run
)

// callQuota is a token bucket of call time. It fills at the rate of the target concurrency
// and drains at the rate of the calls in flight. If the target is below one call, each call
// overdraws the bucket, and no other call is made until its time is earned.
type callQuota struct {
	credit       time.Duration   // call time that may be spent; negative if overdrawn
	accruedAt    time.Duration   // when credit was last updated
	abandoned    []time.Duration // when the dependency stops working on each abandoned call
	meanCallTime time.Duration   // moving average of the dependency's time for a call
	callsPerRun  []float64       // moving average of the calls of a run, by class

	expectedCalls   float64 // cached result of Instance.expectedCalls
	expectedCallsAt int     // Instance.transitionCount when expectedCalls was computed
}

// accrue adds the credit earned since the last update, less the call time spent by the calls
// in flight, and removes the abandoned calls that have ended.
func (c *callQuota) accrue(now time.Duration, target float64, inFlight int) {
	elapsed := now - c.accruedAt
	earned := time.Duration((target - float64(inFlight)) * float64(elapsed))
	c.credit = min(c.credit+earned, time.Duration(target*float64(callCreditWindow)))
	c.accruedAt = now
	c.abandoned = slices.DeleteFunc(c.abandoned, func(endsAt time.Duration) bool { return endsAt <= now })
}

// burst returns the maximum number of calls in flight. It rises with the credit from the
// target to callBurstFactor times the target, so that a few hung calls don't delay all
// others while the average is far below the quota.
func (c *callQuota) burst(target float64) float64 {
	saved := float64(c.credit) / (target * float64(callCreditWindow))
	return target * (1 + (callBurstFactor-1)*min(1, max(0, saved)))
}

// expectedWait returns how long a call waits for credit after callsBefore other calls.
func (c *callQuota) expectedWait(callsBefore, target float64) time.Duration {
	needed := float64(callsBefore*float64(c.meanCallTime)) - float64(c.credit)
	return time.Duration(max(0, needed) / target)
}

// recordAbandoned records that a call was abandoned, and that the dependency works on it for
// a further duration.
func (c *callQuota) recordAbandoned(now, duration time.Duration) {
	c.abandoned = append(c.abandoned, now+duration)
}

// recordCallsPerRun records the number of calls that a run of a class made.
func (c *callQuota) recordCallsPerRun(class, calls int) {
	c.callsPerRun[class] = movingAverage(c.callsPerRun[class], float64(calls), ewmaWeight)
}

// remainingCalls returns the expected number of further calls of a run.
func (c *callQuota) remainingCalls(req *request) float64 {
	return max(0, c.callsPerRun[req.Class]-float64(req.callCount))
}

// callsInFlight returns the number of calls in flight, including the abandoned calls that
// the dependency still works on.
func (in *Instance) callsInFlight() int {
	return in.stateCount[callInFlight] + len(in.callQuota.abandoned)
}

// SetFleetBounds sets this server's part of the limits that its fleet shares. It returns the
// number of calls that are in flight or waiting, whether or not the limits allow them.
func (in *Instance) SetFleetBounds(b decision.FleetBounds) (wanted int) {
	in.fleet = b
	return in.callsInFlight() + in.stateCount[awaitingCall]
}

// targetCallConcurrency returns the number of calls that may be in flight on average.
func (in *Instance) targetCallConcurrency() float64 {
	ownTarget := callUtilizationTarget * max(minCallQuota, in.settings.CallQuota)
	return min(ownTarget, max(minCallQuota, in.fleet.MaxCalls))
}

// accrueCallCredit updates the call credit to the current time.
func (in *Instance) accrueCallCredit() {
	in.callQuota.accrue(in.now, in.targetCallConcurrency(), in.callsInFlight())
}

// canCall reports whether another call may be made.
func (in *Instance) canCall() bool {
	inFlight := float64(in.callsInFlight())
	if inFlight >= in.fleet.MaxCalls {
		return false
	}
	if in.settings.Dependency != decision.SharedDependency {
		return inFlight < in.concurrency.limit
	}
	return inFlight < max(1, in.callQuota.burst(in.targetCallConcurrency())) && in.callQuota.credit >= 0
}

// maxCallTimeout returns the longest time-out of a call. It is limited so that the shared
// dependency isn't overloaded if the calls of all instances hang at once: the call time that
// an instance spends then, from saved credit and by overdrawing, stays below
// hungCallUtilizationLimit of its quota over CallQuotaWindow.
func (in *Instance) maxCallTimeout() time.Duration {
	if in.settings.Dependency != decision.SharedDependency {
		return math.MaxInt64
	}
	window := float64(in.settings.CallQuotaWindow)
	target := in.targetCallConcurrency()
	margin := float64((hungCallUtilizationLimit - callUtilizationTarget) * in.settings.CallQuota * window)
	spare := margin - float64(target*float64(callCreditWindow))
	perCall := time.Duration(spare / math.Ceil(max(1, target*callBurstFactor)))
	return max(in.timeouts.controller.timeout, perCall-in.settings.AbandonedCallDuration)
}

// expectedCallWait returns how long a request would wait for a call to the shared
// dependency, after the calls of the requests in flight and of the requests queued before
// it. Long waits are avoided (callShedProbability), because a request that can't get its call
// uses cores and memory for nothing.
//
// It is 0 for requests without calls, and also for requests that may skip their call, until
// they wait for one.
func (in *Instance) expectedCallWait(req *request) time.Duration {
	if !req.class.CallsDependency || in.settings.Dependency != decision.SharedDependency ||
		req.class.DegradedWeight > 0 && req.state != awaitingCall {
		return 0
	}
	calls := in.expectedCalls()
	for _, other := range in.queue {
		if comparePriority(other, req) >= 0 {
			break
		}
		if other.state == queued {
			calls += in.callQuota.remainingCalls(other)
		}
	}
	return in.callQuota.expectedWait(calls, in.targetCallConcurrency())
}

// expectedCalls returns the expected number of further calls of the requests in flight. The
// result is cached until the next state transition, because it is needed for each request
// that waits while calls are scarce.
func (in *Instance) expectedCalls() float64 {
	if in.callQuota.expectedCallsAt != in.transitionCount {
		in.callQuota.expectedCallsAt, in.callQuota.expectedCalls = in.transitionCount, 0
		for _, req := range in.unfinished {
			switch req.state {
			case awaitingCall:
				in.callQuota.expectedCalls++
			case running:
				in.callQuota.expectedCalls += in.callQuota.remainingCalls(req)
			}
		}
	}
	return in.callQuota.expectedCalls
}
