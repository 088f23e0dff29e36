package simulation

import "math"

// drawDemands distributes the total demand over the members in random order. Demands
// follow a power law with the exponent Config.Skew.
func (f *Fleet) drawDemands() {
	weights, sum := make([]float64, len(f.nodes)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -f.config.Skew)
		sum += weights[i]
	}
	f.rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	for i, n := range f.nodes {
		n.demand = uint64(float64(weights[i]/sum*f.config.Load*float64(f.config.Capacity)) + 0.5)
	}
}

// runWorkload runs the demand of each member and records the maximum, over all rounds,
// of the total use minus the budget.
func (f *Fleet) runWorkload() {
	var inUse uint64
	for _, n := range f.nodes {
		f.runDemand(n)
		inUse += n.inUse
	}
	f.maxOvershoot = max(f.maxOvershoot, int64(inUse)-int64(f.config.Capacity))
}

// runDemand releases the units of one member and acquires units up to its demand;
// TryAcquire may fail. A member keeps its units in the first round of a pause.
func (f *Fleet) runDemand(n *node) {
	justPaused := n.paused && !n.pausedLastRound
	n.pausedLastRound = n.paused
	if justPaused {
		return // its units stay in use until the end of their hold time
	}
	n.inUse = 0
	if !n.running() {
		return
	}
	for range n.member.InUse() {
		n.member.Release()
	}
	for range n.demand {
		if n.member.TryAcquire(f.clock(n)) {
			n.inUse++
		}
	}
}
