package admission

import (
	"sync/atomic"

	"quincerail.example/quincerail/dispatch"
)

// Stats are a server's counters since New. Each request that matched a rule or a route is
// counted once: by the kind of its response, or as Gone. Health checks are not counted.
type Stats struct {
	Served   uint64 // answered with a handler's response, from its own run or that of another attempt with its key
	Refused  uint64 // shed, 503 with Retry-After: its handler never ran, or its class is idempotent
	Failed   uint64 // 502, or the handler's own 5xx response: the handler may have run
	TimedOut uint64 // 504: its deadline passed
	Rejected uint64 // 400 (invalid or missing key), 413 (body too large) or 422 (key reused with another body)
	Gone     uint64 // no response: the caller disconnected, or a framework's timeout cancelled the request
	Passed   uint64 // matched no rule and no route, and was passed to the handler unchanged

	Runs    uint64 // handler calls started
	Running int64  // handler calls that have not returned
	Stuck   int64  // handler calls that were cancelled and have not returned
	Panics  uint64 // handler calls that panicked
}

// counters holds the values of Stats.
type counters struct {
	served, refused, failed, timedOut, rejected, gone, passed, runs, panics atomic.Uint64
	running, stuck                                                          atomic.Int64
}

// countOutcome counts a request by the kind of its final answer.
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

// read returns the current values. They are not a consistent snapshot.
func (c *counters) read() Stats {
	return Stats{
		Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(),
		TimedOut: c.timedOut.Load(), Rejected: c.rejected.Load(), Gone: c.gone.Load(), Passed: c.passed.Load(),
		Runs: c.runs.Load(), Running: c.running.Load(), Stuck: c.stuck.Load(), Panics: c.panics.Load(),
	}
}
