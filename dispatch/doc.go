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
// Package guard is asked before a run, a call or an answer (invariants.go).
package dispatch
