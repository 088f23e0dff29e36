package simulation

import "math"

// drawDemands draws which member demands how much.
func (f *Fleet) drawDemands() {
	weights, sum := make([]float64, len(f.nodes)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -f.config.Skew)
		sum += weights[i]
	}
	f.rng.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
	for i, n := range f.nodes {
		n.demand = uint64(weights[i]/sum*f.config.Load*float64(f.config.Capacity) + 0.5)
	}
}

// runWorkload has each member release what it has in use and acquire as much as
// it demands, and notes by how much all exceed the budget.
func (f *Fleet) runWorkload() {
	var inUse uint64
	for _, n := range f.nodes {
		f.runDemand(n)
		inUse += n.inUse
	}
	f.maxOvershoot = max(f.maxOvershoot, int64(inUse)-int64(f.config.Capacity))
}

func (f *Fleet) runDemand(n *node) {
	justPaused := n.paused && !n.pausedLastRound
	n.pausedLastRound = n.paused
	if justPaused {
		return // what it has in use goes on for its time
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
