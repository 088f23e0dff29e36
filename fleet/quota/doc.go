// Package quota divides a budget among the members of a fleet so that what all
// of them use together never exceeds it, whatever messages are lost, duplicated,
// delayed or cut off by a partition. It does no I/O, starts no goroutine and
// reads no clock: callers pass the time in, and send what it returns.
//
// # Algorithm
//
// A unit of the budget in use needs a right. Members hold rights and transfer
// them to each other; a member acquires no more than it holds. This is a bounded
// counter with escrow (Balegas et al., "Extending Eventually Consistent Cloud
// Databases for Enforcing Numeric Invariants", 2015, after O'Neil, "The Escrow
// Transactional Method", 1986).
//
// What members know of each other is a State, a join semilattice (Shapiro,
// Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types", 2011)
// that is spread in deltas (Almeida, Shoker and Baquero, "Delta State Replicated
// Data Types", 2018). Join is commutative, associative and idempotent, so deltas
// may arrive in any order, twice or late. A State also carries PN-counters, by
// name.
//
// Escrow alone can't tell that a member is gone for good. Rights are therefore
// granted, and reclaimed from members that died, by an Allocator: a state
// machine whose commands are entries of a replicated log. The owner of the
// allocator's lease runs an AllocatorLeader, which decides the commands.
//
// # Parts
//
//   - Member is one incarnation of a member: TryAcquire, Release and Available
//     use its rights, Tick gives the messages to send, Merge and HandleRequest
//     take in those of others.
//   - Allocator applies the commands Grant, Fence and Reclaim in log order.
//   - AllocatorLeader acknowledges heartbeats and proposes commands.
//   - State is what a member knows: a MemberState and an Account for each ID.
//   - Timing has the bounds on time that keep a fenced member from spending.
//
// A caller ticks its Member a few times a second and sends the Messages: the
// broadcast to all (and at once to the members that may run the allocator's
// leader), transfers to their recipients, and a transfer request to
// RequestFanout others. Each delta that arrives goes to Merge, which returns
// what is to be forwarded. The owner of the allocator's lease ticks its
// AllocatorLeader as well, proposes the commands to the log and sends the
// acknowledgements; each log entry goes to Allocator.Apply, and the deltas that
// it returns to Merge and to the members they are of.
//
// # States of an account
//
//	none     --Grant-->   live       the allocator knows the incarnation
//	live     --Grant-->   live       it was granted more rights
//	live     --Fence-->   fenced     it spends, sends and receives nothing more
//	fenced   --Reclaim--> reclaimed  what it held has returned to the free rights
//
// An incarnation never leaves the fenced state: a member that was fenced while it
// ran goes on as a new incarnation.
//
// # Why a fenced member has stopped
//
// A member counts Timing.SessionTimeout from when it sent a heartbeat that was
// acknowledged, the leader from when it acknowledged it, which is later. The
// member stops acquiring earlier by the clock drift and by the longest time that
// a unit is held; the leader fences it later by the clock drift. So nothing that
// a fenced member acquired is still in use.
package quota
