package admission

import (
	"sync/atomic"

	"quincerail.example/quincerail/dispatch"
)

// Stats are a server's counts since New. Each request that matched a rule or a route
// is counted once, by its answer or as Gone. Health checks are not counted.
type Stats struct {
	Served   uint64 // with a handler's response, its own run's or that of an earlier attempt with its key
	Refused  uint64 // 503 with Retry-After: its handler never ran, or its class is idempotent
	Failed   uint64 // 502, or the handler's own 5xx: it may have run
	TimedOut uint64 // 504: its time was over
	Rejected uint64 // 400 or 413 (no key, a body too large) or 422 (a key that came with another body)
	Gone     uint64 // its caller left first, or a framework's timeout ended its request
	Passed   uint64 // matched no route, and went to the handler untouched

	Runs    uint64 // handler calls begun
	Running int64  // of those, calls that have not returned
	Stuck   int64  // of those, calls that were cancelled and have not returned
	Panics  uint64 // handler calls that panicked
}

// counters are the counts behind Stats.
type counters struct {
	served, refused, failed, timedOut, rejected, gone, passed, runs, panics atomic.Uint64
	running, stuck                                                          atomic.Int64
}

// countOutcome counts a request's final answer.
func (c *counters) countOutcome(k dispatch.OutcomeKind) {
	switch k {
	case dispatch.Served:
		c.served.Add(1)
	case dispatch.Shed:
		c.refused.Add(1)
	case dispatch.TimedOut:
		c.timedOut.Add(1)
	case dispatch.Rejected:
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}

// read returns the counts so far. They are not read at one instant.
func (c *counters) read() Stats {
	return Stats{
		Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(),
		TimedOut: c.timedOut.Load(), Rejected: c.rejected.Load(), Gone: c.gone.Load(), Passed: c.passed.Load(),
		Runs: c.runs.Load(), Running: c.running.Load(), Stuck: c.stuck.Load(), Panics: c.panics.Load(),
	}
}
