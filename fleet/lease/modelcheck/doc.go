// Package modelcheck is an explicit-state model checker for package lease. It
// visits every state that a few clients can reach within the bounds of a
// [Config], and checks the invariants in each state. It runs the Client, Table
// and Fence of package lease, not a model of them.
//
// # The model
//
// A state consists of the clients with their clocks, the voters' log, the
// commands and requests in flight, and one receiver with a fence. Only consensus
// is modelled, as a list of commands. Commands in flight are appended to it in
// any order, after any delay, twice or never, and each client applies the list at
// its own pace. Requests from owners reach the receiver in any order too.
//
// A [Transition] leads from one state to the next:
//
//	kind               effect                                                bounded by
//	-----------------  ----------------------------------------------------  ----------------------
//	time               all clocks advance, each at its own rate              MaxTimeSteps
//	tick               a client sends the commands that its Tick returns     MaxCommands
//	commit             a command in flight is appended to the log
//	commit-duplicate   the same, and the command stays in flight             MaxDuplicates
//	apply              a client applies its next entry of the log
//	send               a client that holds the lease sends a request         MaxRequests
//	pause              a client that holds the lease prepares a request and  MaxPauses, MaxRequests
//	                   is paused before it sends the request
//	resume             a paused client sends its request
//	deliver            the receiver handles a request in flight
//	deliver-duplicate  the same, and the request stays in flight             MaxDuplicates
//
// A loss needs no transition: a lost command is one that is never committed, and
// a lost request is one that is never delivered.
//
// # The invariants
//
//   - No two clients hold the lease at the same instant if their clock rates are
//     within the configured drift.
//   - The fencing tokens that the receiver accepts never decrease, and all
//     requests accepted under one token come from one client.
//
// # The search
//
// [Run] searches breadth-first, so the trace of a violation is a shortest one. It
// uses all cores: it splits the states at one depth into batches, and one goroutine
// expands each batch. [Replay] runs a trace again.
//
// The explicit-state search over state hashes (fingerprints) follows Holzmann,
// "The Model Checker SPIN", 1997, and Yu, Manolios and Lamport, "Model Checking
// TLA+ Specifications", 1999.
package modelcheck
