package policy

import (
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

// cacheResult has the host keep the result of an admitted request for later attempts of
// it, where its class or its kind asks for that.
func (in *Instance) cacheResult(q *request) {
	ttl := in.resultTTL(q)
	if ttl <= 0 {
		return
	}
	ttl += in.timerInterval // until the timer that takes it out
	in.host.CacheResult(q.ID, ttl)
	q.cachedUntil = in.now + ttl
	in.cached = append(in.cached, q)
	in.reservedKB += in.settings.KeyMemoryKB
}

// resultTTL returns how long a request's result is kept: a keyed one's for the rest of
// its window, a read's for as long as it serves others, any other's not at all.
func (in *Instance) resultTTL(q *request) time.Duration {
	switch q.class.Effect {
	case decision.Idempotent:
		if in.settings.CacheTTL > 0 && q.CacheKey != "" && !q.Write {
			return q.class.LatencyObjective + in.settings.CacheTTL
		}
	case decision.Keyed:
		return q.class.KeyWindow - (in.now - q.arrivedAt)
	}
	return 0
}

// evictResult gives up the entry of a request that was shed before it ran.
func (in *Instance) evictResult(q *request) {
	if q.cachedUntil != 0 && !q.mayHaveRun {
		in.host.EvictResult(q.ID)
		q.cachedUntil = in.now // the next timer takes it out
	}
}

// expireCachedResults takes out the entries whose time has passed.
func (in *Instance) expireCachedResults() {
	in.cached = slices.DeleteFunc(in.cached, func(q *request) bool {
		if q.cachedUntil > in.now {
			return false
		}
		q.cachedUntil = 0
		in.reservedKB -= in.settings.KeyMemoryKB
		if q.state == finished {
			delete(in.requests, q.ID)
		}
		return true
	})
}
