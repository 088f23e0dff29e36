package policy

import (
	"math"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	shedOnsetFraction       = 0.5               // of the maximum queue wait; a longer wait may shed arrivals
	minRetryAfterScale      = shedOnsetFraction // least scale of Retry-After for a shed arrival
	retryWeightFactor       = 0.75              // of the weight of a first attempt
	arrivalRateTimeConstant = 5 * time.Second
	quotaToleranceSigma     = 2 // standard deviations by which a tenant's arrivals may exceed its quota
	tenantWeightSteps       = 4 // steps of a tenant's weight factor; equal weights run in order of arrival
)

// admitReceived admits or sheds the requests that were read since the last batch.
func (in *Instance) admitReceived() {
	for _, req := range in.unfinished {
		if req.state == received {
			in.admit(req)
		}
	}
}

// admit queues a received request, coalesces it with the request that it duplicates, or
// sheds it.
//
// It sheds a request when memory is short, and at random with two probabilities. One grows
// with the waits in the queue, the other with the expected wait for a call. A request shed
// for its expected call wait gets a Retry-After of 0 unless the instance drains, because the
// instance has room for requests without calls. Most of its callers are advised not to retry
// elsewhere, because the other instances lack call quota too.
func (in *Instance) admit(req *request) {
	if in.coalesce(req) {
		return
	}
	if in.arrivedAfterDrain(req) {
		in.shedWithFullRetryAfter(req)
		return
	}
	probability := in.shedProbability(req)
	callProbability := in.callShedProbability(req)
	in.load.recordShedProbability(max(probability, in.waitShedProbability(req)))
	if in.random.Float64() < probability || in.exceedsMemory(0) {
		in.shed(req, max(probability, minRetryAfterScale), max(probability, in.load.pressure))
		return
	}
	if in.random.Float64() < callProbability {
		in.shed(req, 0, callProbability)
		return
	}
	in.setState(req, queued)
	in.cacheResult(req)
}

// coalesce lets a request wait for the result of the request that it duplicates, and
// reports whether it did. It returns false if there is no such request, or if that one
// finished without running.
func (in *Instance) coalesce(req *request) bool {
	if req.DuplicateOf == "" {
		return false
	}
	original := in.requests[req.DuplicateOf]
	if original != nil && !original.mayHaveRun && original.state == finished {
		return false
	}
	in.host.ServeCached(req.ID)
	req.mayHaveRun = req.class.Idempotency != decision.Idempotent // the original may have had the effect
	in.setState(req, coalesced)
	return true
}

// shedProbability returns the probability of shedding an arrival, 0 to 1. It grows with
// the longest wait among the requests that would run before the arrival. Requests of
// lower weight don't count, however old they are.
func (in *Instance) shedProbability(req *request) float64 {
	probability := 0.0
	for _, other := range in.queue {
		if comparePriority(req, other) < 0 {
			break
		}
		probability = max(probability, in.waitShedProbability(other))
	}
	return probability
}

// waitShedProbability returns the probability of shedding that corresponds to the time
// since a request's arrival.
func (in *Instance) waitShedProbability(req *request) float64 {
	return linearRamp(in.now-req.arrivedAt, in.maxQueueWait(req))
}

// callShedProbability returns the probability of shedding that corresponds to the time
// that a request would wait for a call. It is above 0 if that time exceeds
// shedOnsetFraction of the maximum queue wait.
func (in *Instance) callShedProbability(req *request) float64 {
	return linearRamp(in.expectedCallWait(req), in.maxQueueWait(req))
}

// linearRamp returns the probability of shedding for a wait: 0 up to shedOnsetFraction
// of maxWait, 1 from maxWait on, linear in between.
func linearRamp(wait, maxWait time.Duration) float64 {
	used := float64(wait) / float64(maxWait)
	return min(1, max(0, (used-shedOnsetFraction)/(1-shedOnsetFraction)))
}

// requestWeight returns the priority weight of an arrival: the weight of its class, reduced
// for a tenant that exceeds its quota and for a retry, which has used part of its latency
// objective.
func (in *Instance) requestWeight(class *decision.Class, tenant int, retry bool) float64 {
	weight := class.Weight * in.tenantWeight(tenant)
	if retry {
		weight *= retryWeightFactor
	}
	return weight
}

// tenantWeight returns the factor on the weight of a tenant's requests. It is 1 within the
// quota and quota/arrivals beyond it, but at least OverQuotaWeight.
//
// Tenant.Quota is for the whole fleet, in requests per second, but an instance sees only
// its own arrivals. It therefore takes an equal part of the quota, and tolerates arrivals
// above that part up to the random variation of such a count.
func (in *Instance) tenantWeight(tenant int) float64 {
	tenants := in.settings.Tenants
	if tenant >= len(tenants) || tenants[tenant].Quota <= 0 {
		return 1
	}
	instances := float64(max(1, in.settings.Servers))
	quota := float64(tenants[tenant].Quota / instances * arrivalRateTimeConstant.Seconds())
	arrivals := in.tenantArrivals[tenant]
	if arrivals <= quota+float64(quotaToleranceSigma*math.Sqrt(quota)) {
		return 1
	}
	inSteps := math.Round(tenantWeightSteps*quota/arrivals) / tenantWeightSteps
	return max(in.settings.OverQuotaWeight, inSteps)
}

// tenantArrivals counts the first attempts of each tenant. The counts decay with
// arrivalRateTimeConstant.
type tenantArrivals []float64

// record counts an arrival, unless it is a retry.
func (a tenantArrivals) record(tenant int, retry bool) {
	if !retry {
		a[tenant]++
	}
}

// decay reduces the counts by the decay over the elapsed time.
func (a tenantArrivals) decay(elapsed time.Duration) {
	for tenant := range a {
		a[tenant] *= decayFactor(elapsed, arrivalRateTimeConstant)
	}
}
