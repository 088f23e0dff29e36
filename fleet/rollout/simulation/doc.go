// Package simulation runs rollouts on a simulated fleet from a fixed seed. The fleet has
// zones, servers with different event rates, event rates that vary over time, bursts of
// events, lost reports, and servers that are replaced with a delay.
//
// [Run] owns all state of one run and starts no goroutine. Runs with the same [Config]
// have the same [Outcome], and may run concurrently.
package simulation
