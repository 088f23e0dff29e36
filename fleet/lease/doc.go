// Package lease decides which process owns a piece of fleet work. A lease has
// at most one owner at a time. Each grant carries a fencing token that increases
// from grant to grant, so that receivers can reject work from a former owner.
//
// The package does no I/O, reads no clock and starts no goroutine: times are
// arguments, and commands are return values. A [Client] is not safe for
// concurrent use; a [Fence] is.
//
// # Grants
//
// Grants live in a [Table], a deterministic state machine. Every voter applies
// the same log of commands to its own replica of the table; the log is that of
// package consensus (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014). A command carries the token of the [Grant] that
// its sender saw, and an Acquire also that grant's renewal count. The command is
// rejected if the grant has changed since (compare-and-set):
//
//	lease  command                                  next state of the lease
//	-----  ---------------------------------------  ------------------------------------
//	free   Acquire, same token and renewal count    held by the sender, new token
//	held   Acquire, same token and renewal count    held by the sender, new token
//	held   Renew by its owner, same token           held, renewal count incremented
//	held   Release by its owner, same token         free, renewal count incremented
//	any    any other                                unchanged: the command is rejected
//
// # Expiry
//
// The log holds no times, so the table itself never expires a grant. Each client
// measures durations on its own clock, whose rate is off by at most
// [Timing.ClockDrift] and whose reading may be off by any amount:
//
//   - The owner measures from the time it sent the granted command. It stops acting
//     after Duration*(1-ClockDrift) (Gray and Cheriton, "Leases: An Efficient
//     Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989).
//   - Every other client measures from the time it applied the command, which is
//     later. It sends an Acquire no earlier than Duration*(1+ClockDrift) after
//     that. If a renewal by the owner precedes the Acquire in the log, the Acquire
//     is rejected.
//
// So at most one client holds a lease at any instant while all clock rates are
// within the bound. For each lease a client has one of these states:
//
//	client     event                                           next state of the client
//	---------  ----------------------------------------------  ------------------------------
//	idle       Tick, lease free or expired, may acquire        acquiring: an Acquire was sent
//	acquiring  own Acquire applied and granted                 holding
//	acquiring  rejected, or not applied within RenewInterval   idle
//	holding    Tick, RenewInterval after granted command sent  holding: a Renew was sent
//	holding    own Renew applied and granted                   holding: timed from sending the Renew
//	holding    Duration*(1-ClockDrift) has passed              idle
//	holding    another client's command granted                idle
//	holding    Resign                                          resigned: a Release was sent
//	other      Resign                                          resigned: sends no more commands
//
// # Fencing
//
// Holding a lease proves nothing to a receiver: a process may be paused between
// checking its lease and sending. So every grant has a [Token], the term and
// index of its entry in the log, which accompanies all work done under the grant.
// A receiver keeps a [Fence] and rejects tokens lower than the highest it has
// seen (Burrows, "The Chubby Lock Service for Loosely-Coupled Distributed
// Systems", 2006, calls the token a sequencer).
//
// # Use
//
// A voter creates a client, proposes the commands that Tick returns, and passes
// every committed command to Apply:
//
//	client, err := lease.NewClient(self, timing, []string{"registry"})
//	for {
//		select {
//		case <-ticker.C:
//			propose(client.Tick(clock(), isLeader()))
//		case entry := <-committed:
//			client.Apply(entry.Command, lease.Token{Term: entry.Term, Index: entry.Index}, clock())
//		}
//	}
//
// It calls Holds immediately before each action under the lease:
//
//	if token, ok := client.Holds("registry", clock()); ok {
//		send(work, token)
//	}
//
// Package modelcheck runs this package's code through every order of events
// within configured bounds and checks the invariants.
package lease
