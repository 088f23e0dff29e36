package faultsoak

import (
	"context"
	"math/rand/v2"
	"time"
)

// relayedService is a service that a node reaches through a relay. kind is the event that
// records its faults.
type relayedService struct {
	relay func(*Node) *Relay
	kind  EventKind
}

// The services that a node reaches through relays.
var (
	processorRelay  = relayedService{(*Node).ProcessorRelay, ProcessorFault}
	dependencyRelay = relayedService{func(n *Node) *Relay { return n.DependencyRelay }, DependencyFault}
	discoveryRelay  = relayedService{func(n *Node) *Relay { return n.DiscoveryRelay }, DiscoveryFault}
)

// relayFaults returns the faults of a service: its connections are reset, data is held back,
// or connections are refused.
func relayFaults(service relayedService) []fault {
	return []fault{service.resetRepeatedly, service.outage(Silent), service.outage(Refuse)}
}

// resetRepeatedly resets the relay's connections up to 12 times.
func (p relayedService) resetRepeatedly(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	relay := p.relay(inj.node)
	inj.record(p.kind)
	for range 1 + rng.IntN(12) {
		relay.Reset()
		if !sleep(ctx, randomDuration(rng, 20*time.Millisecond, 500*time.Millisecond)) {
			return
		}
	}
}

// outage returns a fault that puts the relay into a mode for a while.
func (p relayedService) outage(mode RelayMode) fault {
	return func(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
		relay := p.relay(inj.node)
		duration := randomDuration(rng, 100*time.Millisecond, 3*time.Second)
		inj.record(p.kind)
		relay.SetMode(mode)
		sleep(ctx, duration)
		relay.SetMode(Forward)
	}
}
