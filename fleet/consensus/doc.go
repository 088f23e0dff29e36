// Package consensus replicates a log of commands among a small group of voters
// and applies it to a [StateMachine] at each voter. The algorithm is raft with
// pre-vote and check-quorum (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) as go.etcd.io/raft/v3 implements
// it. This package drives the library with a clock, stores its log with package
// store, and passes its messages to a transport.
//
// # Ownership
//
// A [Node] owns the voter's durable log in Options.Dir: log entries, the latest
// snapshot and the hard state. It does not interpret the commands.
//
// # Goroutines
//
// [Start] recovers the log and starts the node's goroutine. Only this goroutine
// calls the raft library, the state machine and the log. It handles one event at
// a time: a tick, received messages, or a function passed to [Node.RunInLoop].
// After each event it processes raft's output in this order: save entries and
// hard state, send messages, install a received snapshot, apply committed
// entries, and take a snapshot if enough entries were applied. All exported
// methods are safe for concurrent use.
//
// # Membership
//
// The first members of the group are its founders, Options.Voters. The group
// changes by one voter at a time through entries of the log (Ongaro, "Consensus:
// Bridging Theory and Practice", 2014, chapter 4):
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
// # Damaged logs
//
// A voter whose log has lost records may have lost the vote that it cast in a term,
// or an entry that was counted towards a majority. So Start fails with
// [ErrLogDamaged] on such a log, and a node stops if its log fails while it
// runs: see [Node.Done].
package consensus
