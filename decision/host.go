package decision

import "time"

// Host carries out an instance's actions, in the order in which they come. It must not
// call the instance back from within an action.
type Host interface {
	// Run starts the run of a request, or resumes it.
	Run(id string)
	// Cancel cancels a run, as CancelMode tells.
	Cancel(id string)
	// Shed answers a request as not run. The caller should send nothing for retryAfter, and
	// not retry the request at another server if noRetryElsewhere is set.
	Shed(id string, retryAfter time.Duration, noRetryElsewhere bool)
	// Fail answers a request with an error.
	Fail(id string)
	// Call makes the call that a run waits for, with a time-out.
	Call(id string, timeout time.Duration)
	// SkipCall has a run go on without the call that it waits for.
	SkipCall(id string)
	// CacheResult keeps a request's result, once there is one, for later attempts.
	CacheResult(id string, ttl time.Duration)
	// EvictResult takes back CacheResult.
	EvictResult(id string)
	// ServeCached answers a request with the result of the one that it repeats, as soon
	// as there is one.
	ServeCached(id string)
	// SetHealth sets the answer to health checks. With cached they are answered from it
	// alone; otherwise a check may do real work, and reach the dependency.
	SetHealth(healthy, cached bool)
	// PublishLoad sends callers a load report, in the unit of LoadReportMode.
	PublishLoad(value float64)
	// SetIdleTimeout sets after which idle time connections are closed.
	SetIdleTimeout(after time.Duration)
	// SetTimer asks for a call of Instance.Tick after a time, with the token.
	SetTimer(after time.Duration, token int64)
	// Log writes an event to the host's log.
	Log(event Event)
}
