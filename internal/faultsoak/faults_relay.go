package faultsoak

import (
	"context"
	"math/rand/v2"
	"time"
)

// relayed is a party that a node reaches through a relay: the relay, and the event that
// stands for its faults.
type relayed struct {
	relay func(*Node) *Relay
	kind  EventKind
}

// The parties that a node reaches through relays.
var (
	processorRelay  = relayed{(*Node).ProcessorRelay, ProcessorBad}
	dependencyRelay = relayed{func(n *Node) *Relay { return n.DependencyRelay }, LedgerBad}
	discoveryRelay  = relayed{func(n *Node) *Relay { return n.DiscoveryRelay }, AnnounceBad}
)

// relayFaults are the faults of a party: its connections are reset, it is silent, or it
// refuses connections.
func relayFaults(party relayed) []fault {
	return []fault{party.resets, party.outage(Silent), party.outage(Refuse)}
}

// resets resets a relay's connections again and again.
func (p relayed) resets(ctx context.Context, o *operator, rng *rand.Rand) {
	relay := p.relay(o.node)
	o.record(p.kind)
	for range 1 + rng.IntN(12) {
		relay.Reset()
		if !pause(ctx, between(rng, 20*time.Millisecond, 500*time.Millisecond)) {
			return
		}
	}
}

// outage is a fault that puts a relay into a mode for a while.
func (p relayed) outage(mode RelayMode) fault {
	return func(ctx context.Context, o *operator, rng *rand.Rand) {
		relay := p.relay(o.node)
		duration := between(rng, 100*time.Millisecond, 3*time.Second)
		o.record(p.kind)
		relay.SetMode(mode)
		pause(ctx, duration)
		relay.SetMode(Forward)
	}
}
