// Package dispatch is the core of the app server: it carries out what the decision
// module (package policy) decides about requests. It knows no protocol and no
// transport, and does no I/O.
//
// One goroutine, [Core.Run], owns the decision module and the state of all attempts. The
// exported methods of [Core] may be called from any goroutine: each leaves an event in a
// bounded mailbox (eventloop.go). Frontends hand in requests ([Core.Submit]), backends
// report runs ([Core.RunCompleted], [Core.CallRequested]), the dependency reports calls
// ([Core.CallCompleted]). The loop takes all events that are ready, then lets the module
// decide once; the module acts through the methods of host.
//
// # The life of a request
//
// Each attempt of a request is a small state machine (attempt.go). It passes these stages,
// each in a file of its own:
//
//   - submit.go: a frontend hands it in; what must not reach the module is answered.
//   - admit.go: it is registered under its key, and the module hears of it.
//   - claim.go: the module starts it; its key is claimed, in the journal and from the
//     predecessor where there are such.
//   - start.go: it takes a slot of its class's pool, and its backend begins it.
//   - downstream_calls.go: calls that the run asks for go to the shared dependency.
//   - completion.go: the backend reports the end of the run.
//   - respond.go: the one final answer.
//   - cancel.go: the caller or the module ends it early, at any stage.
//
// The methods of host, by which the module acts: Shed, Fail, ServeCached, CacheResult and
// EvictResult are in admit.go, Run in claim.go, Call and SkipCall in downstream_calls.go,
// Cancel in cancel.go, SetTimer in timers.go, SetHealth and PublishLoad in health.go,
// SetIdleTimeout and Log in core.go.
//
// # Terms
//
//   - An attempt is what one message of a caller asks for. The attempts of one keyed
//     request carry the same key; all but the first are its duplicates.
//   - The module starts an attempt; its backend begins the run. Between the two the
//     attempt may wait: see the states in attempt.go.
//   - A claim is an attempt's right to be the one that runs for its key (package
//     idempotency). The predecessor is the older of two processes during an upgrade, the
//     successor the newer; each is the other's peer.
//   - The core sheds for reasons of its own too, with the longest Retry-After: before the
//     backend is ready, when the key table is full (submit.go), and what was started but
//     may not begin (shedNotStarted in start.go).
//
// Package guard is asked before a run, a call or an answer (invariants.go).
package dispatch
