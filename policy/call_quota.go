package policy

import (
	"math"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	callUtilizationTarget    = 0.4         // fraction of CallQuota that may be in flight on average
	hungCallUtilizationLimit = 0.9         // fraction of CallQuota in flight, averaged, when all calls hang
	minCallQuota             = 0.005       // calls in flight; a CallQuota of 0 is a rounded one
	callCreditWindow         = time.Second // an idle instance saves up the call time of so long at the target
	callBurstFactor          = 2.0         // times the target: calls in flight while all credit is saved
	initialCallsPerRun       = 1           // assumed of classes with CallsDependency before their first run
)

// callQuota is a token bucket of call time: it earns the target concurrency, in calls in
// flight, and pays for the calls that are in flight. With a target below one call, no
// call is made after each call until its time is earned.
type callQuota struct {
	credit       time.Duration // call time that may be spent; negative where it was overdrawn
	accruedAt    time.Duration
	abandoned    []time.Duration // abandoned calls still at the dependency: when each is gone
	meanCallTime time.Duration   // moving average of the time that a call takes the dependency
	callsPerRun  []float64       // by class: moving average of the calls that a run makes

	expectedCalls           float64 // calls that requests in flight are still to make, counted
	expectedCallsTransition int     // value of Instance.transitions when expectedCalls was counted
}

// accrue adds the credit earned since the last time, less that of the calls in flight.
func (c *callQuota) accrue(now time.Duration, target float64, inFlight int) {
	elapsed := now - c.accruedAt
	earned := time.Duration((target - float64(inFlight)) * float64(elapsed))
	c.credit = min(c.credit+earned, time.Duration(target*float64(callCreditWindow)))
	c.accruedAt = now
	c.abandoned = slices.DeleteFunc(c.abandoned, func(gone time.Duration) bool { return gone <= now })
}

// burst returns how many calls may be in flight at a time: the target, and more of it
// the more credit is saved, up to callBurstFactor. So a few calls that hang don't delay
// all others while the average is far below the quota.
func (c *callQuota) burst(target float64) float64 {
	saved := float64(c.credit) / (target * float64(callCreditWindow))
	return target * (1 + (callBurstFactor-1)*min(1, max(0, saved)))
}

// expectedWait returns how long a call waits for credit behind a number of other calls.
func (c *callQuota) expectedWait(callsBefore, target float64) time.Duration {
	needed := callsBefore*float64(c.meanCallTime) - float64(c.credit)
	return time.Duration(max(0, needed) / target)
}

// recordAbandoned takes in that a call was abandoned: the dependency still works on it
// for a while.
func (c *callQuota) recordAbandoned(now, staysFor time.Duration) {
	c.abandoned = append(c.abandoned, now+staysFor)
}

// recordCallsPerRun takes in how many calls a run of a class made.
func (c *callQuota) recordCallsPerRun(class, calls int) {
	c.callsPerRun[class] = movingAverage(c.callsPerRun[class], float64(calls), ewmaWeight)
}

// callsLeft returns how many more calls a run is expected to make.
func (c *callQuota) callsLeft(q *request) float64 {
	return max(0, c.callsPerRun[q.Class]-float64(q.callCount))
}

// callsInFlight counts the calls under way, with those abandoned that the dependency
// still works on.
func (in *Instance) callsInFlight() int { return in.count[callInFlight] + len(in.quota.abandoned) }

// SetFleetBounds takes in this server's part of what its fleet shares. It returns how
// many calls the instance has in flight or would make now, if only it might.
func (in *Instance) SetFleetBounds(b decision.FleetBounds) (wanted int) {
	in.fleet = b
	return in.callsInFlight() + in.count[awaitingCall]
}

// targetCallConcurrency returns how many calls may be in flight on average.
func (in *Instance) targetCallConcurrency() float64 {
	ownTarget := callUtilizationTarget * max(minCallQuota, in.settings.CallQuota)
	return min(ownTarget, max(minCallQuota, in.fleet.MaxCalls))
}

// accrueCallCredit brings the call credit up to date.
func (in *Instance) accrueCallCredit() {
	in.quota.accrue(in.now, in.targetCallConcurrency(), in.callsInFlight())
}

// canCall tells whether one more call may be made.
func (in *Instance) canCall() bool {
	inFlight := float64(in.callsInFlight())
	if inFlight >= in.fleet.MaxCalls {
		return false
	}
	if in.settings.Dependency != decision.SharedDependency {
		return inFlight < in.concurrency.limit
	}
	return inFlight < max(1, in.quota.burst(in.targetCallConcurrency())) && in.quota.credit >= 0
}

// maxCallTimeout bounds a call's time-out so that the shared dependency survives when
// the calls of all instances hang at once: what they may overdraw then, with what they
// have saved, stays under hungCallUtilizationLimit of the quota, over CallQuotaWindow.
func (in *Instance) maxCallTimeout() time.Duration {
	if in.settings.Dependency != decision.SharedDependency {
		return math.MaxInt64
	}
	window := float64(in.settings.CallQuotaWindow)
	target := in.targetCallConcurrency()
	margin := (hungCallUtilizationLimit - callUtilizationTarget) * in.settings.CallQuota * window
	spare := margin - target*float64(callCreditWindow)
	perCall := time.Duration(spare / math.Ceil(max(1, target*callBurstFactor)))
	return max(in.timeouts.controller.timeout, perCall-in.settings.AbandonedCallDuration)
}

// expectedCallWait returns how long a request would wait for a call to the shared
// dependency, behind the calls of requests in flight and of those queued before it. A
// request that can't get its call takes cores and memory for nothing.
//
// It is 0 for requests that call nothing, and for those that may skip their calls until
// they wait for one.
func (in *Instance) expectedCallWait(q *request) time.Duration {
	if !q.class.CallsDependency || in.settings.Dependency != decision.SharedDependency ||
		q.class.DegradedWeight > 0 && q.state != awaitingCall {
		return 0
	}
	calls := in.expectedCalls()
	for _, other := range in.queue {
		if comparePriority(other, q) >= 0 {
			break
		}
		if other.state == queued {
			calls += in.quota.callsLeft(other)
		}
	}
	return in.quota.expectedWait(calls, in.targetCallConcurrency())
}

// expectedCalls returns how many calls the requests in flight are still to make. It is
// counted once between two transitions, as many ask for it where calls are scarce.
func (in *Instance) expectedCalls() float64 {
	if in.quota.expectedCallsTransition != in.transitions {
		in.quota.expectedCallsTransition, in.quota.expectedCalls = in.transitions, 0
		for _, q := range in.live {
			switch q.state {
			case awaitingCall:
				in.quota.expectedCalls++
			case running:
				in.quota.expectedCalls += in.quota.callsLeft(q)
			}
		}
	}
	return in.quota.expectedCalls
}
