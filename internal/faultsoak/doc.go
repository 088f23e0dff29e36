// Package faultsoak runs real processes of the program on loopback under faults that
// overlap in time, and checks what their clients saw against the platform's rules.
//
// A [Node] is one process among fakes of the parties around it, each behind a [Relay]
// that can reset connections, hold back what passes or refuse connections. A [Client] is a connection of a balancer;
// what it writes and reads goes into a [History]. [Check] is the oracle: it knows the
// rules and the faults that were played, and nothing of the program's code. [Soak] runs
// nodes, clients and faults that are drawn from a seed.
//
// The program is built once for a test binary or command by fleettest.Build. All times
// are of the machine's monotonic clock, except for the field door of a request: the Unix
// time at which the request reached the machine.
package faultsoak
