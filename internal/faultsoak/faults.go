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
	// minPauseEndBeforeKill is the least time between the end of a pause and a kill. A
	// node that is still paused shortly before it is killed can't answer its requests.
	minPauseEndBeforeKill = 1200 * time.Millisecond
	crowdSize             = 200
)

// faultInjector injects faults into one node. Each faultLoop has its own goroutine, so that
// faults of different loops overlap.
type faultInjector struct {
	node    *Node
	history *History
	clients *clientGroup
	crowds  bool                             // inject crowds of clients that send requests
	fail    func(format string, args ...any) // records a failed step of the soak

	configMu    sync.Mutex // held while the configuration file may be invalid, and during a start
	wallSeconds int64      // current offset of Unix time; used only by systemLoop

	mu           sync.Mutex
	killAt       time.Time // when a draining process will be killed; otherwise zero
	exitExpected bool      // the process may exit because of a fault
}

// fault injects a fault once and returns when the fault is over.
type fault func(ctx context.Context, inj *faultInjector, rng *rand.Rand)

// faultLoop repeatedly draws and injects one of its faults.
type faultLoop struct {
	least, most time.Duration // range of the pause before each fault
	faults      []fault
}

// faultLoops lists the loops that every node has.
var faultLoops = []faultLoop{
	{300 * time.Millisecond, 4 * time.Second, []fault{shortPause, shortPause, longPause}},
	{4 * time.Second, 12 * time.Second, []fault{restart, upgrade, upgrade, crash}},
	{500 * time.Millisecond, 4 * time.Second, relayFaults(processorRelay)},
	{time.Second, 5 * time.Second, relayFaults(dependencyRelay)},
	{time.Second, 5 * time.Second, relayFaults(discoveryRelay)},
	{time.Second, 6 * time.Second, []fault{reloadValid, reloadInvalidJSON, reloadWithoutSettings}},
	{2 * time.Second, 8 * time.Second, []fault{disableTraffic}},
	{2 * time.Second, 8 * time.Second, []fault{silentCrowd}},
}

// crowdLoop is an additional loop for nodes in a soak with crowds.
var crowdLoop = faultLoop{time.Second, 4 * time.Second, []fault{requestingCrowd}}

// play starts the loops of a node. They stop when ctx is done.
func (inj *faultInjector) play(ctx context.Context, nextRNG func() *rand.Rand, done *sync.WaitGroup) {
	loops := faultLoops
	if inj.node.Faults {
		loops = append(slices.Clone(loops), systemLoop)
	}
	if inj.crowds {
		loops = append(slices.Clone(loops), crowdLoop)
	}
	for _, loop := range loops {
		rng := nextRNG()
		done.Go(func() {
			for sleep(ctx, randomDuration(rng, loop.least, loop.most)) {
				loop.faults[rng.IntN(len(loop.faults))](ctx, inj, rng)
			}
		})
	}
}

// record adds an event of the node with the current time.
func (inj *faultInjector) record(kind EventKind) {
	inj.history.Add(Event{Node: inj.node.Name, Kind: kind, At: time.Now()})
}
