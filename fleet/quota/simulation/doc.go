// Package simulation runs fleets of thousands of members in one process. It runs the
// code of package quota with a simulated network and simulated clocks, from a fixed
// seed. Time advances in rounds of gossip.
//
// New returns a Fleet, and Step runs one round. Between two rounds the caller may
// partition the network, pause, kill and restart members, and elect another member as
// the allocator's leader. Overshoot, Utilization and Converged measure the result.
//
// A round has these steps:
//
//  1. Messages that were delayed until this round arrive.
//  2. Each member releases all of its units and acquires units up to its demand
//     (workload.go).
//  3. Each member ticks and sends its messages. The allocator's leader ticks too, and
//     its commands are applied immediately (fleet.go).
//  4. Each member gossips to Config.Fanout others (gossip.go) over a network that
//     loses, duplicates and delays messages (network.go).
//
// A Fleet is not safe for concurrent use, and starts no goroutine.
package simulation
