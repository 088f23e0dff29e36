package simulation

import "quincerail.example/quincerail/fleet/quota"

// Overshoot returns the most that all had in use beyond the budget so far; below
// zero if the budget was never used up.
func (f *Fleet) Overshoot() int64 { return f.maxOvershoot }

// Served returns what all running members have in use now, and what they demand,
// at most the budget.
func (f *Fleet) Served() (inUse, demand uint64) {
	for _, n := range f.nodes {
		if n.running() {
			inUse += n.inUse
			demand += n.demand
		}
	}
	return inUse, min(demand, f.config.Capacity)
}

// MeanSentBytes returns what each member has sent so far, on average.
func (f *Fleet) MeanSentBytes() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.sentBytes
	}
	return float64(sum) / float64(len(f.nodes))
}

// LatestHeartbeats returns the latest heartbeat of each incarnation that any
// running member knows, for Converged.
func (f *Fleet) LatestHeartbeats() map[quota.ID]uint64 {
	latest := map[quota.ID]uint64{}
	for _, n := range f.nodes {
		if !n.running() {
			continue
		}
		for id, member := range n.member.State().Members {
			latest[id] = max(latest[id], member.Heartbeat)
		}
	}
	return latest
}

// Converged reports whether all running members know these heartbeats, or later
// ones.
func (f *Fleet) Converged(heartbeats map[quota.ID]uint64) bool {
	for _, n := range f.nodes {
		if !n.running() {
			continue
		}
		members := n.member.State().Members
		for id, heartbeat := range heartbeats {
			if member := members[id]; member == nil || member.Heartbeat < heartbeat {
				return false
			}
		}
	}
	return true
}

// Rights returns the sum of what all members that are not dead hold by their own
// knowledge, and what the allocator has free.
func (f *Fleet) Rights() (held, free uint64) {
	for _, n := range f.nodes {
		if !n.dead {
			held += n.member.Rights()
		}
	}
	return held, f.allocator.Free
}
