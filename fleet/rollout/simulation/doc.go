// Package simulation plays rollouts on a simulated fleet, from a fixed seed:
// servers of different speeds in zones, load that changes with the hour, events
// in bursts, lost reports, and servers that take time to be replaced.
//
// [Run] owns all state of one play and starts no goroutine: plays with the same
// [Config] come to the same [Outcome], in any order and side by side.
package simulation
