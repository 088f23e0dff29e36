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
