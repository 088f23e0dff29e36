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
// retryAfterScale, 0 to 1, scales the Retry-After; noRetryProbability is that of the advice
// not to retry elsewhere.
func (in *Instance) shed(q *request, retryAfterScale, noRetryProbability float64) {
	if q.mayHaveRun && q.class.Effect != decision.Idempotent {
		in.fail(q)
		return
	}
	q.answered = true
	retryAfter := in.retryAfter(retryAfterScale)
	noRetryElsewhere := in.adviseNoRetry(q, noRetryProbability)
	in.host.Shed(q.ID, retryAfter, noRetryElsewhere)
	in.evictResult(q)
	in.endAnswered(q)
}

// shedAtFullScale sheds a request at the full scale of Retry-After: it waited too long, came
// too long after the start of a drain, or has no room in memory.
func (in *Instance) shedAtFullScale(q *request) { in.shed(q, 1, in.load.pressure) }

// retryAfter returns how long a caller should send nothing, at most MaxRetryAfter. It is
// proportional to the scale, to the part of the load that comes from reading requests
// (their read lag, or their share of the runnable tasks), and to a random jitter. Where
// runs are the load, cores may be idle a moment later, and a long Retry-After would keep
// requests from them. While draining it is always MaxRetryAfter.
//
// The random number is drawn while draining too: the draws that follow depend on it.
func (in *Instance) retryAfter(scale float64) time.Duration {
	readLoad := max(in.readLagFraction(), in.concurrency.readShare)
	jitter := minRetryAfterJitter + in.random.Float64()
	maxRetryAfter := in.settings.MaxRetryAfter
	advice := time.Duration(scale * readLoad * jitter * float64(maxRetryAfter))
	if in.drain.started {
		advice = maxRetryAfter
	}
	return min(advice, maxRetryAfter)
}

// adviseNoRetry decides whether a caller is told not to retry at another instance: at
// random with a probability, or when too little of the latency objective is left. The
// random advice is not given where runs are slow here, as other instances are likely
// faster. A draining instance gives none, as its drain says nothing about the others.
func (in *Instance) adviseNoRetry(q *request, probability float64) bool {
	if in.drain.started {
		return false
	}
	maxWait := in.latencyObjective(q) / queueWaitDivisor
	slowHere := in.concurrency.meanRunTime > maxWait
	return in.random.Float64() < probability && !slowHere || in.now-q.arrivedAt > maxWait
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
