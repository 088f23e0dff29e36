// Package policy decides, inside one server, which requests are admitted, in which
// order they run, when their calls to the dependency are made and with which
// time-outs, and what callers are told about the load. The types that it shares with
// its hosts (settings, requests, gauges, actions, log events) are in package decision.
//
// An Instance is a deterministic state machine without I/O: the same settings, seed
// and events give the same actions. A host
//
//   - makes an Instance with New, giving a decision.Host that carries out actions;
//   - passes each event to its method (RequestReceived, RunDone, CallNeeded, CallDone,
//     CallerGone, Drain), with the present time of a monotonic clock;
//   - calls Tick with the gauges whenever a timer that SetTimer asked for is due;
//   - calls Decide after each batch of events, when the instance takes its decisions.
//
// # Terms
//
//   - A request is one attempt: a retry by its caller is another request, which
//     DuplicateOf links to the earlier one where their result is shared.
//   - Read lag and read share are about reading requests from connections. A read, in
//     result_cache.go, is a request that changes nothing.
//   - A retry of a call is made by the instance, within a run, and paid for by the retry
//     budget (and the fleet's). A retry of a request is made by its caller.
//   - An abandoned call timed out, or its run ended; it keeps the dependency busy for
//     Settings.AbandonedCallDuration more. A skipped call is never made, or not again.
//   - Degraded is the answer of a request that went on without its call.
//   - The pressure is the smoothed probability of shedding, which callers are told.
//
// # Where a question is answered
//
//   - Why is a request shed: every shed is in admit, dropStale, expireDeadlines or
//     shedForMemory; retryAfter and adviseNoRetry choose what its caller is told. The
//     host may shed too, for reasons of its own (package dispatch).
//   - When is a call retried: CallDone, retryOrSkipCall, acquireCallRetry; the time is
//     callProgress.notBefore, and makeCalls makes it.
//   - Which time-out a call has: call, chooseTimeout, maxCallTimeout.
//   - When the circuit breaker opens and closes: recordCall, circuitBreaker.record.
//
// # Source
//
// Time-outs and retries of idempotent calls follow the Combined System of Velamoor and
// Samanta, "Adaptive Timeout Strategies for Microservice Applications": a sequence of
// rising time-outs that minimizes the expected latency (sections 3.6 and 4.3, the
// Optimizer), found from the latencies of diagnostic calls, whose time-out follows the
// latest latencies (sections 3.7 and 4.4, the Controller); section 4.5 combines both.
// docs/design.md lists what was changed; docs/capacity.md has the origin of each constant.
//
// # Reading order
//
//   - instance.go: the Instance, its events, Tick and Decide, which list the rules
//   - request.go: the states of a request and their transitions
//   - admission.go, answer.go: which arrivals are admitted, and how others are answered
//   - result_cache.go: results that are kept for later attempts
//   - queue.go: how long requests wait; deadlines; memory pressure
//   - concurrency.go: how many requests run, and which run next
//   - calls.go: the calls to the dependency, one after another
//   - call_quota.go: this instance's share of the dependency's capacity
//   - timeouts.go, histogram.go: time-outs of calls
//   - retry.go, circuit_breaker.go: retries of calls; a dependency that fails
//   - health.go, load_report.go, drain.go: what others are told of this instance
//   - average.go: moving averages
package policy
