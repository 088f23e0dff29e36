// Package quota divides a budget among the members of a fleet. The total use of
// all members never exceeds the budget, even if messages are lost, duplicated,
// delayed or blocked by a partition. The package does no I/O, starts no goroutine
// and reads no clock: callers pass in the time and send the returned messages.
//
// # Algorithm
//
// To use a unit of the budget, a member needs a right. Members hold rights and
// transfer them to each other; a member acquires at most as many units as it holds
// rights. This is a bounded counter with escrow (Balegas et al., "Extending Eventually Consistent Cloud
// Databases for Enforcing Numeric Invariants", 2015, after O'Neil, "The Escrow
// Transactional Method", 1986).
//
// What a member knows about the fleet is a State, a join semilattice (Shapiro,
// Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types", 2011)
// that is replicated by deltas (Almeida, Shoker and Baquero, "Delta State Replicated
// Data Types", 2018). Join is commutative, associative and idempotent, so deltas
// may arrive in any order, more than once or late. A State also carries named
// PN-counters.
//
// Escrow alone can't detect that a member has failed permanently. An Allocator
// therefore grants rights and reclaims them from failed members. It is a state
// machine whose commands are entries of a replicated log. The owner of the
// allocator's lease runs an AllocatorLeader, which decides the commands.
//
// # Parts
//
//   - Member is one incarnation of a member: TryAcquire, Release and Available
//     use its rights, Tick returns the messages to send, Merge and HandleRequest
//     process the messages of other members.
//   - Allocator applies the commands Grant, Fence and Reclaim in log order.
//   - AllocatorLeader acknowledges heartbeats and proposes commands.
//   - State is what a member knows: a MemberState and an Account for each ID.
//   - Timing has the timeouts that ensure that a fenced member uses no rights.
//
// A caller calls Member.Tick a few times a second and sends the Messages: the
// broadcast to all members (immediately to those that may run the allocator's
// leader), transfers to their recipients, and a transfer request to RequestFanout
// other members. It passes each delta that arrives to Merge, which returns the
// delta to forward. The owner of the allocator's lease also calls
// AllocatorLeader.Tick, proposes the commands to the log and sends the
// acknowledgements. It passes each log entry to Allocator.Apply, and the returned
// deltas to Merge and to the members whose accounts they contain.
//
// # States of an account
//
//	none     --Grant-->   live       the allocator has an account for the incarnation
//	live     --Grant-->   live       it was granted more rights
//	live     --Fence-->   fenced     it uses, sends and receives no rights any more
//	fenced   --Reclaim--> reclaimed  its rights have returned to the free rights
//
// A fenced incarnation never becomes live again: a member that was fenced while it
// was running continues as a new incarnation.
//
// # Why a fenced member uses no units
//
// A member measures Timing.SessionTimeout from the time when it sent an
// acknowledged heartbeat. The leader measures it from the time when it acknowledged
// that heartbeat, which is later. The member stops acquiring earlier than the timeout,
// by the maximum clock drift and Timing.MaxHoldTime. The leader fences it later than
// the timeout, by the maximum clock drift. So all units that a fenced member acquired
// have been released.
package quota
