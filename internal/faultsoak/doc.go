// Package faultsoak runs real processes of the program on loopback under faults that
// overlap in time, and checks the answers that clients receive against the platform's
// rules.
//
// A [Node] is a process of the program with fakes of the services around it. Each fake is
// behind a [Relay], which can reset connections, stop forwarding data or refuse
// connections. A [Client] is one connection of a balancer and records what it writes and
// reads in a [History]. [Check] is the oracle: it evaluates the rules from the history and
// the injected faults, without using the program's code. [Soak] runs nodes and clients, and
// injects faults that it draws from a seed.
//
// fleettest.Build builds the program once for a test binary or command. All times are
// readings of the machine's monotonic clock, except for the field door of a request: the
// Unix time at which the request reached the machine.
package faultsoak
