package policy

import (
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

// cacheResult asks the host to cache the result of an admitted request if resultTTL returns
// a time for it.
func (in *Instance) cacheResult(req *request) {
	ttl := in.resultTTL(req)
	if ttl <= 0 {
		return
	}
	ttl += in.timerInterval // entries expire at timers
	in.host.CacheResult(req.ID, ttl)
	req.cachedUntil = in.now + ttl
	in.cached = append(in.cached, req)
	in.reservedKB += in.settings.KeyMemoryKB
}

// resultTTL returns how long a request's result is cached: for the rest of the KeyWindow of
// a keyed request; for the latency objective plus CacheTTL of a read with a CacheKey; and 0
// for other requests.
func (in *Instance) resultTTL(req *request) time.Duration {
	switch req.class.Idempotency {
	case decision.Idempotent:
		if in.settings.CacheTTL > 0 && req.CacheKey != "" && !req.Write {
			return req.class.LatencyObjective + in.settings.CacheTTL
		}
	case decision.Keyed:
		return req.class.KeyWindow - (in.now - req.arrivedAt)
	}
	return 0
}

// evictResult evicts the cache entry of a request that is shed and has not run.
func (in *Instance) evictResult(req *request) {
	if req.cachedUntil != 0 && !req.mayHaveRun {
		in.host.EvictResult(req.ID)
		req.cachedUntil = in.now // the next timer removes it
	}
}

// expireCachedResults removes the cache entries that have expired.
func (in *Instance) expireCachedResults() {
	in.cached = slices.DeleteFunc(in.cached, func(req *request) bool {
		if req.cachedUntil > in.now {
			return false
		}
		req.cachedUntil = 0
		in.reservedKB -= in.settings.KeyMemoryKB
		if req.state == finished {
			delete(in.requests, req.ID)
		}
		return true
	})
}
