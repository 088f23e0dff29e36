// Package dispatch is the core of the app server. It executes what the decision module
// (package policy) decides about requests. It knows no protocol and no transport, and does
// no I/O.
//
// One goroutine, [Core.Run], owns the decision module and the state of all attempts. The
// exported methods of [Core] may be called from any goroutine: each puts an event into a
// bounded mailbox (eventloop.go). Frontends submit requests ([Core.Submit]), backends
// report runs ([Core.RunCompleted], [Core.CallRequested]), and the dependency reports calls
// ([Core.CallCompleted]). The loop applies all queued events as one batch, then lets the
// module decide once. The module acts through the methods of host.
//
// # Lifecycle of a request
//
// Each attempt of a request is a small state machine (attempt.go). Each of its stages has
// a file:
//
//   - submit.go: a frontend submits the attempt. The core itself answers it if it must not
//     reach the module.
//   - admit.go: the attempt is registered with its key and reported to the module.
//   - claim.go: the module starts the attempt. Its key is claimed, also in the journal and
//     from the predecessor if there are any.
//   - start.go: the attempt takes a slot of its class's pool, and the backend starts the run.
//   - downstream_calls.go: the core makes the calls to the shared dependency that the run
//     asks for.
//   - completion.go: the backend reports the end of the run.
//   - respond.go: the attempt gets its one final answer.
//   - cancel.go: the caller or the module ends the attempt early, at any stage.
//
// The module acts through these methods of host: Shed, Fail, ServeCached, CacheResult and
// EvictResult (admit.go), Run (claim.go), Call and SkipCall (downstream_calls.go), Cancel
// (cancel.go), SetTimer (timers.go), SetHealth and PublishLoad (health.go), SetIdleTimeout
// and Log (core.go).
//
// # Terms
//
//   - An attempt is one message in which a caller sends a request. All attempts of a keyed
//     request carry the same key; all but the first are duplicates of it.
//   - The module starts an attempt; the backend starts its run. The attempt may wait
//     between the two: see the states in attempt.go.
//   - A claim is an attempt's right to run for its key (package idempotency). During an
//     upgrade, the predecessor is the older of the two processes and the successor the
//     newer one; each is the other's peer.
//   - The core sheds attempts on its own as well, with the longest Retry-After: before the
//     backend is ready, when the key table is full (both in submit.go), and if an attempt
//     that the module has started may not run (shedNotStarted in start.go).
//
// The core asks package guard before each start, downstream call and answer
// (invariants.go).
package dispatch
