// Package policy implements the decisions of one server: which requests are admitted, in
// which order they run, when their calls to the dependency are made and with which
// time-outs, and what the server reports about its load. The types that it shares with
// its hosts (settings, requests, gauges, actions, log events) are in package decision.
//
// An Instance is a deterministic state machine without I/O: the same settings, seed
// and events produce the same actions. A host
//
//   - creates an Instance with New, and passes it a decision.Host that carries out actions;
//   - passes each event to its method (RequestReceived, RunDone, CallNeeded, CallDone,
//     RequestCancelled, Drain), with the current time of a monotonic clock;
//   - calls Tick with the gauges whenever a timer of SetTimer is due;
//   - calls Decide after each batch of events. Decide calls most of the host's actions.
//
// # Terms
//
//   - A request is one attempt. A retry by the caller is another request; if the two share
//     a result, DuplicateOf names the earlier one.
//   - Read lag and read share concern reading requests from connections. In
//     result_cache.go, a read is a request that changes nothing.
//   - The instance retries a call, within a run, and uses its own retry budget and the
//     fleet's for this. The caller retries a request.
//   - An abandoned call is one that timed out or whose run ended. The dependency may work on
//     it for Settings.AbandonedCallDuration more. A skipped call is not made, or not again.
//   - A degraded answer is the answer to a request whose call was skipped.
//   - The pressure is the smoothed probability of shedding. Load reports are computed from it.
//
// # Where decisions are made
//
//   - Shedding a request: admit, shedStale, expireDeadlines and shedForMemory; retryAfter
//     and adviseNoRetry choose the advice to the caller. The host may also shed requests
//     for reasons of its own (package dispatch).
//   - Retrying a call: CallDone, retryOrSkipCall, acquireCallRetry. callProgress.notBefore
//     holds the earliest time, and makeCalls makes the call.
//   - Time-out of a call: call, chooseTimeout, maxCallTimeout.
//   - Opening and closing the circuit breaker: recordCall, circuitBreaker.record.
//
// # Source
//
// Time-outs and retries of idempotent calls follow the Combined System of Velamoor and
// Samanta, "Adaptive Timeout Strategies for Microservice Applications". The Optimizer
// (sections 3.6 and 4.3) computes a sequence of rising time-outs that minimizes the
// expected latency. Its input is the latencies of diagnostic calls. Their time-out follows
// the latest latencies (the Controller, sections 3.7 and 4.4). Section 4.5 combines both.
// docs/design.md lists the differences; docs/capacity.md has the origin of each constant.
//
// # Reading order
//
//   - instance.go: the Instance, its events, Tick and Decide, which list the rules
//   - request.go: the states of a request and their transitions
//   - admission.go, answer.go: admission of arrivals; answers to rejected and failed requests
//   - result_cache.go: results that are cached for later attempts
//   - queue.go: the time that requests may wait; deadlines; memory pressure
//   - concurrency.go: how many requests run at a time, and which one runs next
//   - calls.go: the calls to the dependency, and their order
//   - call_quota.go: this instance's share of the dependency's capacity
//   - timeouts.go, histogram.go: time-outs of calls
//   - retry.go, circuit_breaker.go: retries of calls; a failing dependency
//   - health.go, load_report.go, drain.go: health checks, load reports and draining
//   - average.go: moving averages
//
// Decisions are the same to the digit on every processor. A product that is added to something
// is converted with float64 first: without the conversion, compilers for some processors fuse
// the two operations, which rounds differently.
package policy
