package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// minRetryAfterJitter is the least factor of the random spread of Retry-After; the
// greatest is 1 more. Without a spread all callers come back at once.
const minRetryAfterJitter = 0.5

// fail answers a request with an error, unless it has its answer.
func (in *Instance) fail(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	in.host.Fail(q.ID)
	in.endAnswered(q)
}

// shed answers a request as not run. One that may have had its effect fails instead, as
// its caller would run it again.
//
// load, 0 to 1, scales the Retry-After; noRetryProbability is that of the advice not to
// retry elsewhere.
func (in *Instance) shed(q *request, load, noRetryProbability float64) {
	if q.mayHaveRun && q.class.Effect != decision.Idempotent {
		in.fail(q)
		return
	}
	q.answered = true
	retryAfter := in.retryAfter(load)
	noRetry := in.adviseNoRetry(q, noRetryProbability)
	in.host.Shed(q.ID, retryAfter, noRetry)
	in.evictResult(q)
	in.endAnswered(q)
}

// retryAfter returns how long a caller should stay away: the longer, the more of the
// load is that of reading requests. Otherwise the advice would keep away requests from
// cores that are idle a moment later. Draining, callers should stay away for good.
//
// The random number is drawn while draining too: the draws that follow depend on it.
func (in *Instance) retryAfter(load float64) time.Duration {
	readLoad := max(in.readLagFraction(), in.concurrency.readShare)
	jitter := minRetryAfterJitter + in.random.Float64()
	maxRetryAfter := in.settings.MaxRetryAfter
	advice := time.Duration(load * readLoad * jitter * float64(maxRetryAfter))
	if in.drain.started {
		advice = maxRetryAfter
	}
	return min(advice, maxRetryAfter)
}

// adviseNoRetry decides whether a caller is told not to retry at another instance: at
// random with a probability, or when too little of the latency objective is left. Where
// runs are slow here, others are likely faster; a draining instance says nothing of them.
func (in *Instance) adviseNoRetry(q *request, probability float64) bool {
	if in.drain.started {
		return false
	}
	share := in.latencyObjective(q) / queueWaitDivisor
	slowHere := in.concurrency.meanRunTime > share
	return in.random.Float64() < probability && !slowHere || in.now-q.arrivedAt > share
}

// endAnswered ends what an answered request still does, where that is possible.
func (in *Instance) endAnswered(q *request) {
	switch q.state {
	case received, queued, preempted, coalesced:
		in.moveTo(q, finished)
	case running:
		if in.settings.CancelMode != decision.CancelNever {
			in.host.Cancel(q.ID)
		}
	}
}
