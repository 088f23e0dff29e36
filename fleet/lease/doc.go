// Package lease decides which process owns a piece of fleet work. A lease has
// at most one owner at a time. Each grant carries a fencing token that only
// grows, so that receivers can refuse what a former owner still sends.
//
// The package does no I/O, reads no clock and starts no goroutine: times are
// arguments, commands are return values. A [Client] is not safe for concurrent
// use; a [Fence] is.
//
// # Grants
//
// Grants live in a [Table], a deterministic state machine. Every voter applies
// the same log of commands to its own replica of the table; the log is that of
// package consensus (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014). A command names the [Grant] that its sender saw,
// and is refused if the grant has changed since (compare and set):
//
//	lease  command                                  next state of the lease
//	-----  ---------------------------------------  ------------------------------------
//	free   Acquire, same token and renewal count    held by the sender, new token
//	held   Acquire, same token and renewal count    held by the sender, new token
//	held   Renew by its owner, same token           held, renewal count incremented
//	held   Release by its owner, same token         free, renewal count incremented
//	any    any other                                unchanged: the command is refused
//
// # Expiry
//
// The log holds no times, so a table never expires a grant by itself. Each
// client counts on its own clock, whose rate may be off by at most
// [Timing.ClockDrift] and whose reading may be off by any amount:
//
//   - The owner counts from when it sent the granted command, and stops acting
//     when Duration less the drift has passed (Gray and Cheriton, "Leases: An
//     Efficient Fault-Tolerant Mechanism for Distributed File Cache
//     Consistency", 1989).
//   - Every other client counts from when it applied the command, which is
//     later, and sends an Acquire no earlier than Duration plus the drift after
//     that. If the owner's renewal is ordered first, the Acquire is refused.
//
// So at most one client holds a lease at any instant while all clocks keep to
// the bound. For each lease a client goes through these states:
//
//	client     event                                     next state of the client
//	---------  ----------------------------------------  -----------------------------
//	idle       Tick, lease free or expired, may acquire  acquiring: an Acquire was sent
//	acquiring  own Acquire applied and granted           holding
//	acquiring  refused, or unanswered for RenewInterval  idle
//	holding    Tick, RenewInterval after the last grant  holding: a Renew was sent
//	holding    own Renew applied and granted             holding, from when it was sent
//	holding    Duration less the drift has passed        idle
//	holding    another client's command granted          idle
//	holding    Resign                                    resigned: a Release was sent
//	other      Resign                                    resigned: sends nothing any more
//
// # Fencing
//
// Holding a lease proves nothing to a receiver: a process may be paused between
// checking its lease and sending. So every grant has a [Token], the term and
// index of its entry in the log, which goes with all work done under the grant.
// A receiver keeps a [Fence] and refuses tokens lower than the highest it has
// seen (Burrows, "The Chubby Lock Service for Loosely-Coupled Distributed
// Systems", 2006, calls the token a sequencer).
//
// # Use
//
// A voter creates a client, proposes what Tick returns and passes every
// committed command to Apply:
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
// It asks right before each act whether it may:
//
//	if token, ok := client.Holds("registry", clock()); ok {
//		send(work, token)
//	}
//
// Package modelcheck walks every order of events up to a stated size and checks
// the invariants on this code.
package lease
