package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	queueWaitDivisor       = 2    // a request may wait for its latency objective divided by this
	memoryUtilizationLimit = 0.92 // maximum reserved fraction of MemoryKB; reads in progress need the rest
	lateAnswerDivisor      = 2    // answers are due at the deadline plus DeadlineSlack divided by this
)

// latencyObjective returns the time after a request's arrival within which its answer earns
// full weight: the objective of its class plus a part that grows with CostHint, but not
// beyond the deadline.
func (in *Instance) latencyObjective(req *request) time.Duration {
	forCost := time.Duration(req.class.ObjectivePerCost * float64(req.CostHint))
	return min(req.dueAt-req.arrivedAt, req.class.LatencyObjective+forCost)
}

// maxQueueWait returns how long a request may wait before it runs: the part of its latency
// objective that its run does not need, but at most the objective divided by
// queueWaitDivisor. If runs take most of the objective, because cores are slow or
// overloaded, requests may wait for one timer interval only.
func (in *Instance) maxQueueWait(req *request) time.Duration {
	objective := in.latencyObjective(req)
	return min(objective/queueWaitDivisor, max(in.timerInterval, objective-in.concurrency.meanRunTime))
}

// shedStale sheds queued requests that have waited longer than maxQueueWait. They would miss
// their latency objective, and delay others too.
//
// Decide calls it after startQueued, because an instance that shed stale requests first would
// run none when reads lag: every request is then old by the time it is read.
func (in *Instance) shedStale() {
	for i := len(in.queue) - 1; i >= 0; i-- {
		if req := in.queue[i]; req.state == queued && in.now-req.arrivedAt > in.maxQueueWait(req) {
			in.shedWithFullRetryAfter(req)
		}
	}
}

// expireDeadlines answers the requests whose answer is due before the next timer. A run that
// can't be cancelled continues to use cores and memory until it ends.
func (in *Instance) expireDeadlines() {
	for _, req := range in.unfinished {
		if req.answered || in.answerDeadline(req) > in.now+in.timerInterval {
			continue
		}
		if req.state == running { // it hangs, or the cores are much too slow
			in.health.recordRun(true)
		}
		if in.shedsAtDeadline(req) {
			in.shedWithFullRetryAfter(req)
		} else {
			in.fail(req)
		}
	}
}

// answerDeadline returns the latest time for a request's answer: the deadline plus a part of
// DeadlineSlack, because an earlier answer would cut runs short. If an answer after the latency
// objective earns nothing and answering ends the work of the request (answerEndsWork), it
// returns the end of the objective. During a drain, the time is before the end of the drain.
func (in *Instance) answerDeadline(req *request) time.Duration {
	by := req.dueAt + in.settings.DeadlineSlack/lateAnswerDivisor
	objectiveEnd := req.arrivedAt + in.latencyObjective(req)
	if req.class.LateWeight == 0 && objectiveEnd < req.dueAt && in.answerEndsWork(req) {
		by = objectiveEnd
	}
	return in.drain.limitAnswerDeadline(by, in.timerInterval)
}

// answerEndsWork reports whether answering a request also ends its work.
func (in *Instance) answerEndsWork(req *request) bool {
	switch req.state {
	case coalesced, callInFlight:
		return false
	case running:
		return in.settings.CancelMode != decision.CancelNever
	default:
		return true
	}
}

// shedsAtDeadline reports whether a request is shed at its deadline, so that its caller may
// retry it. Otherwise it fails.
func (in *Instance) shedsAtDeadline(req *request) bool {
	return req.state == received && req.DuplicateOf == "" || req.state == queued ||
		req.mayHaveRun && req.class.Idempotency == decision.Idempotent
}

// exceedsMemory reports whether the reserved memory plus extraKB exceeds the limit.
func (in *Instance) exceedsMemory(extraKB float64) bool {
	return in.reservedKB+extraKB > in.settings.MemoryKB*memoryUtilizationLimit
}

// shedForMemory sheds or fails waiting requests, newest first, until the reserved memory is
// within its limit. It sheds queued and preempted requests, and fails coalesced ones.
func (in *Instance) shedForMemory() {
	for i := len(in.unfinished) - 1; i >= 0 && in.exceedsMemory(0); i-- {
		switch req := in.unfinished[i]; req.state {
		case queued, preempted:
			in.shedWithFullRetryAfter(req)
		case coalesced:
			in.fail(req)
		}
	}
}
