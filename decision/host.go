package decision

import "time"

// Host carries out the actions of an instance, in the order in which it calls the methods.
// A method must not call the instance.
type Host interface {
	// Run starts or resumes the run of a request.
	Run(id string)
	// Cancel cancels a run in the way that Settings.CancelMode selects.
	Cancel(id string)
	// Shed answers that a request was rejected and may be retried. The answer asks the
	// caller to send nothing for retryAfter and, if noRetryElsewhere is set, not to retry
	// the request at another server.
	Shed(id string, retryAfter time.Duration, noRetryElsewhere bool)
	// Fail answers a request with an error.
	Fail(id string)
	// Call makes the call that a run waits for, with a time-out.
	Call(id string, timeout time.Duration)
	// SkipCall resumes a run without the call that it waits for.
	SkipCall(id string)
	// CacheResult keeps a request's result for later attempts until ttl after this call. The
	// result may not exist yet.
	CacheResult(id string, ttl time.Duration)
	// EvictResult reverses CacheResult: the result is not kept.
	EvictResult(id string)
	// ServeCached answers a request with the result of the request that it duplicates, as
	// soon as that result exists.
	ServeCached(id string)
	// SetHealth sets the answer to health checks. If cached is set, all checks get this
	// answer; otherwise a check may do real work and call the dependency.
	SetHealth(healthy, cached bool)
	// PublishLoad sends callers a load report, in the unit of LoadReportMode.
	PublishLoad(value float64)
	// SetIdleTimeout sets the idle time after which connections are closed.
	SetIdleTimeout(after time.Duration)
	// SetTimer schedules a call of Instance.Tick with the token.
	SetTimer(after time.Duration, token int64)
	// Log writes an event to the host's log.
	Log(event Event)
}
