// Package simulation runs fleets of thousands of members in one process: the code
// of package quota itself, over a simulated network and simulated clocks, from a
// fixed seed. Time passes in rounds of gossip.
//
// New makes a Fleet, and Step plays one round. Between two rounds the caller may
// partition the network, pause, kill and restart members, and move the
// allocator's leader. Overshoot, Served and Converged measure what came of it.
//
// A round has the following parts, in this order:
//
//   - messages that were delayed until this round arrive;
//   - each member releases what it has in use, and acquires as much as it demands
//     (workload.go);
//   - each member ticks and sends its messages; the allocator's leader ticks, and
//     its commands are applied at once (fleet.go);
//   - each member gossips with Config.Fanout others (gossip.go), over a network
//     that loses, duplicates and delays messages (network.go).
//
// A Fleet is not safe for concurrent use, and starts no goroutine.
package simulation
