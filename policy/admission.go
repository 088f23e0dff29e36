package policy

import (
	"math"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	shedOnsetFraction       = 0.5               // of the maximum queue wait, from which arrivals are shed
	minRetryAfterScale      = shedOnsetFraction // of a shed arrival
	retryWeightFactor       = 0.75
	arrivalRateTimeConstant = 5 * time.Second
	quotaToleranceSigma     = 2 // standard deviations of a tenant's count that are not excess
	tenantWeightSteps       = 4 // of a tenant's weight from 0 to 1; equal weights run in order of arrival
)

// admitReceived decides on the requests that were read since the last batch.
func (in *Instance) admitReceived() {
	for _, q := range in.live {
		if q.state == received {
			in.admit(q)
		}
	}
}

// admit queues a received request, has it wait for the result of the request that it
// repeats, or sheds it.
//
// It sheds a request when memory is short, and at random with two probabilities: one
// grows with the waits in the queue, the other with the wait for a call. In the last case
// Retry-After is 0 unless draining, as this instance has room for requests that call
// nothing; but most callers are told not to retry elsewhere, as other instances lack
// calls too.
func (in *Instance) admit(q *request) {
	if in.coalesce(q) {
		return
	}
	if in.arrivedAfterDrain(q) {
		in.shedAtFullScale(q)
		return
	}
	probability := in.shedProbability(q)
	callProbability := in.callShedProbability(q)
	in.load.observe(max(probability, in.waitShedProbability(q)))
	if in.random.Float64() < probability || in.exceedsMemory(0) {
		in.shed(q, max(probability, minRetryAfterScale), max(probability, in.load.pressure))
		return
	}
	if in.random.Float64() < callProbability {
		in.shed(q, 0, callProbability)
		return
	}
	in.moveTo(q, queued)
	in.cacheResult(q)
}

// coalesce has a request wait for the result of the request that it repeats, where that
// one runs, has run, or still may run.
func (in *Instance) coalesce(q *request) bool {
	if q.DuplicateOf == "" {
		return false
	}
	original := in.requests[q.DuplicateOf]
	if original != nil && !original.mayHaveRun && original.state == finished {
		return false
	}
	in.host.ServeCached(q.ID)
	q.mayHaveRun = q.class.Effect != decision.Idempotent // the original may have had the effect
	in.moveTo(q, coalesced)
	return true
}

// shedProbability returns the probability of shedding an arrival, 0 to 1. It grows with
// the longest wait among the requests that would run before it, so that old requests of
// less weight shed nothing.
func (in *Instance) shedProbability(q *request) float64 {
	probability := 0.0
	for _, other := range in.queue {
		if comparePriority(q, other) < 0 {
			break
		}
		probability = max(probability, in.waitShedProbability(other))
	}
	return probability
}

// waitShedProbability returns the probability of shedding for the time that a request has
// waited since its arrival.
func (in *Instance) waitShedProbability(q *request) float64 {
	return linearRamp(in.now-q.arrivedAt, in.maxQueueWait(q))
}

// callShedProbability returns the probability of shedding for the time that a request
// would wait for a call. It is above 0 where that is more than shedOnsetFraction of the
// maximum queue wait.
func (in *Instance) callShedProbability(q *request) float64 {
	return linearRamp(in.expectedCallWait(q), in.maxQueueWait(q))
}

// linearRamp returns the probability of shedding for a wait: 0 up to shedOnsetFraction
// of the longest wait allowed, 1 from that wait on, linear between.
func linearRamp(wait, maxWait time.Duration) float64 {
	used := float64(wait) / float64(maxWait)
	return min(1, max(0, (used-shedOnsetFraction)/(1-shedOnsetFraction)))
}

// requestWeight returns the priority weight of an arrival: that of its class, less for a
// tenant beyond its quota, and less for a retry, which has used part of its objective.
func (in *Instance) requestWeight(class *decision.Class, tenant int, retry bool) float64 {
	weight := class.Weight * in.tenantWeight(tenant)
	if retry {
		weight *= retryWeightFactor
	}
	return weight
}

// tenantWeight returns the factor on the weight of a tenant's requests: 1 within its
// quota, the quota's fraction of its arrivals beyond, never less than OverQuotaWeight.
//
// The quota is for the fleet, in requests a second. An instance sees its own arrivals
// alone: it takes an even part of the quota, and counts as excess only what is beyond
// the chance variation of a count of that size.
func (in *Instance) tenantWeight(tenant int) float64 {
	tenants := in.settings.Tenants
	if tenant >= len(tenants) || tenants[tenant].Quota <= 0 {
		return 1
	}
	instances := float64(max(1, in.settings.Servers))
	quota := tenants[tenant].Quota / instances * arrivalRateTimeConstant.Seconds()
	arrivals := in.tenantArrivals[tenant]
	if arrivals <= quota+quotaToleranceSigma*math.Sqrt(quota) {
		return 1
	}
	inSteps := math.Round(tenantWeightSteps*quota/arrivals) / tenantWeightSteps
	return max(in.settings.OverQuotaWeight, inSteps)
}

// tenantArrivals counts the first attempts of each tenant, fading over
// arrivalRateTimeConstant.
type tenantArrivals []float64

// record counts an arrival. A retry is no further request of its tenant.
func (a tenantArrivals) record(tenant int, retry bool) {
	if !retry {
		a[tenant]++
	}
}

// decay fades the counts after a span.
func (a tenantArrivals) decay(elapsed time.Duration) {
	for tenant := range a {
		a[tenant] *= decay(elapsed, arrivalRateTimeConstant)
	}
}
