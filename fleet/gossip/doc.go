// Package gossip tells all members of a fleet, hundreds of them, of each other
// and spreads small updates among them, over github.com/hashicorp/memberlist (Das,
// Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", 2002). It takes no decisions: who is alive is a hint
// here, never a proof that a lease has ended.
//
// A [Membership] is one member. It owns the library's memberlist, its transport and
// the queue of updates that are being broadcast. Updates reach a member in four ways:
// broadcast to all ([Membership.Broadcast]), in an exchange of all that two members
// know (push/pull, every 5 s and when a member joins), as a datagram to one member
// ([Membership.Send]) and on a stream to one member ([Membership.SendReliable]). All
// of them come to [Delegate.MergeUpdate], once or more often and in any order; an
// update that was new there is broadcast further.
//
// Goroutines: the library's own, which call the Delegate, and one that joins the
// seeds, again while they are not known to be alive. Stop waits for both.
package gossip
