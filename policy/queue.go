package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	queueWaitDivisor       = 2    // a request may wait for its latency objective divided by this
	memoryUtilizationLimit = 0.92 // of MemoryKB that may be reserved; reads in progress need the rest
	lateAnswerDivisor      = 2    // answers go out DeadlineSlack, divided by this, after the deadline
)

// latencyObjective returns the span after its arrival in which a request's answer earns
// full weight: that of its class, more for a costly request, never beyond its deadline.
func (in *Instance) latencyObjective(q *request) time.Duration {
	forCost := time.Duration(q.class.ObjectivePerCost * float64(q.CostHint))
	return min(q.dueAt-q.arrivedAt, q.class.LatencyObjective+forCost)
}

// maxQueueWait returns how long a request may wait before it runs: the part of its
// latency objective that its run does not need. Where runs take most of it, as cores
// are slow or overloaded, nothing may wait.
func (in *Instance) maxQueueWait(q *request) time.Duration {
	objective := in.latencyObjective(q)
	return min(objective/queueWaitDivisor, max(in.timerInterval, objective-in.concurrency.meanRunTime))
}

// dropStale sheds queued requests that can no longer meet their latency objective. Run
// late, they would make others late too.
//
// Decide calls it after startQueued. When reads lag, all requests are old once they are
// read: an instance that shed them first would run none.
func (in *Instance) dropStale() {
	for i := len(in.queue) - 1; i >= 0; i-- {
		if q := in.queue[i]; q.state == queued && in.now-q.arrivedAt > in.maxQueueWait(q) {
			in.shedAtFullScale(q)
		}
	}
}

// expireDeadlines answers the requests whose time ends before the next timer. A run that
// can't be cancelled goes on, and takes cores and memory until it ends.
func (in *Instance) expireDeadlines() {
	for _, q := range in.live {
		if q.answered || in.answerBy(q) > in.now+in.timerInterval {
			continue
		}
		if q.state == running { // it hangs, or the cores are far too slow
			in.health.recordRun(true)
		}
		if in.shedsAtDeadline(q) {
			in.shedAtFullScale(q)
		} else {
			in.fail(q)
		}
	}
}

// answerBy returns when a request must have its answer at the latest: somewhat after its
// deadline, as an early answer would cut runs short; at the end of its latency objective
// where a late answer earns nothing and ending it frees a core; before a drain ends.
func (in *Instance) answerBy(q *request) time.Duration {
	by := q.dueAt + in.settings.DeadlineSlack/lateAnswerDivisor
	objectiveEnd := q.arrivedAt + in.latencyObjective(q)
	if q.class.LateWeight == 0 && objectiveEnd < q.dueAt && in.canEnd(q) {
		by = objectiveEnd
	}
	return in.drain.limit(by, in.timerInterval)
}

// canEnd tells whether answering a request ends what it still does.
func (in *Instance) canEnd(q *request) bool {
	switch q.state {
	case coalesced, callInFlight:
		return false
	case running:
		return in.settings.CancelMode != decision.CancelNever
	default:
		return true
	}
}

// shedsAtDeadline tells whether a request whose time is up is shed, so that its caller
// may retry it, or fails.
func (in *Instance) shedsAtDeadline(q *request) bool {
	return q.state == received && q.DuplicateOf == "" || q.state == queued ||
		q.mayHaveRun && q.class.Effect == decision.Idempotent
}

// exceedsMemory tells whether the reserved memory and more, in KB, are over the limit.
func (in *Instance) exceedsMemory(moreKB float64) bool {
	return in.reservedKB+moreKB > in.settings.MemoryKB*memoryUtilizationLimit
}

// shedForMemory sheds requests that only wait, the newest first, while the requests and
// the cached results need more memory than there is.
func (in *Instance) shedForMemory() {
	for i := len(in.live) - 1; i >= 0 && in.exceedsMemory(0); i-- {
		switch q := in.live[i]; q.state {
		case queued, preempted:
			in.shedAtFullScale(q)
		case coalesced:
			in.fail(q)
		}
	}
}
