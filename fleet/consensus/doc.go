// Package consensus replicates a log of commands among a small group of voters,
// and applies it to a [StateMachine] at each. The decisions are those of
// go.etcd.io/raft/v3, with pre-vote and check-quorum (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014); this package drives
// the library with a clock, keeps its log on package store, and hands its
// messages to a transport.
//
// # What it owns
//
// A [Node] owns the voter's durable log in Options.Dir: log entries, the latest
// snapshot and the hard state. It decides nothing about the commands themselves.
//
// # Goroutines
//
// [Start] recovers the log and starts one goroutine, which alone calls the raft
// library, the state machine and the log. It handles one event at a time (a tick,
// messages that were received, or a function given to [Node.RunInLoop]), and
// after each does what raft asks for, in this order: save entries and hard
// state, send messages, install a snapshot, apply committed entries, and take a
// snapshot of its own where enough entries were applied. All exported methods
// are safe for concurrent use.
//
// # Membership
//
// The group starts as its founders, Options.Voters, and changes by one voter at
// a time through entries of the log (Ongaro, "Consensus: Bridging Theory and
// Practice", 2014, chapter 4):
//
//	state        event                                           next state
//	-----------  ----------------------------------------------  ------------
//	not a member AddVoter committed                              learner
//	learner      at most maxLearnerLag entries behind the leader voter
//	learner      RemoveVoter committed                           not a member
//	voter        RemoveVoter committed                           not a member
//	last voter   RemoveVoter committed                           unchanged
//
// A learner receives the log and has no vote. A voter that joins a running group
// starts with Options.Join and an empty log, and receives a snapshot.
//
// # Damage
//
// A voter whose log lost records may have forgotten a vote, or an entry that
// counted towards a majority. So Start fails with [ErrLogDamaged], and a node
// whose log fails while it runs stops: see [Node.Done].
package consensus
