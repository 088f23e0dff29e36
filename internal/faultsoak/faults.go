package faultsoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	controlTimeout = time.Second
	// lastMoments is how long before a kill a node is not paused any more: one that is
	// paused when it is killed can't answer.
	lastMoments = 1200 * time.Millisecond
	crowdSize   = 200
)

// operator plays faults on one node. Each kind has a goroutine of its own, so that they
// overlap.
type operator struct {
	node    *Node
	history *History
	clients *population
	crowds  bool                             // there are crowds of clients that ask
	fail    func(format string, args ...any) // a step that must succeed did not

	configuring sync.Mutex // the configuration file may be spoilt
	wallSeconds int64      // by which Unix time is off; used by the loop of system faults alone

	mu       sync.Mutex
	killAt   time.Time // when a process that drains is killed; zero else
	expected bool      // the process may end: a fault ends it
}

// fault plays once and returns when it is over.
type fault func(ctx context.Context, o *operator, rng *rand.Rand)

// faultLoop draws one of its faults again and again.
type faultLoop struct {
	least, most time.Duration // between two of them
	faults      []fault
}

// faultLoops lists the loops of each node.
var faultLoops = []faultLoop{
	{300 * time.Millisecond, 4 * time.Second, []fault{shortPause, shortPause, longPause}},
	{4 * time.Second, 12 * time.Second, []fault{restart, upgrade, upgrade, crash}},
	{500 * time.Millisecond, 4 * time.Second, relayFaults(processorRelay)},
	{time.Second, 5 * time.Second, relayFaults(dependencyRelay)},
	{time.Second, 5 * time.Second, relayFaults(discoveryRelay)},
	{time.Second, 6 * time.Second, []fault{reloadGood, reloadSpoilt, reloadCut}},
	{2 * time.Second, 8 * time.Second, []fault{sendAway}},
	{2 * time.Second, 8 * time.Second, []fault{crowd}},
}

// crowdLoop is one more loop for the nodes of a soak with crowds.
var crowdLoop = faultLoop{time.Second, 4 * time.Second, []fault{askingCrowd}}

// play starts all loops of a node. They end with ctx.
func (o *operator) play(ctx context.Context, rngs func() *rand.Rand, done *sync.WaitGroup) {
	loops := faultLoops
	if o.node.Faults {
		loops = append(slices.Clone(loops), systemLoop)
	}
	if o.crowds {
		loops = append(slices.Clone(loops), crowdLoop)
	}
	for _, loop := range loops {
		rng := rngs()
		done.Go(func() {
			for pause(ctx, between(rng, loop.least, loop.most)) {
				loop.faults[rng.IntN(len(loop.faults))](ctx, o, rng)
			}
		})
	}
}

// record adds an event of the node that happens now.
func (o *operator) record(kind EventKind) {
	o.history.Add(Event{Node: o.node.Name, Kind: kind, At: time.Now()})
}
