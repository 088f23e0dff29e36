// Package gossip maintains the list of a fleet's members, of which there may be
// hundreds, and spreads small updates among them. It uses
// github.com/hashicorp/memberlist (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
// The list is a hint: a member that is not known to be alive may still hold a lease.
//
// A [Membership] is one member. It owns the library's memberlist, its transport and
// the queue of updates to broadcast. Updates reach a member in four ways:
//
//   - as a broadcast to all members ([Membership.Broadcast])
//   - in an exchange of all updates that two members know (push/pull), every 5 s
//     and when a member joins
//   - as a datagram to one member ([Membership.Send])
//   - on a stream to one member ([Membership.SendReliable])
//
// All of them are passed to [Delegate.MergeUpdate], once or more often and in any
// order. A member broadcasts an update that was new to it.
//
// Goroutines: those of the library, which call the Delegate, and one that repeatedly
// joins the seeds that are not known to be alive. Stop waits for all of them.
package gossip
