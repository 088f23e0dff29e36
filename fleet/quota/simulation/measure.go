package simulation

import "quincerail.example/quincerail/fleet/quota"

// Overshoot returns the maximum, over all rounds so far, of the units in use minus the
// budget. It is negative if the budget was never used completely.
func (f *Fleet) Overshoot() int64 { return f.maxOvershoot }

// Utilization returns the number of units that all running members have in use now, and
// their total demand or the budget, whichever is smaller.
func (f *Fleet) Utilization() (inUse, demand uint64) {
	for _, n := range f.nodes {
		if n.running() {
			inUse += n.inUse
			demand += n.demand
		}
	}
	return inUse, min(demand, f.config.Capacity)
}

// MeanSentBytes returns the number of bytes sent so far, averaged over the members.
func (f *Fleet) MeanSentBytes() float64 {
	sum := 0
	for _, n := range f.nodes {
		sum += n.sentBytes
	}
	return float64(sum) / float64(len(f.nodes))
}

// LatestHeartbeats returns, for each incarnation, the latest heartbeat that any running
// member knows. It is the argument of Converged.
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

// Converged reports whether all running members know these heartbeats or later ones.
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

// Rights returns the sum of the rights of all members except killed ones, according to
// their own states, and the allocator's free rights.
func (f *Fleet) Rights() (held, free uint64) {
	for _, n := range f.nodes {
		if !n.killed {
			held += n.member.Rights()
		}
	}
	return held, f.allocator.Free
}
