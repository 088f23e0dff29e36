// Package modelcheck is an explicit-state model checker for package lease. It
// visits every state that a few clients can reach, up to a stated size, and
// checks the invariants in each. It runs the package's own Client, Table and
// Fence, not a model of them.
//
// # The model
//
// A state consists of the clients with their clocks, the voters' log, the
// commands and requests in flight, and one receiver with a fence. Only consensus
// is modelled, as a list: the commands in flight are appended to it in any order,
// each perhaps twice, late or never, and each client applies it at its own pace.
// The requests that owners send to the receiver arrive in any order likewise.
//
// A [Transition] leads from one state to the next:
//
//	kind               what happens                                          bounded by
//	-----------------  ----------------------------------------------------  -------------
//	time               all clocks advance, each at its own rate              MaxTimeSteps
//	tick               a client sends the commands that its Tick returns     MaxCommands
//	commit             a command in flight is appended to the log
//	commit-duplicate   the same, and the command stays in flight             MaxDuplicates
//	apply              a client applies its next entry of the log
//	send               a client that holds the lease sends a request         MaxRequests
//	pause              a client found that it holds the lease, and is paused MaxPauses
//	                   before it sends its request
//	resume             a paused client sends its request
//	deliver            the receiver handles a request in flight
//	deliver-duplicate  the same, and the request stays in flight             MaxDuplicates
//
// Losses need no transition: what is lost is never committed or delivered.
//
// # The invariants
//
//   - No two clients hold the lease at the same instant, as long as their clocks
//     keep to the stated drift.
//   - The fencing tokens that the receiver accepts never decrease, and all
//     requests accepted under one token come from one client.
//
// # The search
//
// [Run] searches breadth first, with all cores: one goroutine for each batch of
// the states at one depth. So a violation comes with a shortest trace that leads
// to it, and [Replay] runs that trace again.
//
// Explicit-state search with hashed states (fingerprints) follows Holzmann, "The
// Model Checker SPIN", 1997, and Yu, Manolios and Lamport, "Model Checking TLA+
// Specifications", 1999.
package modelcheck
