package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// minRetryAfterJitter is the least random factor on Retry-After; the greatest is
// 1 + minRetryAfterJitter. Without jitter all callers would retry at once.
const minRetryAfterJitter = 0.5

// fail answers a request with an error, unless it is already answered.
func (in *Instance) fail(req *request) {
	if req.answered {
		return
	}
	req.answered = true
	in.host.Fail(req.ID)
	in.endWork(req)
}

// shed rejects a request with Host.Shed. A request that is not idempotent and may have had
// its effect fails instead, because its caller would run it again.
//
// retryAfterScale, 0 to 1, scales the Retry-After. noRetryProbability is the probability of
// advising against a retry elsewhere.
func (in *Instance) shed(req *request, retryAfterScale, noRetryProbability float64) {
	if req.mayHaveRun && req.class.Idempotency != decision.Idempotent {
		in.fail(req)
		return
	}
	req.answered = true
	retryAfter := in.retryAfter(retryAfterScale)
	noRetryElsewhere := in.adviseNoRetry(req, noRetryProbability)
	in.host.Shed(req.ID, retryAfter, noRetryElsewhere)
	in.evictResult(req)
	in.endWork(req)
}

// shedWithFullRetryAfter sheds a request with a Retry-After of full scale. It is used for
// requests that waited too long, arrived too late in a drain, or lack memory.
func (in *Instance) shedWithFullRetryAfter(req *request) { in.shed(req, 1, in.load.pressure) }

// retryAfter returns how long a caller should send nothing, at most MaxRetryAfter. It is
// proportional to the scale, to a random jitter, and to the load that reading requests
// causes: the larger of the read lag fraction and the read share. Load from runs does not
// count, because cores may be idle soon after, and a long Retry-After would keep requests
// from them. A draining instance always returns MaxRetryAfter.
//
// The random number is drawn while draining too, because later draws depend on it.
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

// adviseNoRetry reports whether to advise a caller against a retry at another instance:
// always if too little of the latency objective is left, and otherwise at random with the
// given probability. The random advice is not given if runs are slow here, because other
// instances are likely faster. A draining instance never advises against a retry, because
// its drain says nothing about the load of the others.
func (in *Instance) adviseNoRetry(req *request, probability float64) bool {
	if in.drain.started {
		return false
	}
	maxWait := in.latencyObjective(req) / queueWaitDivisor
	slowHere := in.concurrency.meanRunTime > maxWait
	return in.random.Float64() < probability && !slowHere || in.now-req.arrivedAt > maxWait
}

// endWork ends the remaining work of an answered request if it can be cancelled.
func (in *Instance) endWork(req *request) {
	switch req.state {
	case received, queued, preempted, coalesced:
		in.setState(req, finished)
	case running:
		if in.settings.CancelMode != decision.CancelNever {
			in.host.Cancel(req.ID)
		}
	}
}
